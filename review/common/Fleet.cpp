#include "Fleet.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

Record::Record(const std::string& path)
    : m_start(std::chrono::steady_clock::now())
    , m_file(path)
{
}

int64_t Record::elapsedMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_start)
        .count();
}

void Record::note(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    m_file << elapsedMs() << " ms " << line << std::endl;
}

std::string GatewaySettings::text() const
{
    const auto address
        = [](uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    return "id = \"" + id + "\"\nzone = \"" + zone + "\"\ncallers = " + address(callersPort)
        + "readiness = " + address(readinessPort) + "operator = " + address(operatorPort)
        + "store = \"" + store + "\"\nsidecar_port = " + std::to_string(sidecarPort)
        + "\nstop_grace_s = 8\napply_time_ms = 2000\ndrain_time_ms = 2000\n"
          "limit_notice_ms = 3000\nretry_share = 0.2\nretry_fixed_part = 58\n"
          "retry_window_s = 10\nfirst_start = true\nlease_time_ms = 3000\nclock_skew_ms = 5000\n";
}

Program::Program(std::string name, std::string command, const std::string& folder,
    const std::string& settings, Record& record)
    : m_name(std::move(name))
    , m_command(std::move(command))
    , m_settingsPath(folder + "/" + m_name + ".conf")
    , m_logPath(folder + "/" + m_name + ".log")
    , m_record(record)
{
    std::ofstream(m_settingsPath) << settings;
}

Program::~Program()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    waitpid(m_process, nullptr, 0);
}

void Program::start()
{
    m_isStopping = false;
    const std::string variable = "CITRONSPOKE_SETTINGS=" + m_settingsPath;
    m_process = fork();
    if (m_process != 0) {
        m_record.note(m_name + " started");
        return;
    }
    // The program must not outlive its test.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::array<char*, 2> arguments { m_command.data(), nullptr };
    std::string settings = variable;
    std::array<char*, 2> environment { settings.data(), nullptr };
    execve(m_command.c_str(), arguments.data(), environment.data());
    _exit(127);
}

void Program::signal(int number)
{
    m_isStopping = m_isStopping || number == SIGTERM || number == SIGKILL;
    m_record.note(m_name + " gets signal " + std::to_string(number));
    kill(m_process, number);
}

bool Program::isRunning()
{
    int status = 0;
    if (m_process < 0 || waitpid(m_process, &status, WNOHANG) == 0)
        return m_process >= 0;
    m_process = -1;
    const std::string how = WIFSIGNALED(status)
        ? "by signal " + std::to_string(WTERMSIG(status))
        : "with status " + std::to_string(WEXITSTATUS(status));
    m_record.note(
        m_name + " ended " + how + (m_isStopping ? ", as it was told to" : ", by itself"));
    if (!m_isStopping)
        m_endsByItself += 1;
    return false;
}

bool waitUntilReady(uint16_t port, std::chrono::milliseconds limit)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        ClientConnection connection(port, 0);
        if (connection.isOpen() && connection.send("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            && connection.receive(1000, {}).status == 200)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

} // namespace review

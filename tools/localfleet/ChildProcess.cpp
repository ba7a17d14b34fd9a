#include "ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace citronspoke::localfleet {

namespace {

    constexpr Milliseconds CheckInterval { 5 };

    [[noreturn]] void runProgram(
        const std::string& program, std::vector<char*>& arguments, const std::string& logFile)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        constexpr mode_t LogMode = 0644;
        const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(program.c_str(), arguments.data());
        constexpr int CannotExecute = 127;
        _exit(CannotExecute);
    }

    template <typename Condition> bool waitFor(Milliseconds limit, const Condition& condition)
    {
        const SteadyTime end = steadyNow() + limit;
        while (!condition()) {
            if (steadyNow() > end)
                return false;
            std::this_thread::sleep_for(CheckInterval);
        }
        return true;
    }

} // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
    const std::string& logFile)
{
    std::vector<std::string> texts { program };
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string& text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    m_pid = fork();
    if (m_pid == 0)
        runProgram(program, pointers, logFile);
    if (m_pid < 0)
        throw FleetFailed("Cannot start " + program + ".");
}

ChildProcess::~ChildProcess() { kill(); }

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    kill();
    m_pid = std::exchange(other.m_pid, -1);
    return *this;
}

bool ChildProcess::isRunning()
{
    if (m_pid < 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == 0)
        return true;
    m_pid = -1;
    if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL && WTERMSIG(status) != SIGTERM)
        m_failure = "signal " + std::to_string(WTERMSIG(status));
    else if (WIFEXITED(status) && WEXITSTATUS(status) != 0)
        m_failure = "status " + std::to_string(WEXITSTATUS(status));
    return false;
}

std::optional<int> ChildProcess::waitForExit(Milliseconds limit)
{
    std::optional<int> result;
    waitFor(limit, [&] {
        int status = 0;
        if (m_pid >= 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            result = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        return result.has_value();
    });
    return result;
}

std::optional<int> ChildProcess::terminate(Milliseconds limit)
{
    if (m_pid < 0)
        return std::nullopt;
    ::kill(m_pid, SIGTERM);
    return waitForExit(limit);
}

void ChildProcess::kill()
{
    if (m_pid < 0)
        return;
    ::kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
}

void ChildProcess::pause() { signal(SIGSTOP); }
void ChildProcess::resume() { signal(SIGCONT); }

bool ChildProcess::takes(int signal) const
{
    constexpr int Hexadecimal = 16;
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    uint64_t taken = 0;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("SigIgn:") || line.starts_with("SigCgt:"))
            taken |= std::stoull(line.substr(line.find(':') + 1), nullptr, Hexadecimal);
    }
    return (taken >> (signal - 1) & 1) != 0;
}

void ChildProcess::signal(int number)
{
    if (m_pid >= 0)
        ::kill(m_pid, number);
}

bool ChildProcess::waitUntilStopped(Milliseconds limit)
{
    return waitFor(limit, [this] {
        int status = 0;
        return waitpid(m_pid, &status, WNOHANG | WUNTRACED) == m_pid && WIFSTOPPED(status);
    });
}

} // namespace citronspoke::localfleet

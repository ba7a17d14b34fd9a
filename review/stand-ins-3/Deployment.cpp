#include "Deployment.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view Host = "site.example";
    constexpr const char* GatewayProgram = "target/bin/citronspoke-gateway";

    std::string freeAddress() { return "127.0.0.1:" + std::to_string(pickPort()); }

    /** Runs the gateway as deploy/system.toml does; the settings are named by a variable. */
    pid_t startGateway(const std::string& settings, const std::string& log)
    {
        std::string program = GatewayProgram;
        std::string variable = "CITRONSPOKE_SETTINGS=" + settings;
        const std::array<char*, 2> arguments { program.data(), nullptr };
        const std::array<char*, 2> variables { variable.data(), nullptr };
        constexpr mode_t LogMode = 0644;
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
        const pid_t process = fork();
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            execve(program.c_str(), arguments.data(), variables.data());
            _exit(EXIT_FAILURE);
        }
        close(output);
        return process;
    }

} // namespace

void Record::note(const std::string& line)
{
    const Milliseconds time = now();
    std::lock_guard lock(m_mutex);
    m_file << time.count() << " ms  " << line << std::endl;
}

Milliseconds Record::now() const
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - m_start);
}

int64_t unixNow()
{
    return std::chrono::duration_cast<Milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string entryText(const ServerEntry& entry)
{
    Json text { { "service", entry.service }, { "address", entry.address }, { "zone", "zone-a" },
        { "version", entry.version }, { "slots", 6 }, { "state", entry.state },
        { "coldRemainingMs", 0 }, { "seq", entry.sequence }, { "born", entry.born } };
    if (!entry.phase.empty())
        text["phase"] = entry.phase;
    return text.dump();
}

std::string requestText(const std::string& method, const std::string& path,
    const std::string& attempt, Milliseconds deadline, const Fields& more, const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + std::string(Host)
        + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count())
        + "\r\n";
    for (const auto& [name, value] : more)
        text.append(name).append(": ").append(value).append("\r\n");
    if (method != "GET")
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return text.append("\r\n").append(body);
}

Deployment::~Deployment()
{
    for (size_t gateway = 0; gateway < m_gateways.size(); ++gateway)
        kill(gateway);
}

void Deployment::declare(int version, const std::vector<Route>& routes)
{
    Json routesText = Json::array();
    for (const Route& route : routes)
        routesText.push_back({ { "name", "route" + route.prefix }, { "hostname", Host },
            { "pathPrefix", route.prefix }, { "service", route.service },
            { "routeKind", route.kind }, { "timeoutMs", route.timeoutMs },
            { "targetLatencyMs", 500 }, { "targetGapMs", 300 }, { "priority", 1 },
            { "maxAttempts", route.attempts }, { "sticky", route.carriesPrompts },
            { "resumable", route.isResumable } });
    const Json engine { { "slots", 64 }, { "kvCapacity", 453729 }, { "kvBytes", 18432 },
        { "kvHoldS", 5.0 }, { "switchS", 3.0 } };
    const Json services { { { "name", "app" }, { "healthPath", "/healthz" }, { "maxConns", 110 } },
        { { "name", "llm" }, { "healthPath", "/healthz" }, { "maxConns", 370 },
            { "engine", engine } } };
    const Json limits { { "maxHeaderBytes", 8192 }, { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    m_store.put("op/config",
        Json { { "version", version }, { "routes", routesText }, { "services", services },
            { "limits", limits } }
            .dump());
}

void Deployment::addGateway()
{
    Gateway& gateway = m_gateways.emplace_back();
    gateway.name = "edge-" + std::to_string(m_gateways.size());
    gateway.callers = freeAddress();
    gateway.readiness = freeAddress();
    // The keys of deploy/gateway.template with the bounds of sites/rahbar-uw.toml.
    gateway.settings = "id = \"" + gateway.name + "\"\nzone = \"zone-a\"\ncallers = \""
        + gateway.callers + "\"\nreadiness = \"" + gateway.readiness + "\"\noperator = \""
        + freeAddress() + "\"\nstore = \"" + m_store.address()
        + "\"\nsidecar_port = " + std::to_string(pickPort())
        + "\nstop_grace_s = 8\napply_time_ms = 2000\ndrain_time_ms = 2000\n"
          "limit_notice_ms = 3000\nretry_share = 0.2\nretry_fixed_part = 58\n"
          "retry_window_s = 10\nmemory_mb = 260\nmax_descriptors = 4100\n";
    launch(gateway, true);
}

void Deployment::launch(Gateway& gateway, bool isFirstStart) const
{
    const std::string path = m_folder + "/" + gateway.name;
    std::ofstream(path + ".conf") << gateway.settings
                                  << (isFirstStart ? "first_start = true\n" : "");
    gateway.process = startGateway(path + ".conf", path + ".log");
    if (gateway.process < 0)
        throw std::runtime_error("A gateway could not be started.");
}

void Deployment::signal(size_t gateway, int number) const
{
    ::kill(m_gateways.at(gateway).process, number);
}

void Deployment::kill(size_t gateway)
{
    Gateway& killed = m_gateways.at(gateway);
    if (killed.process < 0)
        return;
    ::kill(killed.process, SIGKILL);
    waitpid(killed.process, nullptr, 0);
    killed.process = -1;
}

void Deployment::restart(size_t gateway) { launch(m_gateways.at(gateway), false); }

bool Deployment::waitUntilReady(Milliseconds limit) const
{
    constexpr Milliseconds ProbeLimit { 500 };
    constexpr Milliseconds ProbeInterval { 50 };
    const SteadyTime end = std::chrono::steady_clock::now() + limit;
    for (const Gateway& gateway : m_gateways) {
        while (Caller(gateway.readiness)
                   .send("GET /readyz HTTP/1.1\r\nHost: gateway\r\n\r\n", ProbeLimit)
                   .status
            != 200) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(ProbeInterval);
        }
    }
    return true;
}

bool isOff(const char* name)
{
    const char* value = std::getenv(name);
    return value && std::string_view(value) == "0";
}

int runCase(int argc, char** argv,
    const std::function<int(const std::string& folder, Record& record)>& play)
{
    constexpr int CouldNotRun = 2;
    if (argc != 3)
        return CouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        Record record(argv[2]);
        return play(argv[1], record);
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << '\n';
        return CouldNotRun;
    }
}

} // namespace review

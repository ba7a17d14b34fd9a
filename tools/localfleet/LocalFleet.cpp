#include "LocalFleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace citronspoke::localfleet {

namespace {

    using nlohmann::json;

    constexpr std::string_view TargetsFile = "50-targets.toml";
    constexpr Milliseconds StartLimit { 20000 };
    constexpr Milliseconds CallLimit { 3000 };
    constexpr Milliseconds PollInterval { 50 };
    constexpr Milliseconds StopLimit { 15000 };

    std::string programPath(const std::string& program)
    {
        const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
        return (self.parent_path() / program).string();
    }

    json fetchStatus(const std::string& url)
    {
        transport::HttpRequest request;
        request.target = url + "/status";
        try {
            return json::parse(transport::callHttp(request, CallLimit).body, nullptr, false);
        } catch (const transport::HttpFailed&) {
            return nullptr;
        }
    }

    void post(const std::string& url, const std::string& body)
    {
        transport::HttpRequest request;
        request.method = "POST";
        request.target = url;
        request.body = body;
        transport::callHttp(request, CallLimit);
    }

    template <typename Condition> bool waitFor(Milliseconds limit, const Condition& condition)
    {
        const SteadyTime end = steadyNow() + limit;
        while (!condition()) {
            if (steadyNow() > end)
                return false;
            std::this_thread::sleep_for(PollInterval);
        }
        return true;
    }

    std::string tomlString(const std::string& text) { return "\"" + text + "\""; }

} // namespace

LocalFleet::LocalFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_files(settings::readFolder(m_options.deploymentFolder))
{
    std::filesystem::create_directories(m_options.workFolder);
    // The configuration must not list targets that are not started. localTargetSettings() adds the
    // others.
    if (!m_options.targets.empty())
        std::erase_if(m_files, [](const auto& file) { return file.name == TargetsFile; });
    m_files.insert(m_files.end(), m_options.extraFiles.begin(), m_options.extraFiles.end());
    m_deployment = settings::parseDeployment(settings::readFolder(m_options.deploymentFolder));
    if (!m_options.targets.empty()) {
        std::erase_if(m_deployment.targets, [this](const auto& entry) {
            return std::find(m_options.targets.begin(), m_options.targets.end(), entry.first.text())
                == m_options.targets.end();
        });
    }
    pickAddresses();
    writeProcessSettings();
}

std::string LocalFleet::pickAddress() { return "127.0.0.1:" + std::to_string(m_ports.pick()); }

std::vector<std::string> LocalFleet::entryNames() const
{
    std::vector<std::string> names;
    for (size_t number = 1; number <= m_options.entries; ++number)
        names.push_back("entry:" + std::to_string(number));
    return names;
}

void LocalFleet::pickAddresses()
{
    m_addresses["platform/front"] = pickAddress();
    for (const std::string& name : entryNames()) {
        for (const char* purpose : { "/mailbox", "/operator", "/callers", "/front" })
            m_addresses[name + purpose] = pickAddress();
    }
    for (const auto& [id, target] : m_deployment.targets) {
        m_addresses["target:" + id.text() + "/http"] = pickAddress();
        for (const char* purpose : { "/mailbox", "/operator", "/front" })
            m_addresses["agent:" + id.text() + purpose] = pickAddress();
    }
}

void LocalFleet::writeFile(const std::string& name, const std::string& text) const
{
    const std::filesystem::path path = std::filesystem::path(m_options.workFolder) / name;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path) << text;
}

std::string LocalFleet::commonSettings(const std::string& name, const std::string& zone) const
{
    const std::string id = name.substr(name.find(':') + 1);
    const bool isEntry = name.starts_with("entry:");
    const std::string front = "http://" + m_addresses.at(name + "/front");
    return "id = " + tomlString(isEntry ? "entry-" + id : id) + "\nzone = " + tomlString(zone)
        + "\nmailbox = " + tomlString("tcp://" + m_addresses.at(name + "/mailbox"))
        + "\noperator = " + tomlString(m_addresses.at(name + "/operator"))
        + "\nstore = " + tomlString(front) + "\nvm_list = " + tomlString(front) + "\n";
}

void LocalFleet::writeProcessSettings()
{
    std::vector<std::string> zones;
    for (const auto& [id, zone] : m_deployment.zones)
        zones.push_back(id.text());
    std::string seeds;
    for (const auto& [id, target] : m_deployment.targets) {
        seeds += seeds.empty() ? "" : ", ";
        const std::string name = "agent:" + id.text();
        seeds.append(tomlString("tcp://" + m_addresses.at(name + "/mailbox")));
    }
    size_t number = 0;
    for (const std::string& name : entryNames()) {
        std::string text = commonSettings(name, zones[number++ % zones.size()]);
        text.append("callers = ").append(tomlString(m_addresses.at(name + "/callers")));
        text.append("\nseeds = [").append(seeds).append("]\n");
        writeFile(name + ".toml", text);
    }
    for (const auto& [id, target] : m_deployment.targets) {
        const TargetKind kind = m_deployment.pools.at(target.pool).kind;
        const std::string name = "agent:" + id.text();
        writeFile(name + ".toml",
            commonSettings(name, target.zone.text())
                + "kind = " + tomlString(std::string(citronspoke::toText(kind))) + "\ntarget = "
                + tomlString("http://" + m_addresses.at("target:" + id.text() + "/http"))
                + "\nengine_checks_fencing = " + (m_options.engineChecksFencing ? "true" : "false")
                + "\n");
    }
}

std::string LocalFleet::localTargetSettings() const
{
    std::string text = "# Addresses on this machine.\n";
    for (const auto& [id, target] : m_deployment.targets) {
        const std::string name = "agent:" + id.text();
        text += "[target." + id.text() + "]\npool = " + tomlString(target.pool.text())
            + "\nzone = " + tomlString(target.zone.text())
            + "\nmailbox = " + tomlString("tcp://" + m_addresses.at(name + "/mailbox"))
            + "\noperator = " + tomlString(m_addresses.at(name + "/operator")) + "\n";
    }
    return text;
}

std::string LocalFleet::writeConfiguration(const std::vector<settings::SourceFile>& extra)
{
    std::string folder = m_options.workFolder + "/configuration";
    std::filesystem::remove_all(folder);
    std::vector<settings::SourceFile> files = m_files;
    files.insert(files.end(), extra.begin(), extra.end());
    files.push_back({ "80-local.toml", localTargetSettings() });
    for (const settings::SourceFile& file : files)
        writeFile("configuration/" + file.name, file.text);
    return folder;
}

int LocalFleet::applyConfiguration(const std::vector<settings::SourceFile>& extra)
{
    const std::string folder = writeConfiguration(extra);
    ChildProcess tool = startTool({ "config", "apply", folder }, "citronspokectl.log");
    return tool.waitForExit(StartLimit).value_or(-1);
}

ChildProcess LocalFleet::startTool(std::vector<std::string> arguments, const std::string& log) const
{
    arguments.push_back("--store=http://" + m_addresses.at("platform/front"));
    return { programPath("citronspokectl"), arguments, m_options.workFolder + "/" + log };
}

void LocalFleet::launch(
    const std::string& name, const std::string& program, std::vector<std::string> arguments)
{
    auto stop = m_options.stopAt.find(name);
    if (stop != m_options.stopAt.end()) {
        arguments.push_back("--stop_at=" + stop->second);
        // The failure point applies to the first start only.
        m_options.stopAt.erase(stop);
    }
    m_processes.insert_or_assign(name,
        ChildProcess(programPath(program), arguments, m_options.workFolder + "/" + name + ".log"));
}

void LocalFleet::start(const std::string& name)
{
    const std::string kind = name.substr(0, name.find(':'));
    const std::string id = name.substr(name.find(':') + 1);
    const std::string settingsFlag = "--settings=" + m_options.workFolder + "/" + name + ".toml";
    if (kind == "platform") {
        std::string fronts;
        for (const auto& [key, address] : m_addresses) {
            if (key.ends_with("/front"))
                fronts += (fronts.empty() ? "" : ",") + address;
        }
        return launch(name, "fake-platform", { "--listen=" + fronts });
    }
    if (kind == "entry")
        return launch(name, "citronspoke-entry", { settingsFlag });
    if (kind == "agent")
        return launch(name, "citronspoke-agent", { settingsFlag });
    const PoolId& pool = m_deployment.targets.at(TargetId(id)).pool;
    std::vector<std::string> flags { "--listen=" + m_addresses.at(name + "/http") };
    if (m_deployment.pools.at(pool).kind == TargetKind::Application)
        return launch(name, "fake-service", flags);
    flags.insert(flags.end(), m_options.engineFlags.begin(), m_options.engineFlags.end());
    flags.push_back(m_options.engineChecksFencing ? "--check_fencing" : "--nocheck_fencing");
    launch(name, "fake-engine", flags);
}

std::optional<int> LocalFleet::startSecond(const std::string& entry, const std::string& log) const
{
    ChildProcess second(programPath("citronspoke-entry"),
        { "--settings=" + m_options.workFolder + "/" + entry + ".toml" },
        m_options.workFolder + "/" + log);
    return second.waitForExit(StartLimit);
}

void LocalFleet::startPlatform()
{
    start("platform");
    const bool isUp = waitFor(StartLimit, [this] {
        transport::HttpRequest request;
        request.target = platformUrl("platform") + "/v1/vms";
        try {
            transport::callHttp(request, CallLimit);
            return true;
        } catch (const transport::HttpFailed&) {
            return false;
        }
    });
    if (!isUp)
        throw FleetFailed("The fake platform did not start in time. Ended: " + endedProcesses());
}

void LocalFleet::startTargets()
{
    startPlatform();
    if (applyConfiguration({}) != 0)
        throw FleetFailed(
            "citronspokectl could not apply the configuration; see citronspokectl.log.");
    for (const auto& [id, target] : m_deployment.targets) {
        start("target:" + id.text());
        start("agent:" + id.text());
    }
}

void LocalFleet::startAll()
{
    startTargets();
    for (const std::string& name : entryNames())
        start(name);
    if (!waitUntilEligible(targetCount(), StartLimit))
        throw FleetFailed("Not all targets became eligible in time. Ended: " + endedProcesses());
}

std::string LocalFleet::endedProcesses()
{
    std::string text;
    for (auto& [name, process] : m_processes) {
        if (process.isRunning())
            continue;
        std::ifstream log(m_options.workFolder + "/" + name + ".log");
        std::string last;
        for (std::string line; std::getline(log, line);)
            last = line;
        text.append(name).append(" (").append(last).append(") ");
    }
    return text.empty() ? "none." : text;
}

ChildProcess& LocalFleet::process(const std::string& name) { return m_processes.at(name); }

bool LocalFleet::waitUntilEligible(size_t targets, Milliseconds limit) const
{
    return waitFor(limit, [&] {
        for (const std::string& name : entryNames()) {
            if (!m_processes.contains(name))
                continue;
            const json status = fetchStatus(operatorUrl(name));
            if (!status.is_object() || !status.contains("targets"))
                return false;
            size_t eligible = 0;
            for (const auto& [id, target] : status.at("targets").items())
                eligible += target.at("eligible").get<bool>() ? 1 : 0;
            if (eligible != targets)
                return false;
        }
        return true;
    });
}

void LocalFleet::stopAll()
{
    for (const char* kind : { "entry", "agent", "target", "platform" }) {
        for (auto& [name, process] : m_processes) {
            if (name.starts_with(kind) && process.isRunning())
                ::kill(process.pid(), SIGTERM);
        }
        for (auto& [name, process] : m_processes) {
            if (name.starts_with(kind) && process.isRunning() && !process.waitForExit(StopLimit))
                process.kill();
        }
    }
}

std::string LocalFleet::callerUrl(size_t entry) const
{
    return "http://" + m_addresses.at("entry:" + std::to_string(entry) + "/callers");
}

std::string LocalFleet::operatorUrl(const std::string& name) const
{
    return "http://" + m_addresses.at(name + "/operator");
}

std::string LocalFleet::targetUrl(const std::string& name) const
{
    return "http://" + m_addresses.at("target:" + name + "/http");
}

std::string LocalFleet::platformUrl(const std::string& name) const
{
    return "http://" + m_addresses.at(name + "/front");
}

void LocalFleet::setFaults(const std::string& name, const std::string& faults) const
{
    json body = json::parse(faults);
    body["all"] = name == "all";
    post(platformUrl(name == "all" ? "platform" : name) + "/faults", body.dump());
}

void LocalFleet::setVm(const std::string& target, const std::string& state) const
{
    post(platformUrl("platform") + "/v1/vms",
        json { { "name", target }, { "state", state } }.dump());
}

} // namespace citronspoke::localfleet

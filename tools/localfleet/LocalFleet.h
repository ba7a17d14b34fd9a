#pragma once

#include "ChildProcess.h"
#include "PortPicker.h"
#include "settings/Settings.h"
#include "transport/Transport.h"

namespace citronspoke::localfleet {

/** What a local fleet runs, and where it keeps its files. */
struct FleetOptions {
    /** Holds the configuration whose targets are started; their addresses are replaced. */
    std::string deploymentFolder;
    /** The settings, logs and the merged configuration are written here. */
    std::string workFolder;
    size_t entries = 2;
    /** Names of the targets to start; all targets of the configuration when empty. */
    std::vector<std::string> targets;
    /** Added to the deployment's files; their settings take precedence. */
    std::vector<settings::SourceFile> extraFiles;
    /** More command line flags of the fake engines. */
    std::vector<std::string> engineFlags;
    /** The failure point of a process, by its name, such as "agent:a-1" or "entry:1". */
    std::map<std::string, std::string> stopAt;
    /** Whether the fake engines check fencing numbers; the agents' settings say the same. */
    bool engineChecksFencing = true;
};

/**
 * Runs a whole deployment as processes on this machine: a fake platform, a fake target and an agent
 * for each target of the configuration, and entries. Process names are "platform", "target:NAME",
 * "agent:NAME" and "entry:NUMBER". Kills all processes when destroyed.
 */
class LocalFleet {
public:
    /** Picks ports and writes settings; starts nothing yet. */
    explicit LocalFleet(FleetOptions options);

    /** Starts the fake platform. @throws FleetFailed when it does not respond in time. */
    void startPlatform();
    /**
     * Starts the platform, applies the configuration and starts all targets with their agents.
     * @throws FleetFailed when the platform does not start or the configuration is not applied.
     */
    void startTargets();
    /**
     * Starts all processes, applies the configuration and waits until all targets are eligible.
     * @throws FleetFailed as startTargets() does, or when a target is not eligible in time.
     */
    void startAll();
    /** Starts one process by its name; a process of that name that still runs is killed. */
    void start(const std::string& name);
    /**
     * Starts a second process with the settings of an entry and waits for its end.
     * @return its exit status; none when it still runs after the limit, in which case it is killed.
     */
    std::optional<int> startSecond(const std::string& entry, const std::string& log) const;
    /** @param name of a process that was started. */
    ChildProcess& process(const std::string& name);
    /** @return whether each started entry reports exactly this many eligible targets in time. */
    bool waitUntilEligible(size_t targets, Milliseconds limit) const;
    /** Sends SIGTERM to every process, entries first; kills those that do not end in time. */
    void stopAll();

    /**
     * Writes the configuration with @p extra and applies it with citronspokectl.
     * @return the exit status of citronspokectl; -1 when it does not end in time.
     */
    int applyConfiguration(const std::vector<settings::SourceFile>& extra);
    /** Starts citronspokectl with these arguments, followed by the store's address. */
    ChildProcess startTool(std::vector<std::string> arguments, const std::string& log) const;
    /** Writes the deployment's files, @p extra and the local addresses. @return their folder. */
    std::string writeConfiguration(const std::vector<settings::SourceFile>& extra);

    size_t targetCount() const noexcept { return m_deployment.targets.size(); }
    std::string callerUrl(size_t entry) const;
    std::string operatorUrl(const std::string& name) const;
    std::string targetUrl(const std::string& name) const;
    /** @return the URL of the fake platform's listener that a process uses. */
    std::string platformUrl(const std::string& name) const;
    /**
     * Sets the faults that the fake platform injects for one process, or for each one when the name
     * is "all".
     */
    void setFaults(const std::string& name, const std::string& json) const;
    /** Changes a VM's state in the platform's VM list. */
    void setVm(const std::string& target, const std::string& state) const;
    const std::string& workFolder() const noexcept { return m_options.workFolder; }

private:
    std::string pickAddress();
    void pickAddresses();
    void writeFile(const std::string& name, const std::string& text) const;
    void writeProcessSettings();
    std::string commonSettings(const std::string& name, const std::string& zone) const;
    std::string localTargetSettings() const;
    void launch(
        const std::string& name, const std::string& program, std::vector<std::string> arguments);
    std::vector<std::string> entryNames() const;
    /** @return the processes that have ended, each with the last line of its log. */
    std::string endedProcesses();

    FleetOptions m_options;
    settings::Deployment m_deployment;
    std::vector<settings::SourceFile> m_files;
    PortPicker m_ports;
    /** "IP:PORT" by "process/purpose". */
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, ChildProcess> m_processes;
};

} // namespace citronspoke::localfleet

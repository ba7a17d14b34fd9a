#pragma once

#include "ChildProcess.h"
#include "PortPicker.h"
#include "settings/Settings.h"
#include "transport/Transport.h"

namespace citronspoke::localfleet {

struct FleetOptions {
    /** The configuration whose targets are started; their addresses are overridden. */
    std::string deploymentFolder;
    /** Takes settings, logs and the configuration. */
    std::string workFolder;
    size_t entries = 2;
    /** Only targets with these names are started; all when empty. */
    std::vector<std::string> targets;
    /** Merged over the deployment's files. */
    std::vector<settings::SourceFile> extraFiles;
    std::vector<std::string> engineFlags;
    /** Failure points by process name, such as "agent:a-1" or "entry:1". */
    std::map<std::string, std::string> stopAt;
    bool engineChecksFencing = true;
};

/**
 * A whole deployment on this machine: the platform's stand-in, a stand-in target and an agent
 * for each target of the configuration, and entries. Process names are "platform",
 * "target:NAME", "agent:NAME" and "entry:NUMBER".
 */
class LocalFleet {
public:
    /** Picks ports and writes settings; starts nothing yet. */
    explicit LocalFleet(FleetOptions options);

    void startPlatform();
    /** Starts the platform and all targets with their agents, and applies the configuration. */
    void startTargets();
    /** Starts everything, applies the configuration and waits until all targets are eligible. */
    void startAll();
    void start(const std::string& name);
    /**
     * Starts a second process with an entry's settings and waits for its end.
     * @return its exit status; none when it goes on.
     */
    std::optional<int> startSecond(const std::string& entry, const std::string& log) const;
    ChildProcess& process(const std::string& name);
    /** @return whether every entry that was started finds so many targets eligible in time. */
    bool waitUntilEligible(size_t targets, Milliseconds limit) const;
    /** Asks every process to end, entries first; kills what does not end in time. */
    void stopAll();

    /** Merges @p extra over the deployment and commits it. @return citronspokectl's exit status. */
    int applyConfiguration(const std::vector<settings::SourceFile>& extra);
    /** Starts citronspokectl with these arguments and the store's address. */
    ChildProcess startTool(std::vector<std::string> arguments, const std::string& log) const;
    /** Writes the merged configuration. @return its folder. */
    std::string writeConfiguration(const std::vector<settings::SourceFile>& extra);

    size_t targetCount() const noexcept { return m_deployment.targets.size(); }
    std::string callerUrl(size_t entry) const;
    std::string operatorUrl(const std::string& name) const;
    std::string targetUrl(const std::string& name) const;
    /** The front of the platform that a process uses. */
    std::string platformUrl(const std::string& name) const;
    /** Sets the faults of one process's front; "all" sets those of every front. */
    void setFaults(const std::string& name, const std::string& json) const;
    /** Changes the platform's list of VMs. */
    void setVm(const std::string& target, const std::string& state) const;
    const std::string& workFolder() const noexcept { return m_options.workFolder; }

private:
    std::string pickAddress();
    void pickAddresses();
    void writeFile(const std::string& name, const std::string& text) const;
    void writeProcessSettings();
    std::string commonSettings(const std::string& name, const std::string& zone) const;
    std::string localTargets() const;
    void launch(
        const std::string& name, const std::string& program, std::vector<std::string> arguments);
    std::vector<std::string> entryNames() const;

    FleetOptions m_options;
    settings::Deployment m_deployment;
    std::vector<settings::SourceFile> m_files;
    PortPicker m_ports;
    /** Addresses by "process/purpose". */
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, ChildProcess> m_processes;
};

} // namespace citronspoke::localfleet

#pragma once

#include "ChildProcess.h"
#include "RunHistory.h"

namespace citronspoke::soak {

/** One of the real programs; it is started again whenever it ends. Any thread may call. */
class SoakProcess {
public:
    /** @param folder takes the settings file and the log. */
    SoakProcess(std::string name, std::string program, const std::string& settings,
        const std::string& folder, RunHistory& history);

    const std::string& name() const noexcept { return m_name; }
    void start();
    void kill();
    /** Asks for a graceful end. */
    void terminate();
    void pause();
    void resume();
    /** Writes other settings and tells the process, which goes on. */
    void reload(const std::string& settings);
    /** Starts it again when it has ended; an end that nobody caused breaks a promise. */
    void watch();
    /** @return when it was last started; none while it is ending or not running. */
    std::optional<SteadyTime> runningSince() const;

private:
    void launch();

    std::string m_name;
    std::string m_program;
    std::string m_settingsPath;
    std::string m_logPath;
    RunHistory& m_history;
    mutable std::mutex m_mutex;
    std::optional<localfleet::ChildProcess> m_process;
    SteadyTime m_startedAt;
    bool m_isEnding = false;
};

} // namespace citronspoke::soak

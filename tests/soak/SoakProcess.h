#pragma once

#include "ChildProcess.h"
#include "RunHistory.h"

namespace citronspoke::soak {

/** A child process of one of the real programs, restarted whenever it ends. Any thread may call. */
class SoakProcess {
public:
    /** @param folder where the settings file and the log are written. */
    SoakProcess(std::string name, std::string program, const std::string& settings,
        const std::string& folder, RunHistory& history);

    const std::string& name() const noexcept { return m_name; }
    void start();
    /** Ends the process with SIGKILL. */
    void kill();
    /** Requests a graceful stop with SIGTERM. */
    void terminate();
    void pause();
    void resume();
    /** Replaces the settings file and sends SIGHUP, upon which the process must keep running. */
    void reload(const std::string& settings);
    /** Restarts the process if it has ended; an end without kill() or terminate() is a violation.
     */
    void restartIfEnded();
    /** An unexpected exception, or the report of a sanitizer, is a violation. */
    void checkLog() const;
    /** @return when it was last started; none while it is stopping or not running. */
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

#pragma once

#include "model/Model.h"

#include <sys/types.h>

namespace citronspoke::localfleet {

/** A program could not be started, or did not do what was waited for. */
class FleetFailed final : public Error {
public:
    explicit FleetFailed(std::string_view what)
        : m_what(what)
    {
    }
    std::string_view kind() const noexcept override { return "fleet_failed"; }
    std::string describe() const override { return m_what; }

private:
    std::string m_what;
};

/** One program started by this one. It is killed when its parent dies or lets go of it. */
class ChildProcess {
public:
    /** @param logFile takes the program's output. */
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
        const std::string& logFile);
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;

    pid_t pid() const noexcept { return m_pid; }
    bool isRunning();
    /** Asks for a graceful end. @return the exit status; none when it took too long. */
    std::optional<int> terminate(Milliseconds limit);
    std::optional<int> waitForExit(Milliseconds limit);
    void kill();
    void pause();
    void resume();
    void signal(int number);
    /** @return whether the program has begun to catch or ignore a signal. */
    bool takes(int signal) const;
    /** Waits until the process has stopped itself at a failure point. @return false on timeout. */
    bool waitUntilStopped(Milliseconds limit);

private:
    pid_t m_pid = -1;
};

} // namespace citronspoke::localfleet

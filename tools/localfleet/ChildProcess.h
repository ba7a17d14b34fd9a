#pragma once

#include "model/Model.h"

#include <sys/types.h>

namespace citronspoke::localfleet {

/** A process could not be started, or did not reach the expected state in time. */
class FleetFailed final : public Error {
public:
    explicit FleetFailed(std::string_view what)
        : m_what(what)
    {
    }
    std::string_view kind() const noexcept override { return "fleet_failed"; }
    /** Test programs print only this. */
    const char* what() const noexcept override { return m_what.c_str(); }
    std::string describe() const override { return m_what; }

private:
    std::string m_what;
};

/**
 * A child process. The destructor kills it with SIGKILL, and so does the kernel when the thread
 * that started it ends. Not safe for use from several threads at once.
 */
class ChildProcess {
public:
    /**
     * @param logFile the program's output and errors are appended to this file.
     * @throws FleetFailed when no process could be created.
     */
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
        const std::string& logFile);
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;

    pid_t pid() const noexcept { return m_pid; }
    /** @return whether the process still runs; reaps it when it has ended. */
    bool isRunning();
    /** @return how the process ended, as a short text; empty unless isRunning() has found that it
     * ended by itself: with another status than 0, or by another signal than SIGKILL or SIGTERM. */
    const std::string& failure() const noexcept { return m_failure; }
    /** Sends SIGTERM and waits. @return as for waitForExit(). */
    std::optional<int> terminate(Milliseconds limit);
    /** @return the exit status, -1 after an end by a signal; none when the limit has passed. */
    std::optional<int> waitForExit(Milliseconds limit);
    /** Sends SIGKILL and waits for the end. */
    void kill();
    /** Sends SIGSTOP. */
    void pause();
    /** Sends SIGCONT. */
    void resume();
    /** Sends a signal by its number. */
    void signal(int number);
    /** @return whether the process catches or ignores a signal, as the kernel reports it. */
    bool takes(int signal) const;
    /** Waits until the process has stopped itself at a failure point. @return false on timeout. */
    bool waitUntilStopped(Milliseconds limit);

private:
    pid_t m_pid = -1;
    std::string m_failure;
};

} // namespace citronspoke::localfleet

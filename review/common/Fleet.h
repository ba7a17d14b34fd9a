#pragma once

#include "Http.h"

#include <chrono>
#include <fstream>
#include <map>
#include <sys/types.h>

namespace review {

/** Writes what was sent, answered and run, with the milliseconds since its start. */
class Record {
public:
    explicit Record(const std::string& path);
    void note(const std::string& line);
    int64_t elapsedMs() const;

private:
    std::chrono::steady_clock::time_point m_start;
    std::mutex m_mutex;
    std::ofstream m_file;
};

/** The values of a small deployment's settings, as the template of a gateway names them. */
struct GatewaySettings {
    std::string id;
    std::string zone = "zone-a";
    std::string store;
    uint16_t callersPort = 0;
    uint16_t readinessPort = 0;
    uint16_t operatorPort = 0;
    uint16_t sidecarPort = 0;

    /** @return the settings file, with the bounds of the small deployments. */
    std::string text() const;
};

/** One program under review, run as a process with the command of the deploy file. */
class Program {
public:
    /** @param folder for the settings file and the log. */
    Program(std::string name, std::string command, const std::string& folder,
        const std::string& settings, Record& record);
    /** Kills the process if it still runs. */
    ~Program();
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;

    void start();
    void signal(int number);
    /** @return whether the process runs; notes how it ended otherwise. */
    bool isRunning();
    /** @return how often the process has ended since it was created, other than on a signal that
     *          signal() sent. */
    uint32_t endsByItself() const { return m_endsByItself; }

private:
    std::string m_name;
    std::string m_command;
    std::string m_settingsPath;
    std::string m_logPath;
    Record& m_record;
    pid_t m_process = -1;
    bool m_isStopping = false;
    uint32_t m_endsByItself = 0;
};

/** Waits until a process answers 200 at its readiness address. @return whether it did in time. */
bool waitUntilReady(uint16_t port, std::chrono::milliseconds limit);

} // namespace review

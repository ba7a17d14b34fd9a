#pragma once

#include <filesystem>
#include <fstream>
#include <string>
#include <sys/types.h>
#include <unistd.h>

namespace citronspoke::bench {

/** Resources used by one process, as the kernel accounts for them. */
struct ProcessUsage {
    /** Processor time since the start of the process. */
    double cpuSeconds = 0;
    double residentMegabytes = 0;
};

/**
 * @return the usage of a process up to now. Its processor time is the sum over the threads that
 *         exist now, from the scheduler's clock ("schedstat"): the tick counts in "stat" are
 *         inaccurate for threads that wake up for less than a tick.
 */
inline ProcessUsage usageOf(pid_t pid)
{
    constexpr double NanosecondsPerSecond = 1e9;
    constexpr double BytesPerMegabyte = 1e6;
    const std::string process = "/proc/" + std::to_string(pid);
    ProcessUsage usage;
    for (const auto& task : std::filesystem::directory_iterator(process + "/task")) {
        std::ifstream schedule(task.path() / "schedstat");
        double nanoseconds = 0;
        schedule >> nanoseconds;
        usage.cpuSeconds += nanoseconds / NanosecondsPerSecond;
    }
    std::ifstream memory(process + "/statm");
    double total = 0;
    double resident = 0;
    memory >> total >> resident;
    usage.residentMegabytes
        = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMegabyte;
    return usage;
}

} // namespace citronspoke::bench

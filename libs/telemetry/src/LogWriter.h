#pragma once

#include "kernel/Kernel.h"

#include <atomic>

namespace citronspoke::telemetry {

/** Writes log lines to standard output from a thread of its own. */
class LogWriter {
public:
    LogWriter();
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    /** Queues a line; a line that finds the queue full is dropped and counted. */
    void push(std::string line);

private:
    void run();

    Ring<std::string> m_lines;
    std::atomic<uint64_t> m_dropped { 0 };
    Duty m_duty;
};

} // namespace citronspoke::telemetry

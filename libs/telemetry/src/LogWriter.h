#pragma once

#include "kernel/Kernel.h"

#include <atomic>

namespace citronspoke::telemetry {

/** Writes log lines to standard output on a separate thread. */
class LogWriter {
public:
    LogWriter();
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    /** Queues a line; when the queue is full, the line is dropped and counted. Never blocks. */
    void push(std::string line);

private:
    void run();
    void writeBatch(const std::deque<std::string>& batch);

    BoundedQueue<std::string> m_lines;
    std::atomic<uint64_t> m_dropped { 0 };
    std::atomic<size_t> m_heldBytes { 0 };
    WorkerThread m_thread;
};

} // namespace citronspoke::telemetry

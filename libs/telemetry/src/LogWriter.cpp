#include "LogWriter.h"

#include "telemetry/Telemetry.h"

#include <unistd.h>

namespace citronspoke::telemetry {

namespace {

    /** Holds a few seconds of lines under load, and takes a few megabytes at most. */
    constexpr size_t MaxQueuedLines = 8192;
    /** Lines queued within this time are written together. */
    constexpr Milliseconds BatchingDelay { 20 };
    constexpr Milliseconds MaxWait { 1000 };

    void writeAll(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t written = write(STDOUT_FILENO, bytes.data(), bytes.size());
            // Standard output is closed or broken, and the error cannot be reported elsewhere.
            if (written <= 0)
                return;
            bytes.remove_prefix(static_cast<size_t>(written));
        }
    }

} // namespace

LogWriter::LogWriter()
    : m_lines(MaxQueuedLines)
    , m_thread("log-writer", [this](const std::stop_token&) { run(); })
{
}

LogWriter::~LogWriter() { m_lines.close(); }

void LogWriter::push(std::string line)
{
    if (!m_lines.tryPush(std::move(line)))
        m_dropped += 1;
}

void LogWriter::run()
{
    std::deque<std::string> batch;
    while (m_lines.popAll(batch, MaxWait)) {
        try {
            writeBatch(batch);
        } catch (const std::exception&) {
            m_dropped += batch.size();
        }
        if (!batch.empty())
            std::this_thread::sleep_for(BatchingDelay);
    }
}

void LogWriter::writeBatch(const std::deque<std::string>& batch)
{
    std::string text;
    for (const std::string& line : batch)
        text += line;
    const uint64_t dropped = m_dropped.exchange(0);
    if (dropped > 0) {
        text += "[log] Lines were dropped. count=" + std::to_string(dropped) + "\n";
        count("log_lines_dropped", {}, static_cast<double>(dropped));
    }
    writeAll(text);
}

} // namespace citronspoke::telemetry

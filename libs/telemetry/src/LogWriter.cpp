#include "LogWriter.h"

#include "telemetry/Telemetry.h"

#include <unistd.h>

namespace citronspoke::telemetry {

namespace {

    /** A few seconds of lines under load, at most some megabytes. */
    constexpr size_t QueuedLines = 8192;
    /** Lines that come within this time are written together. */
    constexpr Milliseconds GatherTime { 20 };
    constexpr Milliseconds LongestWait { 1000 };

    void writeAll(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t written = write(STDOUT_FILENO, bytes.data(), bytes.size());
            // Nobody reads the log any more; there is no other place to say so.
            if (written <= 0)
                return;
            bytes.remove_prefix(static_cast<size_t>(written));
        }
    }

} // namespace

LogWriter::LogWriter()
    : m_lines(QueuedLines)
    , m_duty("log-writer", [this](const std::stop_token&) { run(); })
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
    while (m_lines.popAll(batch, LongestWait)) {
        std::string text;
        for (const std::string& line : batch)
            text += line;
        const uint64_t dropped = m_dropped.exchange(0);
        if (dropped > 0) {
            text += "[log] Lines were dropped. count=" + std::to_string(dropped) + "\n";
            count("log_lines_dropped", {}, static_cast<double>(dropped));
        }
        writeAll(text);
        if (!batch.empty())
            std::this_thread::sleep_for(GatherTime);
    }
}

} // namespace citronspoke::telemetry

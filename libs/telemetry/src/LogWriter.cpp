#include "LogWriter.h"

#include "telemetry/Telemetry.h"

#include <unistd.h>
#include <utility>

namespace citronspoke::telemetry {

namespace {

    /** Holds a few seconds of lines under load. */
    constexpr size_t MaxQueuedLines = 8192;
    /** Bytes of all lines that are queued or being written. */
    constexpr size_t MaxHeldBytes = size_t { 4 } << 20;
    constexpr size_t MaxWriteBytes = size_t { 64 } << 10;
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
    const size_t size = line.size();
    if (m_heldBytes.fetch_add(size) + size <= MaxHeldBytes && m_lines.tryPush(std::move(line)))
        return;
    m_heldBytes -= size;
    m_dropped += 1;
}

void LogWriter::run()
{
    std::deque<std::string> batch;
    while (m_lines.popAll(batch, MaxWait)) {
        if (batch.empty())
            continue;
        size_t batchBytes = 0;
        for (const std::string& line : batch)
            batchBytes += line.size();
        try {
            writeBatch(batch);
        } catch (const std::exception&) {
            m_dropped += batch.size();
        }
        batch.clear();
        m_heldBytes -= batchBytes;
        std::this_thread::sleep_for(BatchingDelay);
    }
}

void LogWriter::writeBatch(const std::deque<std::string>& batch)
{
    std::string text;
    for (const std::string& line : batch) {
        text += line;
        if (text.size() > MaxWriteBytes)
            writeAll(std::exchange(text, {}));
    }
    const uint64_t dropped = m_dropped.exchange(0);
    if (dropped > 0) {
        text += "[log] Lines were dropped. count=" + std::to_string(dropped) + "\n";
        count("log_lines_dropped", {}, static_cast<double>(dropped));
    }
    writeAll(text);
}

} // namespace citronspoke::telemetry

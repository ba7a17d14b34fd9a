#include "telemetry/Telemetry.h"

#include <array>
#include <mutex>

namespace citronspoke::telemetry {

namespace {

    constexpr size_t MaxEvents = 20000;
    constexpr unsigned ClockCounterBits = 16;

    constexpr std::array<std::string_view, 27> EventKindNames { "request_received",
        "request_admitted", "request_refused", "attempt_sent", "attempt_queued", "attempt_started",
        "attempt_paused", "attempt_failed", "attempt_refused", "attempt_cancelled", "chunk_gap",
        "request_finished", "caller_gone", "journal_started", "journal_finished",
        "journal_replayed", "journal_taken_over", "shard_taken_over", "order_issued", "order_begun",
        "order_done", "order_refused", "config_adopted", "state_changed", "peer_suspected",
        "peer_seen", "crash_convicted" };

    struct TimeLine {
        std::mutex mutex;
        uint64_t clock = 0;
        std::deque<Event> events;

        uint64_t tick()
        {
            const uint64_t wall = static_cast<uint64_t>(unixNow().value()) << ClockCounterBits;
            clock = std::max(clock + 1, wall);
            return clock;
        }
    };

    TimeLine& timeLine()
    {
        static TimeLine instance;
        return instance;
    }

} // namespace

std::string_view toText(EventKind kind)
{
    const size_t index = static_cast<size_t>(kind);
    return index < EventKindNames.size() ? EventKindNames[index] : std::string_view("unknown");
}

void record(EventKind kind, const RequestId& request, const TargetId& target, std::string detail)
{
    TimeLine& line = timeLine();
    std::lock_guard lock(line.mutex);
    line.events.push_back({ line.tick(), kind, request, target, std::move(detail) });
    if (line.events.size() > MaxEvents)
        line.events.pop_front();
}

std::vector<Event> eventsSince(uint64_t after)
{
    TimeLine& line = timeLine();
    std::lock_guard lock(line.mutex);
    std::vector<Event> found;
    for (const Event& event : line.events) {
        if (event.clock > after)
            found.push_back(event);
    }
    return found;
}

uint64_t tickClock()
{
    TimeLine& line = timeLine();
    std::lock_guard lock(line.mutex);
    return line.tick();
}

void advanceClock(uint64_t clock)
{
    TimeLine& line = timeLine();
    std::lock_guard lock(line.mutex);
    line.clock = std::max(line.clock, clock);
}

} // namespace citronspoke::telemetry

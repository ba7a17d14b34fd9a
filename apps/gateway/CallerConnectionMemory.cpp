// What is held of requests that are not being served yet, and what happens when it is too much.
#include "CallerConnection.h"

#include "Durations.h"
#include "Statuses.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** After this, half of it more or less, a request may find memory that it did not find now. */
    constexpr Milliseconds MemoryRetryAfter { 1000 };
    /** Callers accept a wait of at most this fraction (1/n) of their remaining time. */
    constexpr int RetryAfterDivisor = 3;

} // namespace

bool CallerConnection::holdMemory()
{
    const SteadyTime now = steadyNow();
    // Destroyed with this object, and then not called any more.
    if (!m_held)
        m_held = std::make_unique<capacity::HeldMemory>(
            m_context.requestMemory, [this] { giveWay(); }, now);
    return m_held->resize(heldBytes(), now);
}

size_t CallerConnection::heldBytes() const noexcept
{
    return m_pending.capacity() + m_parser.heldBytes() + m_request.memoryBytes();
}

void CallerConnection::countHeld()
{
    if (m_pending.empty() && m_parser.isBetweenMessages())
        m_held.reset();
    else if (!holdMemory())
        giveWay();
}

void CallerConnection::giveWay()
{
    telemetry::logWarning("caller", "Dropped an unfinished request: its memory is needed.",
        { { "held", std::to_string(heldBytes()) },
            { "held_all", std::to_string(m_context.requestMemory->total()) } });
    telemetry::count("refused_for_memory");
    const Milliseconds wait = retryAfter();
    stopReceiving();
    // What gives way may be pipelined behind a request that is being served.
    if (m_handler)
        return;
    http1::Headers headers;
    headers.add("Retry-After", secondsText(wait));
    respond(Unavailable, "Service Unavailable", headers, {});
}

void CallerConnection::stopReceiving()
{
    m_hasStoppedReceiving = true;
    m_closesAfterResponse = true;
    m_pending = {};
    m_request = {};
    m_held.reset();
}

Milliseconds CallerConnection::retryAfter()
{
    const Milliseconds spread(static_cast<int64_t>(
        m_context.randomFraction() * static_cast<double>(MemoryRetryAfter.count())));
    const Milliseconds wait = MemoryRetryAfter / 2 + spread;
    try {
        const std::optional<Milliseconds> timeLeft
            = adapter::decodeCallerRequest(m_request.head).timeLeft;
        return timeLeft ? std::clamp(*timeLeft / RetryAfterDivisor, Milliseconds(0), wait) : wait;
    } catch (const adapter::DocumentUnreadable&) {
        // The head has not been received, or the request would be rejected for it.
        return wait;
    }
}

} // namespace citronspoke::gateway

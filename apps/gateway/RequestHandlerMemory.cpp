// The memory of a request and of what its targets send, and what gives way when it is short.
#include "RequestHandler.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

namespace {

    /** Less than this of an unfinished event is not counted; each connection may have so much. */
    constexpr size_t MaxUncountedEventBytes = size_t { 4 } << 10;

} // namespace

bool RequestHandler::countHeld()
{
    if (!m_request.held)
        return true;
    size_t bytes = m_request.memoryBytes();
    if (m_attempt)
        bytes += m_attempt->body->memoryBytes();
    if (m_attempt && m_attempt->head)
        bytes += m_attempt->head->memoryBytes();
    if (m_targetFailure)
        bytes += m_targetFailure->body->memoryBytes() + m_targetFailure->head.memoryBytes();
    if (m_reportCall)
        bytes += MaxReportBytes;
    return m_request.held->resize(bytes, steadyNow());
}

void RequestHandler::continueHolding()
{
    if (!m_isOver && m_attempt && !m_attempt->isRelayed && m_attempt->exchange)
        m_attempt->exchange->setReading(true);
}

bool RequestHandler::countEvent(bool hasProgressed)
{
    const size_t bytes = m_attempt->splitter.memoryBytes();
    if (hasProgressed || bytes <= MaxUncountedEventBytes)
        m_attempt->heldEvent.reset();
    if (bytes <= MaxUncountedEventBytes)
        return true;
    const SteadyTime now = steadyNow();
    if (!m_attempt->heldEvent)
        m_attempt->heldEvent = std::make_unique<capacity::HeldMemory>(
            m_context.requestMemory, [this] { dropEvent(); }, now,
            capacity::HeldMemory::Kind::Event);
    return m_attempt->heldEvent->resize(bytes, now);
}

void RequestHandler::dropEvent()
{
    m_attempt->isCutShort = true;
    m_attempt->splitter.clear();
    // Another request is being served on the call stack.
    const uint32_t number = m_attempt->number;
    m_context.loop.post([weak = weak_from_this(), number] {
        const std::shared_ptr<RequestHandler> self = weak.lock();
        if (self && !self->m_isOver && self->m_attempt->number == number)
            self->endOversizedAttempt();
    });
}

void RequestHandler::endOversizedAttempt()
{
    telemetry::logWarning("request", "Broke off a response that is too long.",
        { { "id", m_callerInfo.attempt.text() }, { "attempt", std::to_string(m_attempt->number) },
            { "target", m_attempt->target.id.text() },
            { "held",
                std::to_string(
                    m_attempt->body->memoryBytes() + m_attempt->splitter.memoryBytes()) },
            { "held_all", std::to_string(m_context.requestMemory->total()) } });
    telemetry::count("oversized_responses");
    m_attempt->exchange->cancel();
    afterAttempt(Outcome::Unknown);
}

} // namespace citronspoke::gateway

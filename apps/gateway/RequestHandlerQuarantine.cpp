// Requests and prompt parts that crash the targets that run them.
#include "RequestHandler.h"
#include "Statuses.h"
#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

uint64_t RequestHandler::fingerprint()
{
    if (!m_fingerprint)
        m_fingerprint = CrashQuarantine::fingerprintOf(
            m_request.head, m_request.bodyBlocks(), m_callerInfo.prompt);
    return *m_fingerprint;
}

std::optional<RequestHandler::QuarantineHold> RequestHandler::quarantineHold()
{
    if (const std::optional<PartQuarantine::Hold> hold
        = m_context.partQuarantine.findHold(m_sharedParts))
        return QuarantineHold { "a part of the prompt is quarantined: it crashed engines",
            hold->remaining, hold->part.text() };
    // Bodies are long and crashes rare: nothing is hashed while no request is suspected.
    if (m_context.crashQuarantine.empty())
        return std::nullopt;
    const std::optional<Milliseconds> remaining
        = m_context.crashQuarantine.remainingQuarantine(fingerprint());
    if (!remaining)
        return std::nullopt;
    return QuarantineHold { "the request is quarantined: it crashed its targets", *remaining, {} };
}

bool RequestHandler::endWhenQuarantined()
{
    const std::optional<QuarantineHold> hold = quarantineHold();
    if (!hold)
        return false;
    telemetry::logInfo("crashes", "Ended a request that is quarantined.",
        { { "id", m_callerInfo.attempt.text() }, { "part", hold->part } });
    telemetry::count("ended_for_quarantine");
    if (m_ranOn.empty())
        refuse(Unavailable, hold->cause, hold->remaining);
    else
        fail(hold->cause);
    return true;
}

void RequestHandler::noteRunEnded(Outcome outcome, channels::ExchangeEnd end)
{
    // A response without length ends with its connection also when its target crashes.
    const bool isBrokenOff = outcome == Outcome::Unknown
        && (end == channels::ExchangeEnd::Broken
            || m_attempt->head->framing == http1::BodyFraming::UntilClose);
    if (isBrokenOff && !m_attempt->wasPaused) {
        m_context.crashQuarantine.notePossibleCrash(fingerprint(), m_attempt->target);
        if (!m_attempt->hasAnswerBegun)
            m_context.partQuarantine.noteBroken(
                m_attempt->target, m_sharedParts, m_callerInfo.attempt);
    }
    if (outcome != Outcome::Served && outcome != Outcome::FailedByTarget)
        return;
    if (!m_context.crashQuarantine.empty())
        m_context.crashQuarantine.noteCompleted(fingerprint());
    if (outcome == Outcome::Served)
        noteAnswerBegun();
}

void RequestHandler::noteAnswerBegun()
{
    const bool isFirst = !std::exchange(m_attempt->hasAnswerBegun, true);
    // Responses of applications tell nothing about prompts.
    if (isFirst && m_pool->engine && m_callerInfo.prompt)
        m_context.partQuarantine.noteServed(m_sharedParts);
}

} // namespace citronspoke::gateway

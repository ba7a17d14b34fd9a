// Handling of target responses: heads, bodies and ends of attempts, and what follows from them.
#include "RequestHandler.h"

#include "Durations.h"
#include "PeerGroup.h"
#include "StreamRegistry.h"
#include "telemetry/Telemetry.h"

#include <algorithm>
#include <array>

namespace citronspoke::gateway {

namespace {

    /** A target may send bytes without end; these are held in memory until a response is whole. */
    constexpr size_t MaxBufferedResponseBytes = size_t { 4 } << 20;
    constexpr size_t MaxEventBytes = size_t { 1 } << 20;
    /** The handle of a prompt, in a short document. */
    constexpr size_t MaxPrefillResponseBytes = size_t { 64 } << 10;

    bool isSuccess(uint32_t status) { return status >= 200 && status < 300; }

    /** @return the requested pause as a log line shows it; empty for none. */
    std::string pauseText(const adapter::TargetNotice& notice)
    {
        return notice.pause ? millisecondsText(*notice.pause) : std::string();
    }

    /** @return whether a status tells callers that their request has not run and will not. */
    bool guaranteesNotRun(uint32_t status)
    {
        constexpr std::array<uint32_t, 4> NotRunStatuses { 408, 421, 429, 503 };
        return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), status)
            != NotRunStatuses.end();
    }

} // namespace

bool RequestHandler::isOwnResponse(const http1::ResponseHead& head) const
{
    const adapter::ResponseInfo info = adapter::decodeResponseHead(head);
    if (info.attempt == m_callerInfo.attempt)
        return true;
    // Targets name the attempt in their responses. On a reused connection, a response that names
    // none may be a copy of an earlier one.
    if (info.attempt.empty() && !m_attempt->exchange->isReused())
        return true;
    telemetry::logWarning("request", "Skipped a response to another request.",
        { { "id", m_callerInfo.attempt.text() }, { "target", m_attempt->target.id.text() },
            { "response_to", info.attempt.text() }, { "status", std::to_string(head.status) } });
    telemetry::count("skipped_responses");
    // A late response to another request states the target's condition too.
    m_context.noteNotice(m_attempt->target, info.notice, info.attempt);
    return false;
}

void RequestHandler::onHead(const http1::ResponseHead& head)
{
    m_attempt->head = head;
    m_attempt->responseInfo = adapter::decodeResponseHead(head);
    noteStatedLimit();
    noteTargetNotice();
    if (!m_attempt->responseInfo.isOtherTarget)
        m_context.partQuarantine.noteResponse(m_attempt->target, m_attempt->startedAt);
    if (m_attempt->step == Step::Prefill || m_attempt->responseInfo.isNotExecuted)
        return;
    // A success without a signature is not the target's response.
    if (isSuccess(head.status) && !m_attempt->responseInfo.isSigned)
        return;
    if (!isSuccess(head.status) || m_route->repeatability != fleet::Repeatability::Stream) {
        noteRunBegun();
        return;
    }
    m_attempt->isRelayed = true;
    m_attempt->headReceivedAt = steadyNow();
    if (m_attempt->step == Step::Decode) {
        const dispatch::TargetState* state = m_context.directory.find(m_attempt->target.id);
        m_context.demandMeters[m_pool->id].noteDecodeBegun(
            since(m_attempt->startedAt), state ? state->load().requests : 1);
    }
    telemetry::logInfo("request", "Answer begins.",
        { { "id", m_callerInfo.attempt.text() }, { "target", m_attempt->target.id.text() },
            { "version", m_attempt->target.version.text() },
            { "took_ms", millisecondsText(since(m_attempt->startedAt)) },
            { "age_ms", millisecondsText(age()) } });
    countResume();
    if (m_hasBegunResponse)
        return;
    m_hasBegunResponse = true;
    if (!m_streamVersion) {
        m_streamVersion = m_attempt->target.version;
        if (m_route->isResumable)
            m_context.streams->noteBegun(m_callerInfo.attempt, { *m_streamVersion, m_pool->id });
    }
    m_writer->beginBody(head.status, head.reason, adapter::responseHeadersForCaller(head));
}

void RequestHandler::noteRunBegun()
{
    if (!std::exchange(m_isRunCounted, true))
        m_context.noteRunBegun(m_organisation);
}

void RequestHandler::noteStatedLimit()
{
    const adapter::ResponseInfo& info = m_attempt->responseInfo;
    const fleet::TargetRecord& target = m_attempt->target;
    // Another target has responded.
    if (info.isOtherTarget)
        return;
    if (info.isLimitUnreadable) {
        telemetry::logWarning("limits", "A response states an unreadable request limit.",
            { { "id", m_callerInfo.attempt.text() }, { "target", target.id.text() } });
        return;
    }
    // Failures and garbled responses do not show that the target has ended its limit.
    const bool isTrusted
        = isSuccess(m_attempt->head->status) && (m_attempt->step == Step::Prefill || info.isSigned);
    if (!info.requestLimit && !isTrusted)
        return;
    if (m_context.statedLimits.noteResponse(
            target, info.requestLimit, m_attempt->startedAt, steadyNow())) {
        m_context.noteLimitChanged(target.id, "response", m_callerInfo.attempt);
        m_context.peers->noteStatedLimits();
    }
}

void RequestHandler::noteTargetNotice()
{
    const adapter::ResponseInfo& info = m_attempt->responseInfo;
    m_context.noteNotice(m_attempt->target, info.notice, m_callerInfo.attempt);
    const bool isAccepted = !info.isNotExecuted && !info.notice.pause;
    if (isAccepted
        && m_context.requestedPauses.noteAccepted(m_attempt->target, m_attempt->startedAt))
        telemetry::logInfo("targets", "A target accepts requests again after its pause.",
            { { "target", m_attempt->target.id.text() }, { "id", m_callerInfo.attempt.text() } });
}

void RequestHandler::onBody(std::string_view bytes)
{
    if (m_attempt->isCutShort)
        return;
    if (m_attempt->isRelayed) {
        const uint64_t eventsBefore = m_attempt->events;
        relayEvents(bytes);
        if (m_attempt->splitter.pendingBytes() > MaxEventBytes
            || !countEvent(m_attempt->events > eventsBefore))
            endOversizedAttempt();
        return;
    }
    m_attempt->body->append(bytes);
    const size_t limit
        = m_attempt->step == Step::Prefill ? MaxPrefillResponseBytes : MaxBufferedResponseBytes;
    if (m_attempt->body->size() > limit) {
        endOversizedAttempt();
    } else if (!countHeld()) {
        telemetry::count("responses_held_off");
        m_attempt->wasPaused = true;
        m_attempt->exchange->setReading(false);
    }
}

void RequestHandler::relayEvents(std::string_view bytes)
{
    std::string whole;
    for (const http1::StreamEvent& event : m_attempt->splitter.feed(bytes)) {
        m_attempt->events += 1;
        noteRunBegun();
        if (event.id)
            noteAnswerBegun();
        // A resumed run may begin with an event that the caller already has.
        if (event.id && m_lastEventId && *event.id <= *m_lastEventId)
            continue;
        if (event.id)
            m_lastEventId = event.id;
        whole += event.bytes;
    }
    if (!whole.empty())
        m_writer->writeBody(whole);
    if (m_writer->isFull()) {
        m_attempt->wasPaused = true;
        m_attempt->exchange->setReading(false);
    }
}

void RequestHandler::continueRelay()
{
    if (!m_isOver && m_attempt && m_attempt->isRelayed && m_attempt->exchange)
        m_attempt->exchange->setReading(true);
}

void RequestHandler::onEnd(channels::ExchangeEnd end)
{
    const Outcome outcome = classify(end);
    constexpr std::array<std::string_view, 5> Names { "served", "failed_by_target", "not_executed",
        "not_sent", "unknown" };
    constexpr std::array<std::string_view, 3> Ends { "complete", "not_sent", "broken" };
    telemetry::logInfo("request", "Attempt ended.",
        { { "id", m_callerInfo.attempt.text() }, { "attempt", std::to_string(m_attempt->number) },
            { "target", m_attempt->target.id.text() },
            { "outcome", std::string(Names[static_cast<size_t>(outcome)]) },
            { "status", std::to_string(m_attempt->head ? m_attempt->head->status : 0) },
            { "end", std::string(Ends[static_cast<size_t>(end)]) },
            { "events", std::to_string(m_attempt->events) },
            { "leaving", m_attempt->responseInfo.notice.isLeaving ? "yes" : "" },
            { "pause_ms", pauseText(m_attempt->responseInfo.notice) },
            { "took_ms", millisecondsText(since(m_attempt->startedAt)) } });
    if (m_attempt->step != Step::Prefill)
        noteRunEnded(outcome, end);
    afterAttempt(outcome);
}

RequestHandler::Outcome RequestHandler::classify(channels::ExchangeEnd end) const
{
    if (end == channels::ExchangeEnd::NotSent)
        return Outcome::NotSent;
    if (!m_attempt->head || m_attempt->isCutShort)
        return Outcome::Unknown;
    if (m_attempt->responseInfo.isNotExecuted)
        return Outcome::NotExecuted;
    if (end != channels::ExchangeEnd::Complete)
        return Outcome::Unknown;
    if (!isSuccess(m_attempt->head->status))
        return Outcome::FailedByTarget;
    if (m_attempt->step == Step::Prefill)
        return Outcome::Served;
    // A success without a signature is not the target's response.
    if (!m_attempt->responseInfo.isSigned || m_attempt->splitter.hasPartialEvent())
        return Outcome::Unknown;
    // Without a length, a response that has only begun looks like a complete one.
    const bool isEmpty
        = m_attempt->isRelayed ? m_attempt->events == 0 : m_attempt->body->size() == 0;
    if (isEmpty && m_attempt->head->framing == http1::BodyFraming::UntilClose)
        return Outcome::Unknown;
    return Outcome::Served;
}

void RequestHandler::afterAttempt(Outcome outcome)
{
    m_attempt->heldEvent.reset();
    m_attempt->splitter.clear();
    notePrefillEnded(outcome != Outcome::NotExecuted && outcome != Outcome::NotSent);
    switch (outcome) {
    case Outcome::Served:
        endAttempt(dispatch::AttemptResult::Served);
        break;
    case Outcome::NotExecuted:
        if (m_attempt->responseInfo.isOtherTarget)
            m_context.peers->noteReplaced(m_attempt->target.id);
        endAttempt(resultOfRefusal());
        break;
    case Outcome::NotSent:
        m_context.peers->noteUnreachable(m_attempt->target.id);
        endAttempt(dispatch::AttemptResult::Unreachable);
        break;
    case Outcome::FailedByTarget:
    case Outcome::Unknown:
        endAttempt(dispatch::AttemptResult::Failed);
        break;
    }
    if (m_attempt->step == Step::Prefill)
        afterPrefill(outcome);
    else
        afterRun(outcome);
}

dispatch::AttemptResult RequestHandler::resultOfRefusal() const
{
    if (m_attempt->responseInfo.isOtherTarget)
        return dispatch::AttemptResult::Replaced;
    return m_context.isPaused(m_attempt->target, steadyNow()) ? dispatch::AttemptResult::Paused
                                                              : dispatch::AttemptResult::Refused;
}

void RequestHandler::afterPrefill(Outcome outcome)
{
    if (outcome == Outcome::Served) {
        try {
            m_prefilledPrompt = PrefilledPrompt { m_attempt->target,
                adapter::decodePromptHandle(m_attempt->body->text()) };
            m_context.notePrefilled(m_attempt->target, m_attempt->tokensToPrefill,
                m_attempt->tokensAhead, since(m_attempt->startedAt));
            if (m_attempt->expected)
                EvenLoads::observePrefill(m_attempt->expected->time, since(m_attempt->startedAt),
                    m_attempt->expected->reportAge);
            m_context.noteCachedParts(m_attempt->target.id, m_callerInfo.prompt->parts);
            m_context.peers->noteCachedParts(m_attempt->target.id, m_callerInfo.prompt->parts);
            // Attempts at decode engines start with no target excluded.
            m_excludedTargets.clear();
            m_turn = std::exchange(m_decodeTurn, std::nullopt);
            sendNext();
            return;
        } catch (const adapter::DocumentUnreadable& unreadable) {
            telemetry::logWarning("request", "A prompt handle is unreadable.",
                { { "id", m_callerInfo.attempt.text() }, { "cause", unreadable.describe() } });
        }
    }
    // An engine whose response was lost has probably prefilled the prompt; a retry there is free.
    const bool isFirstLoss
        = outcome == Outcome::Unknown && m_lostResponses.insert(m_attempt->target.id).second;
    if (!isFirstLoss) {
        m_excludedTargets.insert(m_attempt->target.id);
        m_context.prefixCacheIndex.noteNotPrefilled(
            m_attempt->target.id, m_callerInfo.prompt->parts);
    }
    // A prefill has no side effects, so it may be repeated elsewhere after any outcome.
    retryOrFinish(false, "the prompt was not prefilled");
}

void RequestHandler::afterRun(Outcome outcome)
{
    m_excludedTargets.insert(m_attempt->target.id);
    switch (outcome) {
    case Outcome::Served:
        noteDecodeFinished();
        noteRunFinished();
        m_prefilledPrompt.reset();
        finishServed();
        return;
    case Outcome::FailedByTarget:
        m_ranOn.insert(m_attempt->target.id);
        m_prefilledPrompt.reset();
        afterTargetFailure();
        return;
    case Outcome::NotExecuted:
    case Outcome::NotSent:
        retryOrFinish(false, "the target did not run the request");
        return;
    case Outcome::Unknown:
        m_ranOn.insert(m_attempt->target.id);
        releasePrompt();
        retryOrFinish(true, "the target's response broke off");
        return;
    }
}

void RequestHandler::noteDecodeFinished()
{
    if (m_attempt->step != Step::Decode || !m_attempt->isRelayed)
        return;
    const Milliseconds took = since(m_attempt->headReceivedAt);
    m_context.demandMeters[m_pool->id].noteDecodeFinished(
        took, m_callerInfo.prompt->tokens, *m_pool->engine, steadyNow());
    if (m_attempt->events > 1)
        m_context.evenLoads.noteDecoded(m_pool->id, m_context.sameIncarnation(m_attempt->target),
            static_cast<double>(took.count()) / static_cast<double>(m_attempt->events - 1),
            steadyNow());
}

void RequestHandler::finishServed()
{
    const uint32_t status = m_attempt->head->status;
    if (m_hasBegunResponse)
        m_writer->endBody();
    else
        m_writer->respond(status, m_attempt->head->reason,
            adapter::responseHeadersForCaller(*m_attempt->head), m_attempt->body);
    finish("served", status, "");
}

void RequestHandler::afterTargetFailure()
{
    constexpr uint32_t FirstServerError = 500;
    if (m_hasBegunResponse) {
        finish("broken", m_attempt->head->status, "the resumed run failed");
        m_writer->abort();
        return;
    }
    const uint32_t status = m_attempt->head->status;
    // One target's "not run" guarantee does not cover another that may have run the request before.
    if (!guaranteesNotRun(status) || m_ranOn.size() == 1)
        m_targetFailure = TargetFailure { *m_attempt->head, m_attempt->body };
    // Failures below 500 are caused by the request itself, so another target would fail it too.
    if (status >= FirstServerError)
        retryOrFinish(true, "the target failed the request");
    else
        fail("the target failed the request");
}

void RequestHandler::forwardFailure(const TargetFailure& failure)
{
    m_writer->respond(failure.head.status, failure.head.reason,
        adapter::responseHeadersForCaller(failure.head), failure.body);
    finish("failed_by_target", failure.head.status, "");
}

} // namespace citronspoke::gateway

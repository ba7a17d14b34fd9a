// Retries after an attempt, and the ends of a request without a target's response.
#include "Durations.h"
#include "RequestHandler.h"
#include "Statuses.h"
#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

namespace {

    /** Attempts for one request, including those that no target ran. */
    constexpr uint32_t MaxAttempts = 5;
    /** With less time left, another attempt is not worthwhile. */
    constexpr Milliseconds MinAttemptTime { 20 };
    /** For conditions that may end soon, such as a target that is full. */
    constexpr Milliseconds ShortRetryAfter { 250 };

    std::string_view reasonOf(uint32_t status)
    {
        switch (status) {
        case BadRequest:
            return "Bad Request";
        case Unauthorized:
            return "Unauthorized";
        case NotFound:
            return "Not Found";
        case BadGateway:
            return "Bad Gateway";
        case Unavailable:
            return "Service Unavailable";
        case GatewayTimeout:
            return "Gateway Timeout";
        default:
            return "Error";
        }
    }

} // namespace

void RequestHandler::retryOrFinish(bool mayHaveRun, std::string_view cause)
{
    std::string_view retryBlocker;
    const bool isSent = m_attempt->exchange->isSent();
    // A decode that is started again needs its prompt prefilled again first.
    const bool repeatsPrefill = mayHaveRun && m_attempt->step == Step::Decode;
    const uint32_t sends = (isSent ? 1 : 0) + (repeatsPrefill ? 1 : 0);
    const bool isAllowed = !mayHaveRun || m_route->mayRepeat();
    if (!isAllowed)
        retryBlocker = "the request may have run and must not be repeated";
    if (isAllowed && mayRetry(sends, retryBlocker)) {
        sendNext();
        return;
    }
    telemetry::logInfo("request", "No further attempt.",
        { { "id", m_callerInfo.attempt.text() }, { "cause", std::string(cause) },
            { "obstacle", std::string(retryBlocker) } });
    if (m_ranOn.empty())
        refuse(Unavailable, cause, ShortRetryAfter);
    else
        fail(cause);
}

bool RequestHandler::mayRetry(uint32_t sends, std::string_view& retryBlocker)
{
    if (m_attempts >= MaxAttempts)
        retryBlocker = "too many attempts";
    else if (const std::optional<QuarantineHold> hold = quarantineHold())
        retryBlocker = hold->cause;
    else if (m_ranOn.size() >= m_route->maxTargets)
        retryBlocker = "the route's limit of targets is reached";
    else if (m_hasBegunResponse && !hasTargetToGoOn())
        retryBlocker = "no other target has the version that began the stream";
    else if (timeLeft() < MinAttemptTime)
        retryBlocker = "too little time left";
    else if (!spendRetryBudget(sends))
        retryBlocker = "the retry budget is spent";
    return retryBlocker.empty();
}

bool RequestHandler::spendRetryBudget(uint32_t sends)
{
    if (sends == 0)
        return true;
    const SteadyTime now = steadyNow();
    const dispatch::RetryBudget::Balance balance = m_context.retryBudget.balance(m_pool->id, now);
    const bool isCovered = m_context.retryBudget.trySpend(m_pool->id, sends, now);
    telemetry::logInfo("request", "Asked the retry budget.",
        { { "id", m_callerInfo.attempt.text() }, { "pool", m_pool->id.text() },
            { "sends", std::to_string(sends) }, { "covered", isCovered ? "yes" : "no" },
            { "available", std::to_string(balance.available) },
            { "requests", std::to_string(balance.requests) },
            { "gateways", std::to_string(balance.entries) },
            { "process_age_ms", std::to_string(balance.processAge.count()) } });
    telemetry::count("retry_sends",
        { { "pool", m_pool->id.text() }, { "result", isCovered ? "charged" : "refused" } }, sends);
    return isCovered;
}

void RequestHandler::onDeadline()
{
    if (m_isOver)
        return;
    if (m_hasBegunResponse) {
        finish("broken", 0, "deadline");
        m_writer->abort();
        return;
    }
    if (!mayHaveRun()) {
        refuse(Unavailable, "deadline", ShortRetryAfter);
        return;
    }
    if (m_targetFailure) {
        forwardFailure(*m_targetFailure);
        return;
    }
    m_writer->respond(GatewayTimeout, reasonOf(GatewayTimeout), {}, {});
    finish("timed_out", GatewayTimeout, "deadline");
}

bool RequestHandler::mayHaveRun() const
{
    const bool isRunning = m_attempt && m_attempt->step != Step::Prefill && m_attempt->exchange
        && m_attempt->exchange->isSent();
    return isRunning || !m_ranOn.empty();
}

bool RequestHandler::refuseBeforeStop()
{
    const std::optional<StopPlan>& stop = m_context.stop;
    // A caller that is refused earlier may come back to this gateway.
    if (!stop || steadyNow() < stop->leavesLoadBalancerAt || m_deadline <= stop->endsRequestsAt)
        return false;
    telemetry::count("refused_before_stop");
    refuse(Unavailable, "the process stops within the request's time limit", Milliseconds(0));
    return true;
}

void RequestHandler::endForStop()
{
    constexpr std::string_view Cause = "the process stops";
    if (m_isOver)
        return;
    if (m_hasBegunResponse || mayHaveRun())
        fail(Cause);
    else
        refuse(Unavailable, Cause, Milliseconds(0));
}

void RequestHandler::refuse(uint32_t status, std::string_view cause, Milliseconds retryAfter)
{
    http1::Headers headers;
    if (status == Unavailable)
        headers.add("Retry-After", secondsText(retryAfter));
    if (status == Unauthorized)
        headers.add("WWW-Authenticate", "Token");
    m_writer->respond(status, reasonOf(status), headers, {});
    finish("refused", status, cause);
}

void RequestHandler::fail(std::string_view cause)
{
    if (m_targetFailure && !m_hasBegunResponse) {
        forwardFailure(*m_targetFailure);
        return;
    }
    finish(m_hasBegunResponse ? "broken" : "failed", BadGateway, cause);
    if (m_hasBegunResponse)
        m_writer->abort();
    else
        m_writer->respond(BadGateway, reasonOf(BadGateway), {}, {});
}

void RequestHandler::finish(std::string_view outcome, uint32_t status, std::string_view cause)
{
    m_isOver = true;
    m_deadlineTimer.cancel();
    m_turnTimer.cancel();
    m_originSearch.reset();
    m_reportCall.reset();
    cancelTurn(m_turn);
    cancelTurn(m_decodeTurn);
    std::string step;
    std::string stepTime;
    if (m_attempt) {
        step = stepName(m_attempt->step);
        stepTime = millisecondsText(since(m_attempt->startedAt));
        if (m_attempt->step == Step::Prefill && m_attempt->load != dispatch::Load {}) {
            m_context.prefixCacheIndex.noteNotPrefilled(
                m_attempt->target.id, m_callerInfo.prompt->parts);
            notePrefillEnded(false);
        }
        endAttempt(dispatch::AttemptResult::Served);
        if (m_attempt->exchange)
            m_attempt->exchange->cancel();
    }
    releasePrompt();
    const std::string route = m_route ? m_route->name : "";
    telemetry::logInfo("request", "Finished.",
        { { "id", m_callerInfo.attempt.text() }, { "route", route },
            { "outcome", std::string(outcome) }, { "status", std::to_string(status) },
            { "cause", std::string(cause) }, { "attempts", std::to_string(m_attempts) },
            { "last_step", step }, { "last_target", m_attempt ? m_attempt->target.id.text() : "" },
            { "last_step_ms", stepTime }, { "took_ms", millisecondsText(age()) } });
    telemetry::count("requests", { { "outcome", std::string(outcome) } });
    telemetry::observe("request_duration", since(m_request.receivedAt));
}

void RequestHandler::endAttempt(dispatch::AttemptResult result)
{
    if (m_attempt->load == dispatch::Load {})
        return;
    m_context.noteFinished(m_attempt->target.id, m_attempt->load);
    m_attempt->load = {};
    if (!m_isOver)
        m_context.directory.noteResult(m_attempt->target.id, result, steadyNow());
}

void RequestHandler::releasePrompt()
{
    if (!m_prefilledPrompt)
        return;
    const fleet::TargetRecord prefillEngine = m_prefilledPrompt->prefillEngine;
    constexpr Milliseconds ReleaseTimeout { 1000 };
    constexpr size_t MaxReleaseResponseBytes = 4096;
    if (m_context.isPaused(prefillEngine, steadyNow())) {
        telemetry::logInfo("request", "Released no KV cache: the engine has requested a pause.",
            { { "id", m_callerInfo.attempt.text() }, { "target", prefillEngine.id.text() } });
        m_prefilledPrompt.reset();
        return;
    }
    // Not delayed, because it frees memory there, but counted.
    m_context.pacer.book(prefillEngine.id, steadyNow());
    // The call keeps itself alive until it ends; a handle that is not released expires by
    // itself.
    const std::shared_ptr<std::shared_ptr<void>> own = std::make_shared<std::shared_ptr<void>>();
    *own = channels::call(m_context.loop, m_context.targetConnections,
        { prefillEngine.address, prefillEngine.id.text() },
        adapter::composeCall(
            adapter::releaseHandleCall(m_prefilledPrompt->handle), prefillEngine.address),
        { ReleaseTimeout, MaxReleaseResponseBytes },
        [own, prefillEngine, &context = m_context](
            const std::optional<channels::CallResponse>& response) {
            if (response)
                context.noteNotice(prefillEngine,
                    adapter::decodeTargetNotice(response->status, response->headers));
            else
                telemetry::logWarning(
                    "request", "No response to the release of a prompt's KV cache.");
            const std::shared_ptr<void> finished = std::exchange(*own, nullptr);
        });
    m_prefilledPrompt.reset();
}

void RequestHandler::callerLeft()
{
    if (m_isOver)
        return;
    finish("caller_left", 0, "the caller closed its connection");
}

} // namespace citronspoke::gateway

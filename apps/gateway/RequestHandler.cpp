#include "RequestHandler.h"

#include "Durations.h"
#include "PeerGroup.h"
#include "Statuses.h"
#include "telemetry/Telemetry.h"

#include <cmath>

namespace citronspoke::gateway {

namespace {

    constexpr Milliseconds StartRetryAfter { 1000 };
    /** Targets that restart are in the store again some heartbeats later. */
    constexpr Milliseconds NoTargetRetryAfter { 2000 };
    /** Callers accept a wait of at most this fraction (1/n) of their remaining time. */
    constexpr int RetryAfterDivisor = 3;
    /** The target stops by itself at the deadline; its own response may arrive this much later. */
    constexpr Milliseconds DeadlineSlack { 30 };
    /** Work that must not be repeated uses no connection that was idle for longer: the target may
     * have closed it unnoticed. */
    constexpr Milliseconds MaxFreshIdleTime { 500 };
    constexpr Milliseconds AnyIdleTime = std::chrono::hours(1);

    /** @return the number as a log line shows it; empty for none. */
    template <typename Integer> std::string numberText(const std::optional<Integer>& number)
    {
        return number ? std::to_string(*number) : std::string();
    }

    /** @return the ids of the parts that a prompt may share with others, as a log line shows them.
     */
    std::string sharedPartsText(const std::optional<fleet::Prompt>& prompt)
    {
        constexpr size_t MaxLoggedParts = 8;
        if (!prompt || prompt->parts.empty())
            return {};
        const size_t count = std::min(prompt->parts.size() - 1, MaxLoggedParts);
        std::string text;
        for (const fleet::PromptPart& part : std::span(prompt->parts).first(count))
            text.append(text.empty() ? "" : ",").append(part.id);
        return text;
    }

} // namespace

std::string_view RequestHandler::stepName(Step step)
{
    constexpr std::array<std::string_view, 3> Names { "run", "read", "make" };
    return Names[static_cast<size_t>(step)];
}

RequestHandler::RequestHandler(
    GatewayContext& context, ReceivedRequest request, ResponseWriter& writer)
    : m_context(context)
    , m_request(std::move(request))
    , m_writer(&writer)
    , m_deadlineTimer(context.loop)
    , m_turnTimer(context.loop)
{
}

RequestHandler::~RequestHandler() { callerLeft(); }

void RequestHandler::start()
{
    if (m_request.held) {
        m_request.held->beginService([weak = weak_from_this(), &loop = m_context.loop] {
            loop.post([weak] {
                if (const std::shared_ptr<RequestHandler> self = weak.lock())
                    self->continueHolding();
            });
        });
    }
    try {
        m_callerInfo = adapter::decodeCallerRequest(m_request.head);
    } catch (const adapter::DocumentUnreadable& unreadable) {
        refuse(BadRequest, unreadable.describe(), Milliseconds(0));
        return;
    }
    if (!findRoute())
        return;
    if (m_route->isResumable)
        m_lastEventId = m_callerInfo.lastEventId;
    if (!m_lastEventId && !enterPool(drawPool()))
        return;
    Milliseconds limit = m_route->timeout;
    if (m_callerInfo.timeLeft)
        limit = std::min(limit, *m_callerInfo.timeLeft);
    m_deadline = m_request.receivedAt + limit;
    telemetry::logInfo("request", "Received.",
        { { "id", m_callerInfo.attempt.text() }, { "route", m_route->name },
            { "pool", m_pool ? m_pool->id.text() : "" },
            { "revision", std::to_string(m_routes->declaration().revision.value()) },
            { "left_ms", millisecondsText(timeLeft()) },
            { "tokens", std::to_string(m_callerInfo.prompt ? m_callerInfo.prompt->tokens : 0) },
            { "parts", sharedPartsText(m_callerInfo.prompt) },
            { "resumes", m_callerInfo.resumedAttempt.text() },
            { "last_event", numberText(m_lastEventId) } });
    const std::weak_ptr<RequestHandler> weak = weak_from_this();
    m_deadlineTimer.arm(timeLeft() + DeadlineSlack, [weak] {
        if (const std::shared_ptr<RequestHandler> self = weak.lock())
            self->onDeadline();
    });
    if (refuseBeforeStop())
        return;
    if (m_lastEventId)
        resumeStream();
    else
        sendNext();
}

bool RequestHandler::findRoute()
{
    m_routes = m_context.routes;
    if (!m_routes) {
        refuse(Unavailable, "no declaration is known yet", StartRetryAfter);
        return false;
    }
    m_route = m_routes->match(m_callerInfo.host, m_request.head.target);
    if (endWhenKeyRefused())
        return false;
    if (!m_route) {
        // An older declaration may lack a route that the operators have added.
        if (m_context.declarationAge() > m_context.settings.applyTime)
            refuse(
                Unavailable, "no route matches, but the declaration may be stale", StartRetryAfter);
        else
            refuse(NotFound, "no route matches", Milliseconds(0));
        return false;
    }
    return true;
}

const PoolId& RequestHandler::drawPool()
{
    return dispatch::choosePool(*m_route, m_context.randomFraction());
}

bool RequestHandler::enterPool(const PoolId& pool)
{
    m_pool = m_routes->declaration().pool(pool);
    if (!m_pool) {
        refuse(Unavailable, "the route's pool is not declared", StartRetryAfter);
        return false;
    }
    const bool isPrompt = m_pool->engine && m_callerInfo.prompt;
    if (isPrompt)
        m_sharedParts = quarantine::sharedParts(*m_callerInfo.prompt);
    if (endWhenQuarantined())
        return false;
    m_context.retryBudget.noteRequest(m_pool->id, steadyNow());
    if (isPrompt)
        m_context.demandMeters[m_pool->id].noteArrival(steadyNow());
    return true;
}

void RequestHandler::sendNext()
{
    // A declaration without the key may have been adopted while the request waited or ran.
    if (endWhenKeyRefused())
        return;
    // A quarantine may have begun while the request waited, or since its prompt was prefilled.
    if (endWhenQuarantined())
        return;
    const bool isPrompt = m_pool->engine && m_callerInfo.prompt && m_route->carriesPrompts;
    bool isTakenCareOf = false;
    if (isPrompt)
        isTakenCareOf = m_prefilledPrompt ? sendDecode() : sendPrefill();
    if (!isTakenCareOf && !m_prefilledPrompt) {
        if (!m_turn)
            m_turn = std::exchange(m_decodeTurn, std::nullopt);
        isTakenCareOf = sendWhole();
    }
    if (isTakenCareOf)
        return;
    if (m_ranOn.empty())
        refuse(Unavailable,
            m_streamVersion ? "no usable target has the version that began the stream"
                            : "no usable target",
            std::min(NoTargetRetryAfter, timeLeft() / RetryAfterDivisor));
    else
        fail("no other usable target");
}

bool RequestHandler::sendWhole()
{
    TargetStates states = m_context.directory.usable(m_pool->id, steadyNow());
    keepStreamVersion(states);
    // A prefill engine runs no whole requests.
    std::erase_if(states, [](const dispatch::TargetState* state) {
        return state->record.role == EngineRole::Prefill;
    });
    dispatch::TargetState* state = dispatch::chooseTarget(readyTargets(states), m_excludedTargets,
        m_context.zone, m_context.randomFraction(), steadyNow(), nextEvenLoad(ChoiceKind::Target));
    if (!state)
        return awaitTurn(states);
    if (refuseUnmeetableRun(*state) || confirmIncarnation(state->record))
        return true;
    dispatch::Load load { 1, {}, 0 };
    if (m_callerInfo.prompt)
        load.usedCacheTokens = m_callerInfo.prompt->tokens + m_callerInfo.prompt->outputLimit;
    adapter::TargetRequestFields fields;
    fields.stage = adapter::RunWhole {};
    send(Step::RunWhole, state->record, load, std::move(fields));
    return true;
}

bool RequestHandler::sendPrefill()
{
    const TargetStates decoding = decodeEngines();
    if (decoding.empty())
        return false;
    if (!bookDecodeTurn(decoding))
        return true;
    const TargetStates states = m_context.enginesInRole(m_pool->id, EngineRole::Prefill);
    const TargetStates cachingEngines = m_context.directory.allInPool(m_pool->id, steadyNow());
    for (dispatch::TargetState* state : states)
        state->isConnected = m_context.targetConnections.hasIdle(
            { state->record.address, state->record.id.text() });
    const dispatch::PromptGoal goal = promptGoal();
    const dispatch::EvenLoad* even = nextEvenLoad(ChoiceKind::PrefillEngine);
    const dispatch::PromptPlacement placement = dispatch::placePrompt(readyTargets(states),
        cachingEngines, *m_callerInfo.prompt, goal, m_context.prefixCacheIndex,
        m_context.prefillSpeeds[m_pool->id], m_excludedTargets, steadyNow(), even);
    if (!placement.engine)
        return !mayRunWhole() && awaitTurn(states);
    if (refuseUnmeetablePrompt(placement))
        return true;
    if (m_attempts == 0)
        m_context.demandMeters[m_pool->id].notePrompt(
            m_context.prefillSpeeds[m_pool->id].estimate(placement.tokensToPrefill), steadyNow());
    m_context.prefixCacheIndex.noteSent(
        placement.engine->record.id, m_pool->engine->cacheTokens, m_callerInfo.prompt->parts);
    adapter::TargetRequestFields fields;
    fields.stage = adapter::PrefillOnly {};
    if (placement.fetchFrom)
        fields.fetchPartsFrom = placement.fetchFrom->record.address;
    fields.priority = placement.urgency;
    dispatch::Load load { 1, {}, 0 };
    load.promptTokens[placement.urgency] = placement.tokensToPrefill;
    if (even)
        m_expected = { placement.expected, Milliseconds(std::llround(even->reportAgeMs)) };
    send(Step::Prefill, placement.engine->record, load, std::move(fields));
    m_attempt->tokensAhead = placement.tokensAhead;
    notePromptSent(placement);
    return true;
}

bool RequestHandler::sendDecode()
{
    const TargetStates states = decodeEngines();
    const dispatch::DecodeGoal goal { m_prefilledPrompt->prefillEngine.zone,
        m_callerInfo.prompt->tokens, m_route->isResumable };
    dispatch::TargetState* state = dispatch::chooseDecodeEngine(readyTargets(states),
        m_excludedTargets, goal, steadyNow(), nextEvenLoad(ChoiceKind::DecodeEngine));
    if (!state)
        return awaitTurn(states);
    if (refuseUnmeetableRun(*state) || confirmIncarnation(state->record))
        return true;
    adapter::TargetRequestFields fields;
    fields.stage = adapter::DecodeFromHandle { m_prefilledPrompt->prefillEngine.address,
        m_prefilledPrompt->handle };
    const dispatch::Load load { 1, {},
        m_callerInfo.prompt->tokens + m_callerInfo.prompt->outputLimit };
    send(Step::Decode, state->record, load, std::move(fields));
    return true;
}

void RequestHandler::send(Step step, const fleet::TargetRecord& target, const dispatch::Load& load,
    adapter::TargetRequestFields fields)
{
    constexpr uint32_t LowestPriority = 9;
    m_attempts += 1;
    m_attempt = std::make_unique<Attempt>();
    m_attempt->number = m_attempts;
    m_attempt->step = step;
    m_attempt->target = target;
    m_attempt->load = load;
    m_attempt->tokensToPrefill = load.tokensToPrefill();
    m_attempt->startedAt = steadyNow();
    countHeld();
    m_attempt->expected = std::exchange(m_expected, std::nullopt);
    noteWorkSent();
    fields.target = target.id;
    fields.timeLeft = std::max(Milliseconds(1), timeLeft());
    fields.lastEventId = m_lastEventId;
    if (m_hidesKey)
        fields.organisation = m_organisation;
    if (m_pool->engine && !fields.priority)
        fields.priority = std::min(priority(), LowestPriority);
    m_context.noteStarted(target.id, load);
    if (!std::exchange(m_isTurnBooked, false))
        m_context.pacer.book(target.id, m_attempt->startedAt);
    const std::weak_ptr<RequestHandler> weak = weak_from_this();
    const uint32_t number = m_attempts;
    const auto current = [weak, number]() -> std::shared_ptr<RequestHandler> {
        std::shared_ptr<RequestHandler> self = weak.lock();
        return self && self->m_attempt && self->m_attempt->number == number ? self : nullptr;
    };
    channels::Exchange::Handlers handlers;
    handlers.matchesRequest = [current](const http1::ResponseHead& head) {
        const std::shared_ptr<RequestHandler> self = current();
        return !self || self->isOwnResponse(head);
    };
    handlers.onHead = [current](const http1::ResponseHead& head) {
        if (const std::shared_ptr<RequestHandler> self = current())
            self->onHead(head);
    };
    handlers.onBody = [current](std::string_view bytes) {
        if (const std::shared_ptr<RequestHandler> self = current())
            self->onBody(bytes);
    };
    handlers.onEnd = [current](channels::ExchangeEnd end) {
        if (const std::shared_ptr<RequestHandler> self = current())
            self->onEnd(end);
    };
    const bool isRepeatable = step == Step::Prefill || m_route->mayRepeat();
    const dispatch::TargetState* state = m_context.directory.find(target.id);
    // A target that has just failed may be gone; a new connection shows it before anything is sent.
    const bool isSuspect = state && state->consecutiveFailures > 0;
    // A copy of the response to the first attempt would look like that to the second one.
    const bool isSecondAttempt = !m_targetsSentTo.insert(target.id).second;
    Milliseconds maxIdle = isRepeatable ? AnyIdleTime : MaxFreshIdleTime;
    if (isSecondAttempt || (isSuspect && !isRepeatable))
        maxIdle = Milliseconds(0);
    m_attempt->exchange = m_context.targetConnections.start({ target.address, target.id.text() },
        adapter::composeTargetRequest(
            m_request.head, fields, m_request.body ? m_request.body->size() : 0),
        m_request.body, maxIdle, std::move(handlers));
    telemetry::logInfo("request", "Sent.",
        { { "id", m_callerInfo.attempt.text() }, { "attempt", std::to_string(m_attempts) },
            { "step", std::string(stepName(step)) }, { "target", target.id.text() },
            { "address", target.address.text() }, { "version", target.version.text() },
            { "last_event", numberText(fields.lastEventId) },
            { "tokens", std::to_string(load.tokensToPrefill()) },
            { "urgency", numberText(fields.priority) },
            { "fetch", fields.fetchPartsFrom ? fields.fetchPartsFrom->text() : "" },
            { "kept_connection", m_attempt->exchange->isSent() ? "yes" : "no" },
            { "expected_ms",
                m_attempt->expected ? millisecondsText(m_attempt->expected->time) : "" },
            { "report_age_ms",
                m_attempt->expected ? millisecondsText(m_attempt->expected->reportAge) : "" },
            { "left_ms", millisecondsText(fields.timeLeft) } });
}

const dispatch::EvenLoad* RequestHandler::nextEvenLoad(ChoiceKind kind)
{
    return m_context.evenLoads.next(
        m_pool->id, kind, m_context.directory, m_context.randomFraction(), steadyNow());
}

void RequestHandler::noteWorkSent()
{
    const auto note = [this](ChoiceKind kind, double work) {
        m_context.evenLoads.noteSent(m_pool->id, kind, work, steadyNow());
    };
    switch (m_attempt->step) {
    case Step::RunWhole:
        note(ChoiceKind::Target, 1);
        break;
    case Step::Prefill:
        note(ChoiceKind::PrefillEngine,
            dispatch::prefillWork(m_attempt->tokensToPrefill, m_context.prefillSpeeds[m_pool->id]));
        break;
    case Step::Decode:
        note(ChoiceKind::DecodeEngine, dispatch::decodeWork(m_attempt->load.usedCacheTokens));
        break;
    }
}

Milliseconds RequestHandler::timeLeft() const
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - steadyNow());
}

Milliseconds RequestHandler::age() const { return since(m_request.receivedAt); }

} // namespace citronspoke::gateway

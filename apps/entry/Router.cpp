#include "Router.h"

#include "CrashRecords.h"
#include "telemetry/Telemetry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace citronspoke::entry {

namespace {

    using telemetry::EventKind;

    constexpr size_t EventCapacity = 65536;
    constexpr Milliseconds TickInterval { 20 };
    constexpr Milliseconds SubscribeInterval { 2000 };
    constexpr Milliseconds PublishInterval { 250 };
    /** A longer gap between ticks means that this process itself was paused. */
    constexpr Milliseconds OwnPauseThreshold { 400 };
    constexpr Milliseconds AcceptTimeout { 400 };
    /** After so many resends to one target, a call that may not be repeated goes to another. */
    constexpr uint32_t MaxResends = 2;
    constexpr Milliseconds GapTimeout { 150 };
    constexpr Milliseconds RetryDelay { 100 };
    constexpr Milliseconds NotOwnerRetryDelay { 300 };
    constexpr Milliseconds SuspectRetryDelay { 300 };
    constexpr Milliseconds RetryAfterFailure { 500 };

} // namespace

Router::Router(const settings::EntrySettings& settings, control::ConfigHolder& config)
    : m_settings(settings)
    , m_self(settings.process.id)
    , m_config(config)
    , m_events(EventCapacity)
    , m_targets(m_self, settings.process.zone)
    , m_chooser(m_targets, m_crashHistory)
{
}

Router::~Router() { stop(); }

void Router::start()
{
    m_mailbox = std::make_unique<transport::Mailbox>(m_settings.process.mailbox,
        [this](protocol::Message message) { post(std::move(message)); });
    m_configExchange = std::make_unique<ConfigExchange>(m_config, *m_mailbox);
    m_lastTick = steadyNow();
    m_worker.emplace("router", [this](const std::stop_token& token) { run(token); });
}

void Router::stop()
{
    if (!m_worker)
        return;
    m_events.close();
    m_worker.reset();
    m_mailbox.reset();
}

void Router::post(RouterEvent event)
{
    if (m_events.tryPush(std::move(event)))
        return;
    telemetry::count("events_dropped");
    if (const auto* caller = std::get_if<CallerRequest>(&event)) {
        const Problem problem { RefusalReason::NoCapacity, ExecutionState::NotRun,
            RetryAfterFailure, {} };
        caller->exchange->respond(errorResponse(problem, caller->submit.request));
    }
}

std::shared_ptr<const FleetSnapshot> Router::snapshot() const
{
    std::lock_guard lock(m_publishMutex);
    return m_snapshot;
}

std::string Router::status() const
{
    std::lock_guard lock(m_publishMutex);
    return m_status;
}

void Router::run(const std::stop_token&)
{
    std::deque<RouterEvent> batch;
    while (m_events.popAll(batch, TickInterval)) {
        tick();
        for (RouterEvent& event : batch)
            std::visit([this](auto& body) { on(body); }, event);
        for (const RequestId& id : m_endedRequests)
            m_requests.erase(id);
        m_endedRequests.clear();
        m_requestCount = m_requests.size();
    }
}

void Router::tick()
{
    const SteadyTime now = steadyNow();
    const SteadyTime::duration gap = now - m_lastTick;
    m_lastTick = now;
    if (gap > OwnPauseThreshold) {
        m_targets.compensateForPause(gap);
        telemetry::logWarning("router", "This process was paused.",
            { { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(gap).count()) } });
    }
    if (m_config.revision() > m_adoptedRevision)
        adoptConfiguration();
    if (now >= m_nextSubscribe)
        sendSubscribe();
    for (const TargetId& target : m_targets.suspectUnresponsiveTargets(now))
        handleLostTarget(target, "silent");
    const UnixMillis wallNow = unixNow();
    if (now >= m_nextTimerCheck) {
        m_nextTimerCheck = now + TickInterval;
        for (auto& [id, request] : m_requests)
            checkTimers(request, now, wallNow);
    }
    if (now >= m_nextPublish)
        publish();
}

void Router::adoptConfiguration()
{
    const settings::DeploymentPointer deployment = m_config.current();
    m_adoptedRevision = deployment->revision;
    m_targets.configure(*deployment);
    m_chooser.configure(deployment->routing);
    m_retryBudgets.configure(deployment->limits);
    m_nextSubscribe = steadyNow();
    sendSubscribe();
}

void Router::sendSubscribe()
{
    m_nextSubscribe = steadyNow() + jittered(SubscribeInterval);
    protocol::Subscribe subscribe;
    subscribe.entry = m_self;
    subscribe.address = m_mailbox->address();
    subscribe.operatorAddress = m_settings.process.operatorAddress;
    subscribe.configRevision = m_config.revision();
    subscribe.crashRecords = toCrashRecords(m_crashHistory);
    for (const auto& [id, view] : m_targets.targets())
        m_mailbox->send(view.settings.mailbox, subscribe);
    if (m_targets.targets().empty()) {
        for (const std::string& seed : m_settings.seeds)
            m_mailbox->send(PeerAddress(seed), subscribe);
    }
}

void Router::publish()
{
    m_nextPublish = steadyNow() + PublishInterval;
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->targets = m_targets.targets();
    nlohmann::json targets = nlohmann::json::object();
    for (const auto& [id, view] : snapshot->targets) {
        targets[id.text()] = { { "eligible", view.isEligible() }, { "suspected", view.isSuspected },
            { "outstanding", view.outstanding },
            { "state", view.heartbeat ? toText(view.heartbeat->state) : "unheard" },
            { "role", view.heartbeat ? toText(view.heartbeat->role) : "unknown" } };
    }
    const nlohmann::json status { { "id", m_self.text() }, { "requests", m_requests.size() },
        { "config", m_config.revision().value() }, { "leaving", m_isLeaving.load() },
        { "targets", targets } };
    std::lock_guard lock(m_publishMutex);
    m_snapshot = std::move(snapshot);
    m_status = status.dump();
}

void Router::on(protocol::Message& message)
{
    std::visit([this](auto& body) { receive(body); }, message);
}

void Router::on(VmStatesUpdate& event) { m_targets.noteVmStates(event.states); }

Request* Router::find(const RequestId& id)
{
    auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void Router::on(CallerRequest& caller)
{
    const RequestId id = caller.submit.request;
    Request& request = m_requests[id];
    request.caller = std::move(caller);
    request.receivedAt = steadyNow();
    m_requestCount = m_requests.size();
    telemetry::record(EventKind::RequestReceived, id, {});
    request.caller.exchange->onGone([this, id] { post(CallerGone { id }); });
    if (!admit(request))
        return;
    telemetry::record(EventKind::RequestAdmitted, id, {});
    m_retryBudgets.noteRequest(request.caller.submit.organisation);
    dispatch(request);
}

bool Router::admit(Request& request)
{
    const protocol::Submit& submit = request.caller.submit;
    Problem problem;
    if (m_isLeaving) {
        problem.reason = RefusalReason::Leaving;
        problem.retryAfter = RetryDelay;
    }
    const bool isQuarantined = m_crashHistory.suspicion(submit.fingerprint, unixNow())
        == decisions::Suspicion::Quarantined;
    if (isQuarantined)
        problem.reason = RefusalReason::Quarantined;
    if (problem.reason == RefusalReason::None) {
        const settings::Tier& tier = request.caller.tier;
        const decisions::LimitShare share = decisions::divideLimit(
            tier.concurrentRequests, tier.tokensPerMinute, m_targets.entryCount());
        const std::optional<Milliseconds> wait = m_limiters[submit.organisation].tryAdmit(
            share, submit.promptTokens + submit.outputTokens, steadyNow());
        if (!wait)
            return true;
        problem.reason = RefusalReason::LimitExceeded;
        problem.retryAfter = *wait;
    }
    telemetry::record(
        EventKind::RequestRefused, request.id(), {}, std::string(toText(problem.reason)));
    telemetry::count("refused", { { "reason", std::string(toText(problem.reason)) } });
    request.caller.exchange->respond(errorResponse(problem, request.id()));
    m_endedRequests.push_back(request.id());
    return false;
}

void Router::on(AttachRequest& attach)
{
    const TargetView* view = m_targets.find(attach.target);
    if (!view || find(attach.request)) {
        Problem problem;
        problem.reason = RefusalReason::UnknownRequest;
        problem.execution = ExecutionState::MayHaveRun;
        return attach.exchange->respond(errorResponse(problem, attach.request));
    }
    Request& request = m_requests[attach.request];
    request.isAttached = true;
    request.isAccepted = true;
    request.caller.exchange = attach.exchange;
    request.caller.deployment = m_config.current();
    request.caller.isStreaming = true;
    request.caller.submit.request = attach.request;
    request.caller.submit.organisation = attach.organisation;
    request.caller.submit.kind
        = attach.isChat ? protocol::WorkKind::ChatCompletion : protocol::WorkKind::Completion;
    request.target = attach.target;
    request.answer = AnswerAssembly(attach.fromOffset);
    request.receivedAt = steadyNow();
    request.sentAt = steadyNow();
    request.possiblyRunAttempts.insert(request.attempt);
    m_requestCount = m_requests.size();
    const RequestId id = attach.request;
    attach.exchange->onGone([this, id] { post(CallerGone { id }); });
    m_mailbox->send(view->settings.mailbox,
        protocol::Attach { id, attach.organisation, m_mailbox->address(), attach.fromOffset });
}

void Router::on(CallerGone& gone)
{
    Request* request = find(gone.request);
    if (!request || !request->caller.exchange)
        return;
    telemetry::record(EventKind::CallerGone, gone.request, request->target);
    telemetry::count("callers_gone");
    if (const TargetView* view = m_targets.find(request->target))
        m_mailbox->send(
            view->settings.mailbox, protocol::Cancel { gone.request, request->attempt });
    closeRequest(*request);
}

void Router::dispatch(Request& request)
{
    request.retryAt.reset();
    const Choice choice = m_chooser.choose(request);
    if (const auto* chosen = std::get_if<SendTo>(&choice))
        return send(request, chosen->target);
    if (const auto* later = std::get_if<ChooseLater>(&choice)) {
        request.excludedTargets.clear();
        return retryLater(request, later->delay);
    }
    const decisions::Refuse& refuse = std::get<decisions::Refuse>(choice);
    fail(request, { refuse.reason, request.execution(), refuse.retryAfter, {} });
}

void Router::send(Request& request, const TargetId& target)
{
    request.attempt = request.attempt.next();
    request.attemptsMade += 1;
    request.resends = 0;
    request.target = target;
    const TargetView* view = m_targets.find(target);
    request.incarnation = view->heartbeat->incarnation;
    request.possiblyRunAttempts.insert(request.attempt);
    request.isAttemptOutstanding = true;
    m_chooser.noteSent(request);
    telemetry::record(EventKind::AttemptSent, request.id(), target,
        "attempt " + std::to_string(request.attempt.value()));
    resend(request);
    failurePoint("entry.after_submit");
}

void Router::endAttempt(Request& request)
{
    if (request.isAttemptOutstanding)
        m_targets.noteEnded(request.target);
    request.isAttemptOutstanding = false;
}

void Router::resend(Request& request)
{
    request.isAccepted = false;
    request.sentAt = steadyNow();
    protocol::Submit submit = request.caller.submit;
    submit.attempt = request.attempt;
    submit.resumeFrom = request.answer.nextOffset();
    submit.configRevision = m_adoptedRevision;
    submit.crashes = m_crashHistory.crashesOf(submit.fingerprint);
    m_mailbox->send(m_targets.find(request.target)->settings.mailbox, std::move(submit));
}

void Router::retryLater(Request& request, Milliseconds delay)
{
    request.retryAt = steadyNow() + jittered(delay);
}

bool Router::mayRetry(Request& request, bool countsAsRetry)
{
    if (!countsAsRetry)
        return true;
    const settings::LimitSettings& limits = request.caller.deployment->limits;
    if (request.attemptsMade >= limits.attemptsPerRequest)
        return false;
    const bool isAllowed = m_retryBudgets.trySpend(request.caller.submit.organisation);
    if (isAllowed)
        telemetry::count("retried");
    return isAllowed;
}

void Router::abandonAttempt(Request& request, RefusalReason reason, bool countsAsRetry)
{
    request.lastRefusal = reason;
    endAttempt(request);
    request.excludedTargets.insert(request.target);
    if (const TargetView* view = m_targets.find(request.target); view && request.isIdempotent())
        m_mailbox->send(view->settings.mailbox, protocol::Cancel { request.id(), request.attempt });
    if (request.isAttached)
        return fail(request, { reason, ExecutionState::MayHaveRun, RetryAfterFailure, {} });
    if (!mayRetry(request, countsAsRetry)) {
        const RefusalReason final
            = request.isIdempotent() && countsAsRetry ? RefusalReason::RetryBudgetSpent : reason;
        return fail(request, { final, request.execution(), RetryAfterFailure, {} });
    }
    if (request.answer.nextOffset() > 0)
        telemetry::count("resumed");
    dispatch(request);
}

void Router::handleLostTarget(const TargetId& target, std::string_view cause)
{
    telemetry::record(EventKind::PeerSuspected, {}, target, std::string(cause));
    telemetry::logWarning("router", "Target stopped reporting or restarted.",
        { { "target", target.text() }, { "why", std::string(cause) } });
    for (auto& [id, request] : m_requests) {
        const bool isAffected
            = request.caller.exchange && request.target == target && !request.retryAt;
        if (isAffected)
            abandonAttempt(request, RefusalReason::TargetFailed, true);
    }
}

void Router::checkTimers(Request& request, SteadyTime now, UnixMillis wallNow)
{
    if (!request.caller.exchange)
        return;
    const bool isLate = request.caller.submit.deadline < wallNow && !request.isAttached;
    if (isLate && request.answer.nextOffset() == 0) {
        if (const TargetView* view = m_targets.find(request.target))
            m_mailbox->send(
                view->settings.mailbox, protocol::Cancel { request.id(), request.attempt });
        const RefusalReason reason = request.retryAt && request.lastRefusal
            ? *request.lastRefusal
            : RefusalReason::DeadlinePassed;
        return fail(request, { reason, request.execution(), RetryAfterFailure, {} });
    }
    if (request.retryAt) {
        if (now >= *request.retryAt)
            dispatch(request);
        return;
    }
    if (!request.isAccepted && now - request.sentAt > AcceptTimeout) {
        request.resends += 1;
        if (!request.isIdempotent() && request.resends <= MaxResends)
            return resend(request);
        return abandonAttempt(request, RefusalReason::TargetFailed, true);
    }
    if (request.answer.checkGapTimeout(now, GapTimeout)) {
        telemetry::record(EventKind::ChunkGap, request.id(), request.target);
        if (const TargetView* view = m_targets.find(request.target))
            m_mailbox->send(view->settings.mailbox,
                protocol::Attach { request.id(), request.caller.submit.organisation,
                    m_mailbox->address(), request.answer.nextOffset() });
    }
}

void Router::receive(protocol::Heartbeat& heartbeat)
{
    m_configExchange->noteRevision(heartbeat.address, heartbeat.configRevision);
    mergeCrashRecords(m_crashHistory, heartbeat.crashRecords);
    const TargetId target = heartbeat.target;
    if (m_targets.noteHeartbeat(std::move(heartbeat), steadyNow()))
        handleLostTarget(target, "restarted");
}

void Router::receive(protocol::Accepted& accepted)
{
    Request* request = find(accepted.request);
    if (request && request->attempt == accepted.attempt)
        request->isAccepted = true;
}

void Router::receive(protocol::Chunk& chunk)
{
    Request* request = find(chunk.request);
    if (!request || !request->caller.exchange)
        return;
    if (!request->isAttached && chunk.attempt != request->attempt)
        return;
    request->isAccepted = true;
    request->answer.addToken(chunk.offset, std::move(chunk.text), steadyNow(),
        [this, request](
            uint32_t offset, std::string_view text) { deliver(*request, offset, text); });
    if (request->answer.isComplete())
        finish(*request);
}

void Router::deliver(Request& request, uint32_t offset, std::string_view text)
{
    if (request.firstTokenAt == SteadyTime {}) {
        request.firstTokenAt = steadyNow();
        telemetry::observe("time_to_first_token", request.firstTokenAt - request.receivedAt);
    }
    if (!request.caller.isStreaming) {
        request.text.append(text);
        return;
    }
    beginStream(request);
    request.caller.exchange->write(tokenEvent(request, offset, text));
    failurePoint("entry.after_chunk");
}

void Router::beginStream(Request& request)
{
    if (request.isStreamBegun)
        return;
    request.isStreamBegun = true;
    transport::HttpResponse head;
    head.headers["content-type"] = "text/event-stream";
    head.headers["cache-control"] = "no-store";
    head.headers["X-Request-Id"] = request.id().text();
    request.caller.exchange->beginStream(head);
}

void Router::receive(protocol::Final& final)
{
    Request* request = find(final.request);
    if (!request || !request->caller.exchange)
        return;
    if (!request->isAttached && final.attempt != request->attempt)
        return;
    request->isAccepted = true;
    request->answer.setTotalTokens(final.totalTokens, steadyNow());
    request->final = std::move(final);
    if (request->answer.isComplete())
        finish(*request);
}

void Router::receive(protocol::Refusal& refusal)
{
    Request* request = find(refusal.request);
    if (!request || !request->caller.exchange || request->retryAt)
        return;
    if (request->isAttached)
        return fail(*request, { refusal.reason, refusal.execution, RetryAfterFailure, {} });
    if (refusal.attempt != request->attempt)
        return;
    request->lastRefusal = refusal.reason;
    if (refusal.execution == ExecutionState::NotRun)
        request->possiblyRunAttempts.erase(refusal.attempt);
    telemetry::record(EventKind::AttemptRefused, refusal.request, request->target,
        std::string(toText(refusal.reason)));
    endAttempt(*request);
    const Milliseconds retryAfter(refusal.retryAfterMs);
    switch (refusal.reason) {
    case RefusalReason::Leaving:
        m_targets.noteState(request->target, ServingState::Leaving);
        request->excludedTargets.insert(request->target);
        return dispatch(*request);
    case RefusalReason::StaleConfiguration:
        if (const TargetView* view = m_targets.find(request->target))
            m_configExchange->noteRevision(view->settings.mailbox, refusal.configRevision);
        return retryLater(*request, RetryDelay);
    case RefusalReason::NotOwner:
        request->preferredTarget = refusal.owner;
        return retryLater(*request, NotOwnerRetryDelay);
    case RefusalReason::TargetFailed: {
        const bool isQuarantined
            = m_crashHistory.suspicion(request->caller.submit.fingerprint, unixNow())
            == decisions::Suspicion::Quarantined;
        if (isQuarantined)
            return fail(*request,
                { RefusalReason::Quarantined, ExecutionState::MayHaveRun, Milliseconds(0), {} });
        const bool isRepeatable
            = request->isIdempotent() || refusal.execution == ExecutionState::NotRun;
        if (!isRepeatable)
            break;
        request->excludedTargets.insert(request->target);
        if (!mayRetry(*request, true))
            return fail(*request,
                { RefusalReason::RetryBudgetSpent, request->execution(), RetryAfterFailure, {} });
        if (request->answer.nextOffset() > 0)
            telemetry::count("resumed");
        // The delay lets reports of other agents on crashes during this request arrive first.
        const bool isSuspect
            = m_crashHistory.suspicion(request->caller.submit.fingerprint, unixNow())
            == decisions::Suspicion::Suspect;
        return isSuspect ? retryLater(*request, SuspectRetryDelay) : dispatch(*request);
    }
    default:
        break;
    }
    const ExecutionState execution
        = refusal.execution == ExecutionState::NotRun ? request->execution() : refusal.execution;
    fail(*request, { refusal.reason, execution, retryAfter, {} });
}

void Router::receive(protocol::ConfigPull& pull) { m_configExchange->handle(pull); }
void Router::receive(protocol::ConfigPush& push) { m_configExchange->handle(push); }

void Router::finish(Request& request)
{
    telemetry::record(EventKind::RequestFinished, request.id(), request.target);
    countOutcome(request, "completed");
    if (request.caller.isStreaming && !request.isServiceCall()) {
        beginStream(request);
        request.caller.exchange->write(finalEvents(request));
        request.caller.exchange->endStream();
    } else {
        request.caller.exchange->respond(completeResponse(request));
    }
    closeRequest(request);
}

void Router::fail(Request& request, const Problem& problem)
{
    telemetry::record(EventKind::RequestRefused, request.id(), request.target,
        std::string(toText(problem.reason)));
    telemetry::count("refused", { { "reason", std::string(toText(problem.reason)) } });
    countOutcome(request, "failed");
    if (request.isStreamBegun) {
        request.caller.exchange->write(errorEvent(problem, request.id()));
        request.caller.exchange->endStream();
    } else {
        request.caller.exchange->respond(errorResponse(problem, request.id()));
    }
    closeRequest(request);
}

void Router::countOutcome(const Request& request, std::string_view outcome)
{
    telemetry::count("requests",
        { { "outcome", std::string(outcome) },
            { "class", std::string(toText(request.caller.submit.workClass)) } });
    telemetry::observe("request_duration", steadyNow() - request.receivedAt);
}

void Router::closeRequest(Request& request)
{
    if (!request.isAttached)
        m_limiters[request.caller.submit.organisation].noteFinished();
    endAttempt(request);
    m_chooser.noteEnded(request);
    request.caller.exchange.reset();
    m_endedRequests.push_back(request.id());
}

} // namespace citronspoke::entry

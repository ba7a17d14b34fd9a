#include "AgentCore.h"

#include "CrashRecords.h"
#include "telemetry/Telemetry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace citronspoke::agent {

namespace {

    using telemetry::EventKind;

    constexpr size_t EventQueueCapacity = 65536;
    constexpr Milliseconds TickInterval { 20 };
    constexpr Milliseconds HeartbeatInterval { 500 };
    constexpr std::chrono::seconds SubscriptionLifetime { 10 };
    /** Running streams move to other engines when a planned change has waited this long. */
    constexpr Milliseconds StreamMoveDelay { 3000 };
    /** How long crashes named in a Submit count against its request. */
    constexpr Milliseconds SubmittedSuspicionLifetime { 600000 };
    constexpr Milliseconds RetryAfterRefusal { 100 };
    constexpr Milliseconds RetryAfterJournalOutage { 1000 };
    /** Stream failures within this time of a crash belong to that crash. */
    constexpr Milliseconds CrashWindow { 200 };
    /** Trial work uses at most this share of the slots; the rest stays free for paying work. */
    constexpr double TrialSlotShare = 0.75;

} // namespace

AgentCore::AgentCore(const settings::AgentSettings& settings, const platform::Store& store,
    control::ConfigHolder& config)
    : m_settings(settings)
    , m_self(settings.process.id)
    , m_incarnation(randomHex(16))
    , m_store(store)
    , m_config(config)
    , m_events(EventQueueCapacity)
{
}

AgentCore::~AgentCore() { stop(); }

void AgentCore::start()
{
    m_meter.reset(m_role);
    // A model engine accepts work only once its role is known.
    if (m_settings.kind == TargetKind::ModelEngine)
        m_state = ServingState::Changing;
    m_mailbox = std::make_unique<transport::Mailbox>(m_settings.process.mailbox,
        [this](protocol::Message message) { post(std::move(message)); });
    m_configExchange = std::make_unique<ConfigExchange>(m_config, *m_mailbox);
    m_targetClient = std::make_unique<TargetClient>(m_settings.target,
        TargetClient::Callbacks { [this](TokenArrived event) { post(std::move(event)); },
            [this](CallEnded event) { post(std::move(event)); } });
    m_worker.emplace("core", [this](const std::stop_token& token) { run(token); });
}

void AgentCore::stop()
{
    if (!m_worker)
        return;
    constexpr Milliseconds FlushLimit { 1000 };
    m_mailbox->flush(FlushLimit);
    m_events.close();
    m_worker.reset();
    m_targetClient.reset();
    m_journal.reset();
    m_mailbox.reset();
}

void AgentCore::post(AgentEvent event)
{
    if (!m_events.tryPush(std::move(event)))
        telemetry::count("events_dropped");
}

std::string AgentCore::status() const
{
    std::lock_guard lock(m_statusMutex);
    return m_status;
}

void AgentCore::run(const std::stop_token&)
{
    std::deque<AgentEvent> batch;
    while (m_events.popAll(batch, TickInterval)) {
        for (AgentEvent& event : batch)
            std::visit([this](auto& body) { on(body); }, event);
        tick();
    }
}

void AgentCore::tick()
{
    const SteadyTime now = steadyNow();
    m_jobs.dropEnded(now);
    const UnixMillis wallNow = unixNow();
    for (auto& [request, job] : m_jobs.all()) {
        if (job.state == JobState::Queued && job.submit.deadline < wallNow)
            refuse(job, RefusalReason::DeadlinePassed, job.execution());
    }
    const settings::DeploymentPointer deployment = m_config.current();
    if (deployment && !m_isLeaving) {
        auto self = deployment->targets.find(m_self);
        const bool isDrained = self == deployment->targets.end() || self->second.isDrained;
        if (isDrained && m_state == ServingState::Serving) {
            m_state = ServingState::Leaving;
            m_streamMoveTime = now + StreamMoveDelay;
            telemetry::record(EventKind::StateChanged, {}, m_self, "drained by configuration");
            m_nextHeartbeat = now;
        }
        if (!isDrained && m_state == ServingState::Leaving) {
            m_state = ServingState::Serving;
            telemetry::record(EventKind::StateChanged, {}, m_self, "serving again");
            m_nextHeartbeat = now;
        }
    }
    if (m_state != ServingState::Serving)
        rerouteJobs(now > m_streamMoveTime);
    schedule();
    updateDrainState();
    if (now >= m_nextHeartbeat)
        sendHeartbeats();
}

const settings::Pool* AgentCore::pool() const
{
    const settings::DeploymentPointer deployment = m_config.current();
    if (!deployment)
        return nullptr;
    auto target = deployment->targets.find(m_self);
    return target == deployment->targets.end() ? nullptr
                                               : &deployment->pools.at(target->second.pool);
}

void AgentCore::on(protocol::Message& message)
{
    std::visit([this](auto& body) { receive(body); }, message);
}

void AgentCore::receive(protocol::Subscribe& subscribe)
{
    Subscriber& subscriber = m_subscribers[subscribe.entry];
    if (subscriber.subscription.address != subscribe.address)
        m_nextHeartbeat = steadyNow();
    subscriber.lastSubscribed = steadyNow();
    mergeCrashRecords(m_crashHistory, subscribe.crashRecords);
    m_configExchange->noteRevision(subscribe.address, subscribe.configRevision);
    subscriber.subscription = std::move(subscribe);
}

void AgentCore::receive(protocol::ConfigPull& pull) { m_configExchange->handle(pull); }

void AgentCore::receive(protocol::ConfigPush& push)
{
    m_configExchange->handle(push);
    m_nextHeartbeat = steadyNow();
}

void AgentCore::receive(protocol::OrderHint&)
{
    if (m_onOrderHint)
        m_onOrderHint();
}

RefusalReason AgentCore::reasonToRefuse(const protocol::Submit& submit) const
{
    if (m_state != ServingState::Serving)
        return RefusalReason::Leaving;
    if (!pool() || submit.configRevision < m_config.revision())
        return RefusalReason::StaleConfiguration;
    if (submit.deadline < unixNow())
        return RefusalReason::DeadlinePassed;
    if (m_crashHistory.suspicion(submit.fingerprint, unixNow())
        == decisions::Suspicion::Quarantined)
        return RefusalReason::Quarantined;
    return RefusalReason::None;
}

void AgentCore::receive(protocol::Submit& submit)
{
    m_configExchange->noteRevision(submit.replyTo, submit.configRevision);
    Job* known = m_jobs.find(submit.request);
    if (known && known->submit.attempt >= submit.attempt)
        return resendOutcome(*known, submit);
    if (m_tombstones.covers(submit.request, submit.attempt))
        return;
    if (known && known->state != JobState::Done)
        return continueAsAttempt(*known, submit);
    if (!submit.crashes.empty()) {
        const UnixMillis expires(unixNow().value() + SubmittedSuspicionLifetime.count());
        m_crashHistory.merge(
            submit.fingerprint, { { submit.crashes.begin(), submit.crashes.end() }, expires });
    }
    const RefusalReason reason = reasonToRefuse(submit);
    Job& job = m_jobs.replace(std::move(submit));
    if (reason != RefusalReason::None)
        return refuse(job, reason, ExecutionState::NotRun, RetryAfterRefusal);
    failurePoint("agent.before_accept");
    m_mailbox->send(
        job.submit.replyTo, protocol::Accepted { job.submit.request, job.submit.attempt });
    telemetry::record(EventKind::AttemptQueued, job.submit.request, m_self);
    if (!job.isTrial())
        m_meter.noteDemand(job.submit.promptTokens, job.submit.outputTokens, job.arrived);
    if (!job.submit.key.empty()) {
        begin(job);
        return;
    }
    schedule();
}

// An entry re-sends an attempt when it has received no reply in time.
void AgentCore::resendOutcome(const Job& job, const protocol::Submit& submit)
{
    if (job.submit.attempt > submit.attempt)
        return;
    m_mailbox->send(submit.replyTo, protocol::Accepted { submit.request, submit.attempt });
    if (job.refusal)
        m_mailbox->send(submit.replyTo, *job.refusal);
    else if (job.state == JobState::Done)
        sendTokensFrom(job, submit.resumeFrom);
}

// A later attempt of a request that is still active here: its entry lost contact and retried. The
// job continues under the new attempt.
void AgentCore::continueAsAttempt(Job& job, protocol::Submit& submit)
{
    job.submit.attempt = submit.attempt;
    job.submit.replyTo = submit.replyTo;
    m_mailbox->send(submit.replyTo, protocol::Accepted { submit.request, submit.attempt });
    sendTokensFrom(job, submit.resumeFrom);
}

void AgentCore::receive(protocol::Cancel& cancel)
{
    m_tombstones.add(cancel.request, cancel.attempt);
    Job* found = m_jobs.find(cancel.request);
    if (!found || found->submit.attempt > cancel.attempt)
        return;
    Job& job = *found;
    // A call that is not idempotent continues, so that its result reaches the journal.
    const bool mustFinish = !job.submit.key.empty() && job.state != JobState::Done;
    if (mustFinish || job.state == JobState::Done)
        return;
    if (job.state == JobState::Running)
        m_targetClient->cancel(job.stream);
    telemetry::record(EventKind::AttemptCancelled, cancel.request, m_self);
    m_jobs.erase(cancel.request);
}

void AgentCore::receive(protocol::Attach& attach)
{
    Job* found = m_jobs.find(attach.request);
    const bool isKnown = found && found->submit.organisation == attach.organisation;
    if (!isKnown) {
        protocol::Refusal refusal;
        refusal.request = attach.request;
        refusal.reason = RefusalReason::UnknownRequest;
        refusal.execution = ExecutionState::MayHaveRun;
        m_mailbox->send(attach.replyTo, refusal);
        return;
    }
    found->submit.replyTo = attach.replyTo;
    sendTokensFrom(*found, attach.fromOffset);
}

void AgentCore::sendTokensFrom(const Job& job, uint32_t offset)
{
    uint32_t position = job.submit.resumeFrom;
    for (const std::string& text : job.tokens) {
        if (position >= offset) {
            m_mailbox->send(job.submit.replyTo,
                protocol::Chunk { job.submit.request, job.submit.attempt, position, 1, text });
        }
        position += 1;
    }
    if (job.answer) {
        protocol::Final answer = *job.answer;
        answer.attempt = job.submit.attempt;
        m_mailbox->send(job.submit.replyTo, std::move(answer));
    }
}

void AgentCore::schedule()
{
    const settings::Pool* ownPool = pool();
    if (!ownPool || m_state != ServingState::Serving)
        return;
    while (Job* job = m_jobs.next(m_crashHistory)) {
        const size_t active = m_jobs.activeCount();
        const size_t trialSlots
            = std::max<size_t>(1, static_cast<size_t>(TrialSlotShare * ownPool->slots));
        if (job->isTrial() && active >= trialSlots)
            return;
        if (active >= ownPool->slots && !(!job->isTrial() && pauseOneTrial()))
            return;
        begin(*job);
    }
}

bool AgentCore::pauseOneTrial()
{
    Job* paused = m_jobs.trialToPause();
    if (!paused)
        return false;
    m_targetClient->cancel(paused->stream);
    paused->state = JobState::Queued;
    telemetry::record(EventKind::AttemptPaused, paused->submit.request, m_self);
    telemetry::count("trials_paused");
    return true;
}

void AgentCore::begin(Job& job)
{
    if (job.submit.key.empty())
        return runAtTarget(job);
    ensureJournal();
    job.state = JobState::Journaling;
    journal::Call call;
    call.key = job.submit.key;
    call.request = job.submit.request;
    call.fingerprint = job.submit.fingerprint;
    m_journal->begin(std::move(call),
        [this, request = job.submit.request, attempt = job.submit.attempt](
            const journal::BeginOutcome& outcome) {
            post(JournalBeginCompleted { request, attempt, outcome });
        });
}

void AgentCore::ensureJournal()
{
    if (m_journal)
        return;
    const settings::DeploymentPointer deployment = m_config.current();
    journal::Options options;
    options.pool = pool()->id;
    options.self = m_self;
    options.incarnation = m_incarnation;
    options.shards = pool()->journalShards;
    options.commitInterval = deployment->journal.commitInterval;
    options.retention = deployment->journal.retention;
    m_journal = std::make_unique<journal::Journal>(m_store, std::move(options));
}

void AgentCore::runAtTarget(Job& job)
{
    failurePoint("agent.before_target");
    job.state = JobState::Running;
    job.started = steadyNow();
    job.lastToken = {};
    job.stream = m_targetClient->start(job);
    telemetry::record(EventKind::AttemptStarted, job.submit.request, m_self);
    failurePoint("agent.after_target");
}

void AgentCore::on(JournalBeginCompleted& event)
{
    Job* found = m_jobs.find(event.request);
    if (!found)
        return;
    Job& job = *found;
    if (std::holds_alternative<journal::MayStart>(event.outcome)) {
        telemetry::record(EventKind::JournalStarted, event.request, m_self);
        return runAtTarget(job);
    }
    if (const auto* finished = std::get_if<journal::AlreadyFinished>(&event.outcome)) {
        telemetry::record(EventKind::JournalReplayed, event.request, m_self);
        telemetry::count("duplicates_answered");
        if (finished->result.httpStatus == 0)
            return refuse(job, RefusalReason::InterruptedRun, ExecutionState::MayHaveRun);
        protocol::Final answer;
        answer.httpStatus = finished->result.httpStatus;
        answer.body = finished->result.body;
        answer.replayed = true;
        return finish(job, std::move(answer));
    }
    if (std::holds_alternative<journal::InProgress>(event.outcome)) {
        m_waiters[job.submit.key].push_back(event.request);
        return;
    }
    if (const auto* elsewhere = std::get_if<journal::OwnedElsewhere>(&event.outcome)) {
        protocol::Refusal refusal;
        refusal.request = event.request;
        refusal.attempt = job.submit.attempt;
        refusal.reason = RefusalReason::NotOwner;
        refusal.owner = elsewhere->owner;
        refusal.configRevision = m_config.revision();
        m_mailbox->send(job.submit.replyTo, refusal);
        m_jobs.erase(event.request);
        return;
    }
    if (std::holds_alternative<journal::Interrupted>(event.outcome))
        return refuse(job, RefusalReason::InterruptedRun, ExecutionState::MayHaveRun);
    if (std::holds_alternative<journal::KeyMismatch>(event.outcome))
        return refuse(job, RefusalReason::KeyReused, ExecutionState::NotRun);
    refuse(job, RefusalReason::JournalUnavailable, ExecutionState::NotRun, RetryAfterJournalOutage);
}

void AgentCore::on(TokenArrived& event)
{
    Job* found = m_jobs.find(event.request);
    if (!found)
        return;
    Job& job = *found;
    const bool isCurrent = job.state == JobState::Running && job.stream == event.stream
        && event.offset == job.nextOffset();
    if (!isCurrent)
        return;
    const SteadyTime now = steadyNow();
    if (job.lastToken == SteadyTime {})
        m_meter.notePrefilledPrompt(job.submit.promptTokens, now);
    else
        m_meter.noteTokenGap(job.lastToken, now);
    job.lastToken = now;
    job.tokens.push_back(event.text);
    m_mailbox->send(job.submit.replyTo,
        protocol::Chunk {
            event.request, job.submit.attempt, event.offset, 1, std::move(event.text) });
    failurePoint("agent.after_chunk");
}

void AgentCore::on(CallEnded& event)
{
    constexpr uint32_t HttpOk = 200;
    constexpr uint32_t Unavailable = 503;
    Job* found = m_jobs.find(event.request);
    if (!found)
        return;
    Job& job = *found;
    if (job.state != JobState::Running || job.stream != event.stream)
        return;
    protocol::Final answer;
    answer.totalTokens = job.nextOffset();
    if (job.isServiceCall()) {
        answer.httpStatus = event.end.status;
        answer.body = std::move(event.body);
    }
    const bool isComplete = event.isComplete && (job.isServiceCall() || event.end.status == HttpOk);
    if (isComplete && job.submit.key.empty())
        return finish(job, std::move(answer));
    if (isComplete) {
        job.state = JobState::Storing;
        job.answer = answer;
        failurePoint("agent.before_store_result");
        m_journal->finish(job.submit.key, { answer.httpStatus, answer.body },
            [this, request = event.request](bool isStored) {
                post(JournalFinishCompleted { request, isStored });
            });
        return;
    }
    telemetry::record(EventKind::AttemptFailed, event.request, m_self);
    const bool mayHaveRun = event.end.mayHaveArrived && event.end.status != Unavailable;
    if (!job.submit.key.empty() && mayHaveRun)
        m_journal->finish(job.submit.key, {}, [](bool) {});
    else if (!job.submit.key.empty())
        m_journal->abandon(job.submit.key);
    if (mayHaveRun && !job.isServiceCall())
        noteCrash();
    refuse(job, RefusalReason::TargetFailed,
        mayHaveRun ? ExecutionState::MayHaveRun : ExecutionState::NotRun);
}

void AgentCore::noteCrash()
{
    const SteadyTime now = steadyNow();
    if (now - m_lastCrash < CrashWindow)
        return;
    m_lastCrash = now;
    const std::vector<uint64_t> running = m_jobs.runningFingerprints();
    const uint64_t crash
        = stableHash(m_incarnation.text() + std::to_string(now.time_since_epoch().count()));
    m_crashHistory.noteCrash(crash, running, unixNow());
    telemetry::count("target_crashes");
    telemetry::logWarning("core", "The target crashed.");
    for (const uint64_t fingerprint : running) {
        if (m_crashHistory.suspicion(fingerprint, unixNow()) == decisions::Suspicion::Quarantined)
            telemetry::record(EventKind::CrashConvicted, {}, m_self, std::to_string(fingerprint));
    }
    // The engine receives no work until it responds again; failures until then are no new crash.
    if (m_state == ServingState::Serving)
        m_state = ServingState::Changing;
    m_streamMoveTime = now + StreamMoveDelay;
    sendHeartbeats();
    if (m_onTargetCrash)
        m_onTargetCrash();
}

void AgentCore::on(JournalFinishCompleted& event)
{
    Job* found = m_jobs.find(event.request);
    if (!found || !found->answer)
        return;
    if (event.isStored)
        telemetry::record(EventKind::JournalFinished, event.request, m_self);
    protocol::Final answer = *found->answer;
    finish(*found, std::move(answer));
}

void AgentCore::finish(Job& job, protocol::Final answer)
{
    answer.request = job.submit.request;
    answer.attempt = job.submit.attempt;
    job.state = JobState::Done;
    job.ended = steadyNow();
    job.answer = answer;
    m_crashHistory.noteFinished(job.submit.fingerprint);
    failurePoint("agent.before_final");
    m_mailbox->send(job.submit.replyTo, answer);
    telemetry::record(EventKind::RequestFinished, job.submit.request, m_self);
    completeWaiters(job, &answer);
    schedule();
}

void AgentCore::refuse(
    Job& job, RefusalReason reason, ExecutionState execution, Milliseconds retryAfter)
{
    protocol::Refusal refusal;
    refusal.request = job.submit.request;
    refusal.attempt = job.submit.attempt;
    refusal.reason = reason;
    refusal.execution = execution;
    refusal.retryAfterMs = static_cast<uint32_t>(retryAfter.count());
    refusal.configRevision = m_config.revision();
    m_mailbox->send(job.submit.replyTo, refusal);
    telemetry::record(
        EventKind::AttemptRefused, job.submit.request, m_self, std::string(toText(reason)));
    telemetry::count("attempts_refused", { { "reason", std::string(toText(reason)) } });
    job.state = JobState::Done;
    job.ended = steadyNow();
    job.answer.reset();
    job.refusal = refusal;
    if (execution == ExecutionState::NotRun)
        m_tombstones.add(job.submit.request, job.submit.attempt);
    completeWaiters(job, nullptr);
}

void AgentCore::completeWaiters(const Job& job, const protocol::Final* answer)
{
    auto waiting = m_waiters.extract(job.submit.key);
    if (job.submit.key.empty() || waiting.empty())
        return;
    for (const RequestId& request : waiting.mapped()) {
        Job* waiter = m_jobs.find(request);
        if (!waiter || waiter->state == JobState::Done)
            continue;
        if (!answer) {
            refuse(*waiter, RefusalReason::InterruptedRun, ExecutionState::MayHaveRun);
            continue;
        }
        protocol::Final copy = *answer;
        copy.replayed = true;
        telemetry::count("duplicates_answered");
        finish(*waiter, std::move(copy));
    }
}

// Refuses work so that entries continue it on other targets, from the tokens that callers already
// have.
void AgentCore::rerouteJobs(bool includeRunning)
{
    for (auto& [request, job] : m_jobs.all()) {
        if (job.state == JobState::Queued)
            refuse(job, RefusalReason::Leaving, job.execution());
        const bool canMove = job.state == JobState::Running && !job.isServiceCall();
        if (!includeRunning || !canMove)
            continue;
        m_targetClient->cancel(job.stream);
        telemetry::count("streams_moved");
        refuse(job, RefusalReason::Leaving, ExecutionState::MayHaveRun);
    }
}

void AgentCore::on(DrainForChange& event)
{
    m_state = ServingState::Changing;
    m_streamMoveTime = steadyNow() + StreamMoveDelay;
    m_drainDone = std::move(event.done);
    telemetry::record(EventKind::StateChanged, {}, m_self, "changing");
    sendHeartbeats();
}

void AgentCore::on(EngineReady& event)
{
    m_role = event.role;
    m_progress = event.progress;
    m_meter.reset(m_role);
    m_state = m_isLeaving ? ServingState::Leaving : ServingState::Serving;
    telemetry::record(EventKind::StateChanged, {}, m_self, "role " + std::string(toText(m_role)));
    sendHeartbeats();
}

void AgentCore::on(Leave&)
{
    m_isLeaving = true;
    if (m_state == ServingState::Serving) {
        m_state = ServingState::Leaving;
        m_streamMoveTime = steadyNow() + StreamMoveDelay;
    }
    telemetry::record(EventKind::StateChanged, {}, m_self, "leaving");
    sendHeartbeats();
}

void AgentCore::updateDrainState()
{
    const bool hasWork = m_jobs.hasWork();
    m_isReadyToExit = m_isLeaving && !hasWork;
    if (m_drainDone && !hasWork) {
        m_drainDone->set_value();
        m_drainDone.reset();
    }
}

protocol::Heartbeat AgentCore::heartbeat() const
{
    protocol::Heartbeat beat;
    beat.target = m_self;
    beat.address = m_mailbox->address();
    beat.incarnation = m_incarnation;
    beat.role = m_role;
    beat.state = m_state;
    const settings::Pool* ownPool = pool();
    beat.load = m_jobs.load(m_meter, ownPool ? ownPool->slots : 0);
    beat.configRevision = m_config.revision();
    beat.orderProgress = m_progress;
    beat.entryCount = static_cast<uint32_t>(m_subscribers.size());
    beat.crashRecords = toCrashRecords(m_crashHistory);
    return beat;
}

void AgentCore::sendHeartbeats()
{
    const SteadyTime now = steadyNow();
    m_nextHeartbeat = now + jittered(HeartbeatInterval);
    std::erase_if(m_subscribers, [now](const auto& entry) {
        return now - entry.second.lastSubscribed > SubscriptionLifetime;
    });
    const protocol::Heartbeat beat = heartbeat();
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& [entry, subscriber] : m_subscribers) {
        m_mailbox->send(subscriber.subscription.address, beat);
        entries.push_back(
            { { "id", entry.text() }, { "operator", subscriber.subscription.operatorAddress } });
    }
    m_meter.notePrefillingCount(m_jobs.prefillingCount(), now);
    const nlohmann::json status { { "id", m_self.text() }, { "state", toText(m_state) },
        { "role", toText(m_role) }, { "config", beat.configRevision.value() },
        { "running", beat.load.runningPaying + beat.load.runningTrial },
        { "queued", beat.load.queuedPaying + beat.load.queuedTrial },
        { "prefill_tokens_per_second", beat.load.prefillTokensPerSecond },
        { "decode_step_ms", beat.load.decodeStepMs },
        { "order",
            { { "fencing", m_progress.fencing.value() },
                { "sequence", m_progress.sequence.value() }, { "done", m_progress.done } } },
        { "entries", entries } };
    std::lock_guard lock(m_statusMutex);
    m_status = status.dump();
}

} // namespace citronspoke::agent

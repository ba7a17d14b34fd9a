#pragma once

#include "ConfigExchange.h"
#include "JobTable.h"
#include "TargetClient.h"
#include "Tombstones.h"
#include "decisions/Decisions.h"
#include "journal/Journal.h"

#include <future>

namespace citronspoke::agent {

/** The journal's decision whether a call may start. */
struct JournalBeginCompleted {
    RequestId request;
    AttemptNumber attempt;
    journal::BeginOutcome outcome;
};
/** The journal has stored a result, or reported that it could not store it yet. */
struct JournalFinishCompleted {
    RequestId request;
    bool isStored = false;
};
/** Drain the target for a planned change. @c done is fulfilled when nothing runs there. */
struct DrainForChange {
    std::shared_ptr<std::promise<void>> done;
};
/** The engine has this role and accepts work; @c progress is that of the last order. */
struct EngineReady {
    EngineRole role = EngineRole::Mixed;
    protocol::OrderProgress progress;
};
/** The agent shuts down: it accepts no new work and finishes or reroutes the rest. */
struct Leave { };
using AgentEvent = std::variant<protocol::Message, TokenArrived, CallEnded, JournalBeginCompleted,
    JournalFinishCompleted, DrainForChange, EngineReady, Leave>;

/**
 * Serves one target: accepts requests from entries, queues them by priority, runs them at the
 * target and streams their answers back. All state is used by one worker thread only; other
 * threads may call post(), status() and isReadyToExit().
 */
class AgentCore final : public Service {
public:
    AgentCore(const settings::AgentSettings& settings, const platform::Store& store,
        control::ConfigHolder& config);
    ~AgentCore() override;

    std::string_view name() const noexcept override { return "core"; }
    /** @throws transport::ListenFailed when the mailbox's port is taken. */
    void start() override;
    void stop() override;

    /** Queues an event. Any thread may call; a full queue drops the event and counts it. */
    void post(AgentEvent event);
    /** @return true when shutting down and no work is left. */
    bool isReadyToExit() const noexcept { return m_isReadyToExit; }
    /** @return the agent's status as JSON, as of the last heartbeat. */
    std::string status() const;
    /** @param callback called when a controller signals a new order; set before start. */
    void onOrderHint(std::function<void()> callback) { m_onOrderHint = std::move(callback); }
    /** @param callback called when the target has crashed; set before start. */
    void onTargetCrash(std::function<void()> callback) { m_onTargetCrash = std::move(callback); }

private:
    /** An entry that receives heartbeats. */
    struct Subscriber {
        protocol::Subscribe subscription;
        SteadyTime lastSubscribed;
    };

    void run(const std::stop_token& token);
    void tick();

    void on(protocol::Message& message);
    void on(TokenArrived& event);
    void on(CallEnded& event);
    void on(JournalBeginCompleted& event);
    void on(JournalFinishCompleted& event);
    void on(DrainForChange& event);
    void on(EngineReady& event);
    void on(Leave& event);

    void receive(protocol::Subscribe& subscribe);
    void receive(protocol::Submit& submit);
    void receive(protocol::Cancel& cancel);
    void receive(protocol::Attach& attach);
    void receive(protocol::ConfigPull& pull);
    void receive(protocol::ConfigPush& push);
    void receive(protocol::OrderHint& hint);
    template <typename Other> void receive(Other&) { }

    RefusalReason reasonToRefuse(const protocol::Submit& submit) const;
    void resendOutcome(const Job& job, const protocol::Submit& submit);
    void continueAsAttempt(Job& job, protocol::Submit& submit);
    void schedule();
    bool pauseOneTrial();
    void begin(Job& job);
    void runAtTarget(Job& job);
    void finish(Job& job, protocol::Final answer);
    void refuse(Job& job, RefusalReason reason, ExecutionState execution,
        Milliseconds retryAfter = Milliseconds(0));
    void sendTokensFrom(const Job& job, uint32_t offset);
    void rerouteJobs(bool includeRunning);
    void completeWaiters(const Job& job, const protocol::Final* answer);
    void noteCrash();
    void sendHeartbeats();
    protocol::Heartbeat heartbeat() const;
    const settings::Pool* pool() const;
    void ensureJournal();
    void updateDrainState();

    settings::AgentSettings m_settings;
    TargetId m_self;
    Incarnation m_incarnation;
    const platform::Store& m_store;
    control::ConfigHolder& m_config;
    BoundedQueue<AgentEvent> m_events;
    std::unique_ptr<transport::Mailbox> m_mailbox;
    std::unique_ptr<ConfigExchange> m_configExchange;
    std::unique_ptr<TargetClient> m_targetClient;
    std::unique_ptr<journal::Journal> m_journal;
    std::function<void()> m_onOrderHint;
    std::function<void()> m_onTargetCrash;
    std::optional<WorkerThread> m_worker;

    JobTable m_jobs;
    Tombstones m_tombstones;
    /** Requests that wait for the answer to another request with the same idempotency key. */
    std::map<IdempotencyKey, std::vector<RequestId>> m_waiters;
    std::map<EntryId, Subscriber> m_subscribers;
    decisions::CrashHistory m_crashHistory;
    LoadMeter m_meter;
    ServingState m_state = ServingState::Serving;
    bool m_isLeaving = false;
    EngineRole m_role = EngineRole::Mixed;
    protocol::OrderProgress m_progress;
    /** Fulfilled when the drain for a planned change is complete; null when none is requested. */
    std::shared_ptr<std::promise<void>> m_drainDone;
    /** From this time on, running streams of a target that is not serving are rerouted. */
    SteadyTime m_streamMoveTime;
    SteadyTime m_nextHeartbeat;
    SteadyTime m_lastCrash;
    std::atomic<bool> m_isReadyToExit { false };
    mutable std::mutex m_statusMutex;
    std::string m_status = "{}";
};

} // namespace citronspoke::agent

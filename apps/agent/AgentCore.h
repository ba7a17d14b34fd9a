#pragma once

#include "ConfigExchange.h"
#include "JobTable.h"
#include "TargetClient.h"
#include "Tombstones.h"
#include "decisions/Decisions.h"
#include "journal/Journal.h"

#include <future>

namespace citronspoke::agent {

struct JournalAnswered {
    RequestId request;
    AttemptNumber attempt;
    journal::BeginOutcome outcome;
};
struct ResultStored {
    RequestId request;
    bool isStored = false;
};
/** The target is to be emptied for a planned change; done when nothing runs there. */
struct EmptyTarget {
    std::shared_ptr<std::promise<void>> done;
};
/** The planned change is over; the engine has this role. */
struct ChangeEnded {
    EngineRole role = EngineRole::Mixed;
    protocol::OrderProgress progress;
};
/** This agent is to leave for good. */
struct Leave { };
using AgentEvent = std::variant<protocol::Message, TokenArrived, CallEnded, JournalAnswered,
    ResultStored, EmptyTarget, ChangeEnded, Leave>;

/**
 * The door to one target: takes requests from entries, queues them by priority, runs them at
 * the target and streams their answers back. All state belongs to one duty.
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

    /** Any thread may post. */
    void post(AgentEvent event);
    /** @return true when leaving and nothing is left to do. */
    bool isEmpty() const noexcept { return m_isEmpty; }
    std::string status() const;
    /** @param callback called when a controller hints at a new order; set before start. */
    void onOrderHint(std::function<void()> callback) { m_onOrderHint = std::move(callback); }
    /** @param callback called when the target has crashed; set before start. */
    void onTargetLost(std::function<void()> callback) { m_onTargetLost = std::move(callback); }

private:
    struct Subscriber {
        protocol::Hello hello;
        SteadyTime lastHello;
    };

    void run(const std::stop_token& token);
    void tick();

    void on(protocol::Message& message);
    void on(TokenArrived& event);
    void on(CallEnded& event);
    void on(JournalAnswered& event);
    void on(ResultStored& event);
    void on(EmptyTarget& event);
    void on(ChangeEnded& event);
    void on(Leave& event);

    void receive(protocol::Hello& hello);
    void receive(protocol::Submit& submit);
    void receive(protocol::Cancel& cancel);
    void receive(protocol::Attach& attach);
    void receive(protocol::ConfigPull& pull);
    void receive(protocol::ConfigPush& push);
    void receive(protocol::OrderHint& hint);
    template <typename Other> void receive(Other&) { }

    RefusalReason reasonToRefuse(const protocol::Submit& submit) const;
    void answerAgain(const Job& job, const protocol::Submit& submit);
    void continueHere(Job& job, protocol::Submit& submit);
    void schedule();
    bool pauseOneTrial();
    void begin(Job& job);
    void runAtTarget(Job& job);
    void finish(Job& job, protocol::Final answer);
    void refuse(Job& job, RefusalReason reason, ExecutionState execution,
        Milliseconds retryAfter = Milliseconds(0));
    void sendFrom(const Job& job, uint32_t offset);
    void moveAway(bool includeRunning);
    void endWaiters(const Job& job, const protocol::Final* answer);
    void noteCrash();
    void sendHeartbeats();
    protocol::Heartbeat heartbeat() const;
    const settings::Pool* pool() const;
    void ensureJournal();
    void updateEmptiness();

    settings::AgentSettings m_settings;
    TargetId m_self;
    Incarnation m_incarnation;
    const platform::Store& m_store;
    control::ConfigHolder& m_config;
    Ring<AgentEvent> m_events;
    std::unique_ptr<transport::Mailbox> m_mailbox;
    std::unique_ptr<ConfigExchange> m_exchange;
    std::unique_ptr<TargetClient> m_target;
    std::unique_ptr<journal::Journal> m_journal;
    std::function<void()> m_onOrderHint;
    std::function<void()> m_onTargetLost;
    std::optional<Duty> m_duty;

    JobTable m_jobs;
    Tombstones m_tombstones;
    /** Requests that wait for the answer of another one with the same idempotency key. */
    std::map<IdempotencyKey, std::vector<RequestId>> m_waiters;
    std::map<EntryId, Subscriber> m_subscribers;
    decisions::CrashLedger m_ledger;
    LoadMeter m_meter;
    ServingState m_state = ServingState::Serving;
    bool m_isLeaving = false;
    EngineRole m_role = EngineRole::Mixed;
    protocol::OrderProgress m_progress;
    std::shared_ptr<std::promise<void>> m_emptied;
    SteadyTime m_patienceEnd;
    SteadyTime m_nextHeartbeat;
    SteadyTime m_lastCrash;
    std::atomic<bool> m_isEmpty { false };
    mutable std::mutex m_statusMutex;
    std::string m_status = "{}";
};

} // namespace citronspoke::agent

#pragma once

#include "CallerApi.h"
#include "ConfigExchange.h"
#include "RetryBudgets.h"
#include "TargetChooser.h"

#include <atomic>

namespace citronspoke::entry {

/** The caller's connection closed before the response ended. */
struct CallerGone {
    RequestId request;
};
/** The list of VMs was read. */
struct VmStatesUpdate {
    std::map<TargetId, platform::VmState> states;
};
using RouterEvent
    = std::variant<protocol::Message, CallerRequest, AttachRequest, CallerGone, VmStatesUpdate>;

/** A copy of the state of the targets, published periodically for other threads. */
struct FleetSnapshot {
    std::map<TargetId, TargetView> targets;
};

/**
 * Admits requests, sends them to agents, retries or resumes them at other targets, and assembles
 * the answers. One worker thread owns all state; other threads post events to it.
 */
class Router final : public Service {
public:
    Router(const settings::EntrySettings& settings, control::ConfigHolder& config);
    ~Router() override;

    std::string_view name() const noexcept override { return "router"; }
    /** @throws transport::ListenFailed when the mailbox's port is taken. */
    void start() override;
    void stop() override;

    /** Queues an event; called by any thread. A request that finds the queue full is refused. */
    void post(RouterEvent event);
    /** @return the last published state of the targets. Called by any thread. */
    std::shared_ptr<const FleetSnapshot> snapshot() const;
    /** @return the last published status for operators, a JSON object. Called by any thread. */
    std::string status() const;
    transport::Mailbox& mailbox() { return *m_mailbox; }
    /** Refuses new requests from now on. Called by any thread. */
    void stopAdmitting() noexcept { m_isLeaving = true; }
    /** @return whether no request is in flight. Called by any thread. */
    bool isIdle() const noexcept { return m_requestCount == 0; }

private:
    void run(const std::stop_token& token);
    void tick();
    void sendSubscribe();
    void publish();

    void on(protocol::Message& message);
    void on(CallerRequest& caller);
    void on(AttachRequest& attach);
    void on(CallerGone& gone);
    void on(VmStatesUpdate& event);

    void receive(protocol::Heartbeat& heartbeat);
    void receive(protocol::Accepted& accepted);
    void receive(protocol::Chunk& chunk);
    void receive(protocol::Final& final);
    void receive(protocol::Refusal& refusal);
    void receive(protocol::ConfigPull& pull);
    void receive(protocol::ConfigPush& push);
    /** Messages that are not for entries are ignored. */
    template <typename Other> void receive(Other&) { }

    /** @return false when the request was refused; the caller has its response then. */
    bool admit(Request& request);
    /** Routes the request: sends its next attempt, schedules another try or fails it. */
    void dispatch(Request& request);
    void send(Request& request, const TargetId& target);
    /** Sends the current attempt to its target, at first or again. */
    void resend(Request& request);
    /** The current attempt no longer counts as outstanding at its target. */
    void endAttempt(Request& request);
    /**
     * Ends the current attempt, then retries at another target if that is allowed or else fails the
     * request.
     * @param countsAsRetry whether the retry counts against the limits on retries.
     */
    void abandonAttempt(Request& request, RefusalReason reason, bool countsAsRetry);
    /** Spends one retry of the budgets if the limits allow it. */
    bool mayRetry(Request& request, bool countsAsRetry);
    void retryLater(Request& request, Milliseconds delay);
    void checkTimers(Request& request, SteadyTime now, UnixMillis wallNow);
    /** Abandons the attempts at a target that restarted or stopped sending heartbeats. */
    void handleLostTarget(const TargetId& target, std::string_view cause);

    /** Passes one token of the answer to the caller, or stores it if the answer is not streamed. */
    void deliver(Request& request, uint32_t offset, std::string_view text);
    void beginStream(Request& request);
    void finish(Request& request);
    void fail(Request& request, const Problem& problem);
    /** Releases the request's limits and its caller, and marks it for removal. */
    void closeRequest(Request& request);
    void countOutcome(const Request& request, std::string_view outcome);

    Request* find(const RequestId& id);
    void adoptConfiguration();

    settings::EntrySettings m_settings;
    EntryId m_self;
    control::ConfigHolder& m_config;
    BoundedQueue<RouterEvent> m_events;
    std::unique_ptr<transport::Mailbox> m_mailbox;
    std::unique_ptr<ConfigExchange> m_configExchange;
    std::optional<WorkerThread> m_worker;

    decisions::CrashHistory m_crashHistory;
    TargetTable m_targets;
    TargetChooser m_chooser;
    ConfigRevision m_adoptedRevision;
    std::map<RequestId, Request> m_requests;
    /** To be removed from m_requests once the batch of events is handled. */
    std::vector<RequestId> m_endedRequests;
    std::map<OrganisationId, decisions::Limiter> m_limiters;
    RetryBudgets m_retryBudgets;
    SteadyTime m_lastTick;
    SteadyTime m_nextTimerCheck;
    SteadyTime m_nextSubscribe;
    SteadyTime m_nextPublish;
    std::atomic<bool> m_isLeaving { false };
    std::atomic<size_t> m_requestCount { 0 };
    mutable std::mutex m_publishMutex;
    std::shared_ptr<const FleetSnapshot> m_snapshot = std::make_shared<FleetSnapshot>();
    std::string m_status = "{}";
};

} // namespace citronspoke::entry

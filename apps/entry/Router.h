#pragma once

#include "CallerApi.h"
#include "ConfigExchange.h"
#include "RetryBudgets.h"
#include "TargetChooser.h"

#include <atomic>

namespace citronspoke::entry {

struct CallerGone {
    RequestId request;
};
struct VmStatesUpdate {
    std::map<TargetId, platform::VmState> states;
};
using RouterEvent
    = std::variant<protocol::Message, CallerRequest, AttachRequest, CallerGone, VmStatesUpdate>;

/** What the controller needs to know of the targets. */
struct FleetSnapshot {
    std::map<TargetId, TargetView> targets;
};

/**
 * Admits requests, sends them to agents, retries and resumes them elsewhere, and assembles the
 * answers. All state belongs to one duty.
 */
class Router final : public Service {
public:
    Router(const settings::EntrySettings& settings, control::ConfigHolder& config);
    ~Router() override;

    std::string_view name() const noexcept override { return "router"; }
    /** @throws transport::ListenFailed when the mailbox's port is taken. */
    void start() override;
    void stop() override;

    /** Any thread may post. */
    void post(RouterEvent event);
    std::shared_ptr<const FleetSnapshot> snapshot() const;
    std::string status() const;
    transport::Mailbox& mailbox() { return *m_mailbox; }
    /** New requests are refused from now on. */
    void stopAdmitting() noexcept { m_isLeaving = true; }
    bool isIdle() const noexcept { return m_requestCount == 0; }

private:
    void run(const std::stop_token& token);
    void tick();
    void sendHello();
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
    template <typename Other> void receive(Other&) { }

    bool admit(Request& request);
    /** Routes and sends the request's next attempt, or ends it. */
    void dispatch(Request& request);
    void send(Request& request, const TargetId& target);
    void resend(Request& request);
    /** The target has no longer anything to do with the present attempt. */
    void endAttempt(Request& request);
    /** Ends the present attempt and tries elsewhere if that is allowed. */
    void abandonAttempt(Request& request, RefusalReason reason, bool countsAsRetry);
    bool mayRetry(Request& request, bool countsAsRetry);
    void retryLater(Request& request, Milliseconds delay);
    void checkTimers(Request& request, SteadyTime now, UnixMillis wallNow);
    void handleLostTarget(const TargetId& target, std::string_view cause);

    void deliver(Request& request, uint32_t offset, std::string_view text);
    void beginStream(Request& request);
    void finish(Request& request);
    void fail(Request& request, const Problem& problem);
    void closeRequest(Request& request);
    void countOutcome(const Request& request, std::string_view outcome);

    Request* find(const RequestId& id);
    void adoptConfiguration();

    settings::EntrySettings m_settings;
    EntryId m_self;
    control::ConfigHolder& m_config;
    Ring<RouterEvent> m_events;
    std::unique_ptr<transport::Mailbox> m_mailbox;
    std::unique_ptr<ConfigExchange> m_configExchange;
    std::optional<Duty> m_worker;

    decisions::CrashLedger m_crashHistory;
    TargetTable m_targets;
    TargetChooser m_chooser;
    ConfigRevision m_adoptedRevision;
    std::map<RequestId, Request> m_requests;
    std::vector<RequestId> m_endedRequests;
    std::map<OrganisationId, decisions::Limiter> m_limiters;
    RetryBudgets m_retryBudgets;
    SteadyTime m_lastTick;
    SteadyTime m_nextTimerCheck;
    SteadyTime m_nextHello;
    SteadyTime m_nextPublish;
    std::atomic<bool> m_isLeaving { false };
    std::atomic<size_t> m_requestCount { 0 };
    mutable std::mutex m_publishMutex;
    std::shared_ptr<const FleetSnapshot> m_snapshot = std::make_shared<FleetSnapshot>();
    std::string m_status = "{}";
};

} // namespace citronspoke::entry

#pragma once

#include "OriginHolder.h"
#include "adapter/Adapter.h"
#include "channels/Channels.h"
#include "peers/Peers.h"
#include "settings/Settings.h"

namespace citronspoke::sidecar {

/**
 * Orders the engine on this VM to take the role that the gateways agree on, and reports the
 * engine's role to them. Only the sidecar sends role orders to the engine. Needs neither the store
 * nor any state from before its start. Messages about the origins of streams arrive at the same
 * port and go to the OriginHolder. Runs on the thread of its event loop.
 */
class RoleReconciler {
public:
    /** @throws channels::ListenFailed */
    RoleReconciler(channels::EventLoop& loop, const settings::SidecarSettings& settings);

private:
    struct UnansweredOrder {
        roles::RoleChange change;
        SteadyTime sentAt;
    };

    struct MessageHandler;

    void onDatagram(std::string_view datagram);
    /** Requests the engine's report when the gateways want a change or one is in progress. */
    void reconcile();
    void reconcileLater(Milliseconds delay);
    /** Follows what the engine states about itself in a response to a call. */
    void noteNotice(const adapter::TargetNotice& notice);
    void onReport(const fleet::EngineReport& report);
    /** Reports the change when the engine carries out an unanswered order after all. */
    void checkUnanswered(const fleet::EngineReport& report);
    /** The engine does not have the role of the change. */
    void continueChange(const fleet::EngineReport& report);
    void sendOrder(const fleet::EngineReport& report);
    void onOrderResponse(
        EngineRole roleBefore, const std::optional<channels::CallResponse>& response);
    /** Gives up the change. @param role that the engine keeps. */
    void abandon(EngineRole role, std::string_view cause);
    /** Another target has the engine's address. */
    void reportReplaced();
    void reportRole(const roles::RoleChange& change, EngineRole role, bool isChanging);
    void sendReports();
    void callEngine(const adapter::Call& call, channels::CallHandler handler);

    channels::EventLoop& m_loop;
    const settings::SidecarSettings& m_settings;
    fleet::Address m_engine;
    channels::ConnectionPool m_pool;
    channels::DatagramPort m_port;
    OriginHolder m_originHolder;
    channels::StatusServer m_operatorServer;
    UnixMillis m_startedAt;
    roles::RequestQuorum m_quorum;
    peers::Outbox m_outbox;
    /** The change that is being carried out. */
    std::optional<roles::RoleChange> m_change;
    bool m_isOrderSent = false;
    /** The engine has accepted the order, or was seen changing. */
    bool m_isAccepted = false;
    /** An order without a response, which the engine may still carry out. */
    std::optional<UnansweredOrder> m_unanswered;
    /** End of the pause that the engine has requested. */
    SteadyTime m_pausedUntil;
    /** The engine's last response announced that it is leaving. */
    bool m_isLeaving = false;
    std::shared_ptr<void> m_call;
    channels::Timer m_timer;
};

} // namespace citronspoke::sidecar

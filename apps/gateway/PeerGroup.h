#pragma once

#include "GatewayContext.h"
#include "peers/Peers.h"

namespace citronspoke::gateway {

/**
 * The gateways of the deployment: announces this one in the store under a lease, follows the
 * announcements of the others, and exchanges work in flight, cached prompt parts and crash reports
 * with them. Used by the event loop's thread only.
 */
class PeerGroup {
public:
    /** @throws channels::ListenFailed */
    PeerGroup(GatewayContext& context, channels::ConnectionPool& storePool,
        const fleet::Address& store, const fleet::Address& ownAddress);

    void start();
    /** This gateway's work at a target has changed. */
    void noteLoad(const TargetId& target, const dispatch::Load& load);
    /** The target's address turned out to belong to another target. */
    void noteReplaced(const TargetId& target);
    /** An engine has these prompt parts in its cache. */
    void noteCachedParts(const TargetId& engine, std::span<const fleet::PromptPart> parts);

private:
    void onPeers(std::span<const adapter::StoreItem> items);
    void addPeer(const adapter::StoreItem& item);
    void updateGatewayCount();
    void announce();
    void writeAnnouncement(adapter::StoreLease lease);
    void renewLater(Milliseconds delay);
    void renew();
    void callStore(const adapter::Call& call, channels::CallHandler handler);
    void scheduleSend();
    void sendUpdates();
    void resendReports();
    void onDatagram(std::string_view datagram);

    GatewayContext& m_context;
    channels::ConnectionPool& m_storePool;
    fleet::Address m_store;
    fleet::Address m_ownAddress;
    EntryId m_id;
    UnixMillis m_startedAt;
    storefeed::StoreFeed m_feed;
    channels::DatagramPort m_port;
    std::map<EntryId, fleet::Address> m_peers;
    /** Recent numbers of gateways, each with the time at which it was last current. */
    std::map<uint32_t, SteadyTime> m_recentGatewayCounts;
    peers::Outbox m_outbox;
    peers::StaleUpdateFilter m_staleUpdateFilter;
    std::optional<adapter::StoreLease> m_lease;
    std::shared_ptr<void> m_call;
    channels::Timer m_renewTimer;
    channels::Timer m_sendTimer;
    channels::Timer m_resendTimer;
    bool m_isSendScheduled = false;
};

} // namespace citronspoke::gateway

#pragma once

#include "GatewayContext.h"
#include "peers/Peers.h"

namespace citronspoke::gateway {

/**
 * The gateways of the deployment: announces this one in the store under a lease, knows the others,
 * and exchanges work in flight and cached prompt parts with them.
 */
class PeerGroup {
public:
    /** @throws channels::ListenFailed */
    PeerGroup(GatewayContext& context, channels::ConnectionPool& storePool,
        const fleet::Address& store, const fleet::Address& ownAddress);

    void start();
    /** This gateway's work at a target has changed. */
    void noteLoad(const TargetId& target, const dispatch::Load& load);
    /** Another target was met at that one's address. */
    void noteReplaced(const TargetId& target);
    void noteParts(const TargetId& engine, std::span<const fleet::PromptPart> parts);

private:
    void onPeers(std::span<const adapter::StoreItem> items);
    void put(const adapter::StoreItem& item);
    void updateCount();
    void announce();
    void writeAnnouncement(adapter::StoreLease lease);
    void renewLater(Milliseconds delay);
    void renew();
    void callStore(const adapter::Call& call, channels::CallHandler handler);
    void sendSoon();
    void sendUpdates();
    void repeatReports();
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
    /** Counts of gateways that were in force lately, with when each was last seen. */
    std::map<uint32_t, SteadyTime> m_recentCounts;
    peers::Outbox m_outbox;
    peers::UpdateOrder m_order;
    std::optional<adapter::StoreLease> m_lease;
    std::shared_ptr<void> m_call;
    channels::Timer m_renewTimer;
    channels::Timer m_sendTimer;
    channels::Timer m_repeatTimer;
    bool m_isSendArmed = false;
};

} // namespace citronspoke::gateway

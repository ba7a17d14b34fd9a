#pragma once

#include "GatewayContext.h"
#include "peers/Peers.h"

namespace citronspoke::gateway {

/**
 * The gateways of the deployment: announces this one in the store under a lease, follows the
 * announcements of the others, and exchanges work in flight, cached prompt parts, crash reports,
 * roles and demand with them. Used by the event loop's thread only.
 */
class PeerGroup {
public:
    /** @throws channels::ListenFailed */
    PeerGroup(
        GatewayContext& context, storefeed::StoreClient& store, const fleet::Address& ownAddress);

    void start();
    /**
     * Replaces the known gateways by those that the store lists.
     * @param mayReturnUntil until then gateways that are missing are kept, because the store may
     *        have lost their announcements.
     */
    void onAnnouncements(std::span<const adapter::StoreItem> items, SteadyTime mayReturnUntil);
    /** Another gateway announced itself, or its announcement expired. */
    void onAnnouncementChange(const adapter::KeyChange& change, SteadyTime mayReturnUntil);
    /** This gateway's work at a target has changed. */
    void noteLoad(const TargetId& target, const dispatch::Load& load);
    /** The target's address turned out to belong to another target. */
    void noteReplaced(const TargetId& target);
    /** An engine has these prompt parts in its cache. */
    void noteCachedParts(const TargetId& engine, std::span<const fleet::PromptPart> parts);

    /** A response has begun, changed or ended the request limit of its target. */
    void noteStatedLimits();
    /** A target has announced in a response that it is leaving. */
    void noteLeaving(const fleet::Incarnation& incarnation);

    /** No connection to a target could be opened. */
    void noteUnreachable(const TargetId& target);
    /** @return the demand of all gateways that reported lately, with this one's own. */
    roles::Demand totalDemand(const PoolId& pool, SteadyTime now) const;
    /** @return the ids of all gateways; this one's own included once it is announced. */
    std::vector<EntryId> gateways() const;
    /** @return the addresses of the other gateways. */
    std::vector<fleet::Address> otherGateways() const;
    /**
     * One gateway writes a key that all keep in the store; the next ones do so later if it does
     * not.
     * @param since when the key's value in the store became outdated.
     * @return whether it is this gateway's turn.
     */
    bool isOwnTurn(std::string_view key, SteadyTime since) const;
    /** Sends a request to a sidecar, which replies to this gateway. */
    void requestRole(
        const fleet::Address& sidecar, const roles::RoleChange& change, size_t planners);
    const EntryId& id() const noexcept { return m_id; }
    /** Sends a datagram to one gateway; does nothing when it is not announced. */
    void send(const EntryId& gateway, std::string_view datagram);
    void send(const fleet::Address& gateway, std::string_view datagram);

private:
    struct MessageHandler;
    /** An announced gateway. */
    struct Peer {
        fleet::Address address;
        /** Set when its announcement is missing from the store but may be written again until
         * then. */
        std::optional<SteadyTime> mayReturnUntil;
    };
    /** What a peer last reported of its demand. */
    struct PeerDemand {
        std::map<PoolId, roles::Demand> byPool;
        SteadyTime receivedAt;
    };

    void onUpdate(const peers::Update& update, SteadyTime now);
    void onUseReport(const shares::UseReport& report);
    void noteRoleReport(const roles::RoleReport& report, bool isFromSidecar, SteadyTime now);
    void addPeer(const adapter::StoreItem& item);
    void removePeer(const EntryId& id, SteadyTime mayReturnUntil, SteadyTime now);
    void dropMissingPeers(SteadyTime now);
    void updateGateways();
    void updateGatewayCount();
    void scheduleSend();
    void sendUpdates();
    void resendReports();
    void sendUseReports(SteadyTime now);
    void resendDepartures(SteadyTime now);
    void onDatagram(std::string_view datagram);

    GatewayContext& m_context;
    fleet::Address m_ownAddress;
    EntryId m_id;
    UnixMillis m_startedAt;
    channels::DatagramPort m_port;
    std::map<EntryId, Peer> m_peers;
    std::map<EntryId, PeerDemand> m_demands;
    /** Recent numbers of gateways, each with the time at which it was last current. */
    std::map<uint32_t, SteadyTime> m_recentGatewayCounts;
    /** The gateways that are announced, and the number that the retry budget is divided by. */
    std::pair<size_t, uint32_t> m_loggedGatewayCounts;
    peers::Outbox m_outbox;
    peers::StaleUpdateFilter m_staleUpdateFilter;
    /** When all known departures were last reported. */
    SteadyTime m_departuresReportedAt;
    storefeed::LeasedKey m_announcement;
    channels::Timer m_sendTimer;
    channels::Timer m_resendTimer;
    bool m_isSendScheduled = false;
};

} // namespace citronspoke::gateway

#pragma once

#include "CacheInventory.h"
#include "CallerConnection.h"
#include "DeclarationExchange.h"
#include "DutyRunner.h"
#include "PeerGroup.h"
#include "QuarantineRecord.h"
#include "RoleCoordinator.h"
#include "StreamRegistry.h"

namespace citronspoke::gateway {

/**
 * The gateway on an entry VM: accepts callers' connections, follows the declaration and the targets
 * in the store, plans the engines' roles, reports readiness, and stops gracefully. Runs on the
 * event loop's thread.
 */
class Gateway {
public:
    /** @throws channels::ListenFailed */
    Gateway(channels::EventLoop& loop, const settings::GatewaySettings& settings,
        const Clocks& clocks = {});

    void start();
    /** Applies the settings that may change at run time; addresses and the zone may not. */
    void reload(const settings::GatewaySettings& settings);
    /**
     * Reports that it is not ready, closes the listener once the load balancer has reacted,
     * finishes open requests within the grace period, then stops the event loop. Requests that may
     * last longer are refused once callers reach other gateways; those that were accepted before
     * get a failure at the end of the period.
     */
    void beginStop();
    /** The state that requests share; for tests. */
    GatewayContext& context() noexcept { return m_context; }

private:
    void onStoreItems(
        std::span<const adapter::StoreItem> items, const fleet::StoreRecovery& recovery);
    void onStoreChange(const adapter::KeyChange& change, const fleet::StoreRecovery& recovery);
    void onDeclaration(const adapter::StoreItem& item);
    /** A newer declaration is in force. */
    void onAdopted();
    void onTargets(std::span<const adapter::StoreItem> items, const fleet::StoreRecovery& recovery);
    void onTargetChange(const adapter::KeyChange& change, SteadyTime mayReturnUntil);
    std::optional<fleet::TargetRecord> decodeTarget(const adapter::StoreItem& item) const;
    /** Does nothing until the declaration and the targets are known. */
    void startCacheInventory();
    /** Drops outdated knowledge of targets, now and again. */
    void expireTargets();
    void putTarget(const fleet::TargetRecord& record);
    void accept(channels::ConnectionPointer connection);
    /**
     * Closes the connection that has been idle for longest or, without one, that on which the
     * oldest request is being received.
     * @return false when all connections serve requests.
     */
    bool closeLongestWaiting();
    channels::StatusServer::Page readinessPage() const;
    channels::StatusServer::Page operatorPage(std::string_view target) const;
    void closeIdleConnections();
    void checkStopped();
    void finishStop();

    channels::EventLoop& m_loop;
    GatewayContext m_context;
    storefeed::StoreClient m_store;
    /** Follows all keys: a watch for each kind of key would cost as many calls each. */
    storefeed::StoreFeed m_storeFeed;
    PeerGroup m_peers;
    DeclarationAdoption m_declarations;
    DeclarationExchange m_exchange;
    VersionRecords m_versions;
    QuarantineRecord m_quarantineRecord;
    StreamRegistry m_streams;
    RoleCoordinator m_roles;
    /** None where the platform states no duty that gateways fulfil. */
    std::optional<DutyRunner> m_duties;
    CacheInventory m_cacheInventory;
    std::unique_ptr<channels::Listener> m_listener;
    channels::StatusServer m_readinessServer;
    channels::StatusServer m_operatorServer;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    /** Those that the connections follow. */
    fleet::CallerLimits m_callerLimits;
    channels::Timer m_expiryTimer;
    channels::Timer m_stopTimer;
    Milliseconds m_stopGrace;
};

} // namespace citronspoke::gateway

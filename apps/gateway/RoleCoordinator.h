#pragma once

#include "PeerGroup.h"

namespace citronspoke::gateway {

/**
 * Plans the roles of the model engines and requests changes from the sidecars. Several gateways do
 * so for each engine; its sidecar follows them once half of them agree. Used by the event loop's
 * thread only.
 */
class RoleCoordinator {
public:
    RoleCoordinator(GatewayContext& context, PeerGroup& peers);
    void start();

private:
    /** What was last logged and published of a pool's plan. */
    struct Pool {
        roles::RolePlanner planner;
        std::vector<roles::RoleChange> requested;
        uint32_t decodeEngines = 0;
    };

    void update();
    void updatePool(const fleet::PoolTraits& traits, SteadyTime now);
    void request(Pool& pool, std::span<const roles::RoleChange> changes);
    void logChange(const Pool& pool, const roles::RoleChange& change) const;

    GatewayContext& m_context;
    PeerGroup& m_peers;
    SteadyTime m_startedAt;
    std::map<PoolId, Pool> m_pools;
    channels::Timer m_timer;
};

} // namespace citronspoke::gateway

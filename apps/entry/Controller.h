#pragma once

#include "Router.h"

namespace citronspoke::entry {

/**
 * Controls the roles of the engines in the pools whose control shards this entry owns: issues
 * orders to agents and records those that were carried out. Runs on its own worker thread.
 */
class Controller final : public Service {
public:
    Controller(const settings::EntrySettings& settings, const platform::Store& store,
        const control::ConfigHolder& config, Router& router);

    std::string_view name() const noexcept override { return "controller"; }
    void start() override;
    void stop() override;

private:
    struct HeldShard {
        control::ControlShard shard;
        decisions::RolePlanner planner;
    };

    void run(const std::stop_token& token);
    void runRound();
    /**
     * Tries to acquire the shard of one pool chosen at random; one for each round, so that the load
     * on the store does not grow with the number of pools.
     */
    void tryAcquireRandomShard(const settings::Deployment& deployment);
    void controlPool(const settings::Pool& pool, HeldShard& held, const settings::Deployment&);
    void recordCompletedOrders(HeldShard& held, const std::map<TargetId, TargetView>& members);
    /** Issues at most one order, for an engine whose role differs from the declared one. */
    void orderDeclaredRole(
        const PoolId& pool, HeldShard& held, const std::map<TargetId, TargetView>& members);
    /** Issues the role change that the planner proposes, if any. */
    void orderPlannedRole(const settings::Pool& pool, HeldShard& held,
        const std::map<TargetId, TargetView>& members, const settings::RoleSettings& roles);
    void issue(const PoolId& pool, HeldShard& held, const TargetView& view, EngineRole role);

    const settings::EntrySettings& m_settings;
    const platform::Store& m_store;
    const control::ConfigHolder& m_config;
    Router& m_router;
    std::map<PoolId, HeldShard> m_heldShards;
    std::optional<WorkerThread> m_worker;
};

} // namespace citronspoke::entry

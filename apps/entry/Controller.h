#pragma once

#include "Router.h"

namespace citronspoke::entry {

/**
 * Holds the control shards that this entry has won, issues orders and notes what agents have
 * carried out.
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
    /** Looks at one pool drawn at random, so that the store's load does not grow with pools. */
    void tryAcquireRandomShard(const settings::Deployment& deployment);
    void controlPool(const settings::Pool& pool, HeldShard& held, const settings::Deployment&);
    void recordCompletedOrders(HeldShard& held, const std::map<TargetId, TargetView>& members);
    void orderDeclaredRole(
        const PoolId& pool, HeldShard& held, const std::map<TargetId, TargetView>& members);
    void orderPlannedRole(const settings::Pool& pool, HeldShard& held,
        const std::map<TargetId, TargetView>& members, const settings::RoleSettings& roles);
    void issue(const PoolId& pool, HeldShard& held, const TargetView& view, EngineRole role);

    const settings::EntrySettings& m_settings;
    const platform::Store& m_store;
    const control::ConfigHolder& m_config;
    Router& m_router;
    std::map<PoolId, HeldShard> m_heldShards;
    std::optional<Duty> m_worker;
};

} // namespace citronspoke::entry

#pragma once

#include "dispatch/Dispatch.h"
#include "settings/Settings.h"
#include "storefeed/StoreFeed.h"

namespace citronspoke::sidecar {

/**
 * Keeps the role of the engine on this VM in line with the role plan of its pool: orders a change
 * once the two have differed for some time. Only the sidecar sends role orders to the engine. Runs
 * on the thread of its event loop.
 */
class RoleReconciler {
public:
    RoleReconciler(channels::EventLoop& loop, const settings::SidecarSettings& settings);
    void start();

private:
    void onTargets(std::span<const adapter::StoreItem> items);
    void addTarget(const adapter::StoreItem& item);
    void reconcile();
    /** @return the role to order; none when the engine keeps its role or the data may be stale. */
    std::optional<EngineRole> desiredRole() const;
    /** @return the record of the engine on this VM; null when it has none or is draining. */
    const fleet::TargetRecord* ownRecord() const;
    void onOrderedRoles(std::span<const adapter::StoreItem> items);
    /**
     * Writes the role that the engine is about to be ordered to take to the store.
     * @param next called on success; the revision of the write is the fencing number of the order.
     */
    void publishOrderedRole(EngineRole role, std::function<void(FencingNumber)> next);
    /** Requests the engine's report and orders the role unless the engine has it or is changing. */
    void requestReport(EngineRole desired);
    void sendOrder(
        EngineRole desired, const fleet::EngineReport& report, FencingNumber fencingNumber);
    /** Replaces the ordered role in the store by the current one after an order without effect. */
    void withdrawOrder(EngineRole currentRole);
    void reconcileLater(Milliseconds delay);
    void callEngine(const adapter::Call& call, channels::CallHandler handler);

    channels::EventLoop& m_loop;
    const settings::SidecarSettings& m_settings;
    fleet::Address m_engine;
    fleet::Address m_store;
    channels::ConnectionPool m_pool;
    storefeed::StoreFeed m_targetFeed;
    storefeed::StoreFeed m_roleFeed;
    dispatch::OrderedRoles m_orderedRoles;
    std::map<TargetId, fleet::TargetRecord> m_targets;
    dispatch::RolePlan m_plan;
    channels::StatusServer m_operatorServer;
    channels::Timer m_timer;
    std::shared_ptr<void> m_call;
    std::optional<EngineRole> m_desiredRole;
    SteadyTime m_desiredRoleSince;
    SteadyTime m_startedAt;
};

} // namespace citronspoke::sidecar

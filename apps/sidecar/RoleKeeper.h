#pragma once

#include "dispatch/Dispatch.h"
#include "settings/Settings.h"
#include "storefeed/StoreFeed.h"

namespace citronspoke::sidecar {

/**
 * Gives orders to the engine on its VM, and is the only process that does: compares the engine's
 * role with the plan for its pool and orders a change when they differ for a while.
 */
class RoleKeeper {
public:
    RoleKeeper(channels::EventLoop& loop, const settings::SidecarSettings& settings);
    void start();

private:
    void onTargets(std::span<const adapter::StoreItem> items);
    void put(const adapter::StoreItem& item);
    void check();
    /** @return the role to order; none when the engine should stay as it is. */
    std::optional<EngineRole> wantedRole() const;
    const fleet::TargetEntry* ownEntry() const;
    void onRoles(std::span<const adapter::StoreItem> items);
    /** Writes the role that the engine is about to be ordered to; the write gives the fence. */
    void announce(EngineRole role, std::function<void(FencingNumber)> next);
    void readReport(EngineRole wanted);
    void order(EngineRole wanted, const fleet::EngineReport& report, FencingNumber fence);
    void withdraw(EngineRole present);
    void checkLater(Milliseconds delay);
    void callEngine(const adapter::Call& call, channels::CallHandler handler);

    channels::EventLoop& m_loop;
    const settings::SidecarSettings& m_settings;
    fleet::Address m_engine;
    fleet::Address m_store;
    channels::ConnectionPool m_pool;
    storefeed::StoreFeed m_feed;
    storefeed::StoreFeed m_roles;
    dispatch::OrderedRoles m_ordered;
    std::map<TargetId, fleet::TargetEntry> m_entries;
    dispatch::RolePlan m_plan;
    channels::PageServer m_operator;
    channels::Timer m_timer;
    std::shared_ptr<void> m_call;
    std::optional<EngineRole> m_wanted;
    SteadyTime m_wantedSince;
    SteadyTime m_startedAt;
};

} // namespace citronspoke::sidecar

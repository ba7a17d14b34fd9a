#include "Controller.h"

#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::entry {

namespace {

    constexpr Milliseconds RoundInterval { 800 };

    std::map<TargetId, TargetView> membersOf(const FleetSnapshot& fleet, const PoolId& pool)
    {
        std::map<TargetId, TargetView> members;
        for (const auto& [id, view] : fleet.targets) {
            if (view.settings.pool == pool)
                members.emplace(id, view);
        }
        return members;
    }

    bool isServing(const TargetView& view)
    {
        return view.heartbeat && !view.isSuspected
            && view.heartbeat->state == ServingState::Serving;
    }

    decisions::RolePolicy policyOf(const settings::RoleSettings& roles)
    {
        decisions::RolePolicy policy;
        policy.changePrice = roles.changePrice;
        policy.horizon = roles.horizon;
        policy.shortestInterval = roles.shortestInterval;
        policy.floorPerRole = roles.floorPerRole;
        return policy;
    }

} // namespace

Controller::Controller(const settings::EntrySettings& settings, const platform::Store& store,
    const control::ConfigHolder& config, Router& router)
    : m_settings(settings)
    , m_store(store)
    , m_config(config)
    , m_router(router)
{
}

void Controller::start()
{
    m_worker.emplace("controller", [this](const std::stop_token& token) { run(token); });
}

void Controller::stop()
{
    m_worker->requestStop();
    m_worker.reset();
    for (auto& [pool, held] : m_heldShards)
        held.shard.release();
    m_heldShards.clear();
}

void Controller::run(const std::stop_token& token)
{
    while (sleepUnlessStopped(token, jittered(RoundInterval))) {
        try {
            runRound();
        } catch (const platform::StoreUnavailable&) {
            telemetry::count("control_rounds_failed");
        }
    }
}

void Controller::runRound()
{
    const settings::DeploymentPointer deployment = m_config.current();
    if (!deployment)
        return;
    for (auto position = m_heldShards.begin(); position != m_heldShards.end();) {
        const bool isHeld = position->second.shard.renew();
        position = isHeld ? std::next(position) : m_heldShards.erase(position);
    }
    tryAcquireRandomShard(*deployment);
    for (auto& [pool, held] : m_heldShards) {
        if (deployment->pools.contains(pool))
            controlPool(deployment->pools.at(pool), held, *deployment);
    }
}

void Controller::tryAcquireRandomShard(const settings::Deployment& deployment)
{
    std::vector<PoolId> unheldPools;
    for (const auto& [id, pool] : deployment.pools) {
        if (pool.kind == TargetKind::ModelEngine && !m_heldShards.contains(id))
            unheldPools.push_back(id);
    }
    if (unheldPools.empty())
        return;
    const PoolId& pool = unheldPools[stableHash(randomHex(8)) % unheldPools.size()];
    HeldShard candidate { control::ControlShard(m_store, pool, EntryId(m_settings.process.id)),
        {} };
    if (!candidate.shard.tryAcquire())
        return;
    telemetry::logInfo("control", "Control shard acquired.", { { "pool", pool.text() } });
    m_heldShards.emplace(pool, std::move(candidate));
}

void Controller::controlPool(
    const settings::Pool& pool, HeldShard& held, const settings::Deployment& deployment)
{
    const std::map<TargetId, TargetView> members = membersOf(*m_router.snapshot(), pool.id);
    recordCompletedOrders(held, members);
    if (held.shard.isHeld())
        orderDeclaredRole(pool.id, held, members);
    if (held.shard.isHeld() && deployment.roles.isEnabled)
        orderPlannedRole(pool, held, members, deployment.roles);
}

void Controller::recordCompletedOrders(
    HeldShard& held, const std::map<TargetId, TargetView>& members)
{
    for (const auto& [id, view] : members) {
        if (!held.shard.isHeld())
            return;
        if (view.heartbeat && view.heartbeat->orderProgress.done)
            held.shard.noteDone(
                id, view.heartbeat->orderProgress.fencing, view.heartbeat->orderProgress.sequence);
    }
}

// A pool changes one role at a time. Roles declared by the operator go before planned ones.
void Controller::orderDeclaredRole(
    const PoolId& pool, HeldShard& held, const std::map<TargetId, TargetView>& members)
{
    const bool isChanging = std::any_of(members.begin(), members.end(), [](const auto& item) {
        return item.second.heartbeat && item.second.heartbeat->state == ServingState::Changing;
    });
    const bool isOutstanding = std::any_of(held.shard.state().orders.begin(),
        held.shard.state().orders.end(), [](const auto& item) { return !item.second.isDone; });
    if (isChanging || isOutstanding)
        return;
    for (const auto& [id, view] : members) {
        const std::optional<EngineRole> declaredRole = view.settings.role;
        if (!declaredRole || !isServing(view) || view.heartbeat->role == *declaredRole)
            continue;
        issue(pool, held, view, *declaredRole);
        return;
    }
}

void Controller::orderPlannedRole(const settings::Pool& pool, HeldShard& held,
    const std::map<TargetId, TargetView>& members, const settings::RoleSettings& roles)
{
    decisions::Demand demand;
    std::vector<decisions::EngineView> engines;
    for (const auto& [id, view] : members) {
        if (!view.heartbeat || view.settings.role)
            continue;
        demand.promptTokensPerSecond += view.heartbeat->load.promptDemandPerSecond;
        demand.outputTokensPerSecond += view.heartbeat->load.outputDemandPerSecond;
        decisions::EngineView engine;
        engine.target = id;
        engine.zone = view.settings.zone;
        engine.role = view.heartbeat->role;
        engine.isAvailable = isServing(view);
        engines.push_back(std::move(engine));
    }
    held.planner.noteDemand(demand, steadyNow());
    const std::optional<decisions::RoleChange> change
        = held.planner.plan(policyOf(roles), engines, steadyNow());
    if (change)
        issue(pool.id, held, members.at(change->target), change->role);
}

void Controller::issue(const PoolId& pool, HeldShard& held, const TargetView& view, EngineRole role)
{
    const std::optional<control::Order> order = held.shard.issue(view.settings.id, role);
    if (!order)
        return;
    telemetry::logInfo("control", "Order issued.",
        { { "target", view.settings.id.text() }, { "role", std::string(toText(role)) } });
    m_router.mailbox().send(view.settings.mailbox, protocol::OrderHint { pool });
}

} // namespace citronspoke::entry

#include "RoleCoordinator.h"

#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** A request is valid at the sidecar for several of these intervals. */
    constexpr Milliseconds UpdateInterval { 150 };

    struct RoleCounts {
        uint32_t decode = 0;
        uint32_t prefill = 0;
        uint32_t lost = 0;
        uint32_t freeDecodeSlots = 0;

        void add(const dispatch::TargetState& engine, bool isLost)
        {
            if (isLost) {
                lost += 1;
            } else if (engine.record.role == EngineRole::Decode) {
                const uint32_t slots = engine.record.slots;
                decode += 1;
                freeDecodeSlots += slots - std::min(slots, engine.load().requests);
            } else {
                prefill += 1;
            }
        }
    };

    void publishCounts(const PoolId& pool, const RoleCounts& counts, uint32_t wantedDecode)
    {
        telemetry::gauge(
            "role_engines", counts.decode, { { "pool", pool.text() }, { "role", "decode" } });
        telemetry::gauge(
            "role_engines", counts.prefill, { { "pool", pool.text() }, { "role", "prefill" } });
        telemetry::gauge(
            "role_engines", counts.lost, { { "pool", pool.text() }, { "role", "lost" } });
        telemetry::gauge("decode_engines_wanted", wantedDecode, { { "pool", pool.text() } });
        telemetry::gauge("decode_slots_free", counts.freeDecodeSlots, { { "pool", pool.text() } });
    }

} // namespace

RoleCoordinator::RoleCoordinator(GatewayContext& context, PeerGroup& peers)
    : m_context(context)
    , m_peers(peers)
    , m_startedAt(steadyNow())
    , m_timer(context.loop)
{
}

void RoleCoordinator::start()
{
    m_timer.arm(jittered(UpdateInterval), [this] {
        start();
        update();
    });
}

void RoleCoordinator::update()
{
    const std::shared_ptr<const dispatch::RouteTable> routes = m_context.routes;
    if (!routes || m_context.stop)
        return;
    for (const fleet::PoolTraits& traits : routes->declaration().pools) {
        if (traits.engine)
            updatePool(traits, steadyNow());
    }
}

void RoleCoordinator::updatePool(const fleet::PoolTraits& traits, SteadyTime now)
{
    Pool& pool
        = m_pools
              .try_emplace(traits.id,
                  Pool { roles::RolePlanner(m_startedAt, m_context.settings.isFirstStart), {}, 0 })
              .first->second;
    std::vector<roles::PlannedEngine> engines;
    RoleCounts counts;
    for (const dispatch::TargetState* state : m_context.directory.allInPool(traits.id, now)) {
        // Another engine can change its role before a long pause ends.
        const bool hasLongPause
            = m_context.isPaused(state->record, now + traits.engine->roleChangeTime);
        const bool isLost
            = state->isSuspectedLost(now) || state->excludedUntil > now || hasLongPause;
        engines.push_back({ m_context.reportedRoles.withReportedRole(state->record, now), isLost,
            m_context.statedLimits.limit(state->record),
            m_context.reportedRoles.isChanging(state->record, now) });
        counts.add(*state, isLost);
    }
    const roles::Demand demand = m_peers.totalDemand(traits.id, now);
    const std::vector<roles::RoleChange> changes = pool.planner.update(engines, demand, now);
    publishCounts(traits.id, counts, pool.planner.decodeEngines());
    if (pool.planner.decodeEngines() != pool.decodeEngines) {
        pool.decodeEngines = pool.planner.decodeEngines();
        telemetry::logInfo("roles", "The number of decode engines in the plan changed.",
            { { "pool", traits.id.text() }, { "wanted", std::to_string(pool.decodeEngines) },
                { "decoding", std::to_string(counts.decode) },
                { "prefilling", std::to_string(counts.prefill) },
                { "lost", std::to_string(counts.lost) },
                { "decode_demand", std::to_string(demand.decodeEngines) },
                { "prefill_demand", std::to_string(demand.prefillEngines) } });
    }
    request(pool, changes);
}

void RoleCoordinator::request(Pool& pool, std::span<const roles::RoleChange> changes)
{
    const std::vector<EntryId> gateways = m_peers.gateways();
    std::vector<roles::RoleChange> requested;
    for (const roles::RoleChange& change : changes) {
        const std::vector<EntryId> planners = roles::plannersOf(change.engine, gateways);
        const dispatch::TargetState* engine = m_context.directory.find(change.engine);
        if (!engine || std::find(planners.begin(), planners.end(), m_peers.id()) == planners.end())
            continue;
        // All processes of a deployment use the same ports for each other.
        const fleet::Address sidecar { engine->record.address.ip, m_context.settings.sidecarPort };
        m_peers.requestRole(sidecar, change, planners.size());
        logChange(pool, change);
        requested.push_back(change);
    }
    pool.requested = std::move(requested);
}

void RoleCoordinator::logChange(const Pool& pool, const roles::RoleChange& change) const
{
    if (std::find(pool.requested.begin(), pool.requested.end(), change) != pool.requested.end())
        return;
    telemetry::logInfo("roles", "Requesting a role change.",
        { { "target", change.engine.text() }, { "role", std::string(toText(change.role)) } });
}

} // namespace citronspoke::gateway

#include "PoolShares.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** The sum over organisations and engines is too expensive for each request. */
    constexpr Milliseconds RefreshInterval { 50 };
    constexpr double RunSampleWeight = 0.1;

} // namespace

PoolShares::PoolShares(const EntryId& gateway, const PoolId& pool)
    : exchange(gateway, pool)
{
}

void PoolShares::refresh(std::span<dispatch::TargetState* const> targets,
    const dispatch::PrefillSpeed& speed, SteadyTime now)
{
    if (m_refreshedAt && now - *m_refreshedAt < RefreshInterval)
        return;
    m_refreshedAt = now;
    m_state = {};
    uint32_t prefillEngines = 0;
    uint64_t tokens = 0;
    for (const dispatch::TargetState* target : targets) {
        const dispatch::Load load = target->load();
        tokens += load.tokensToPrefill();
        if (target->record.role == EngineRole::Prefill) {
            prefillEngines += 1;
            continue;
        }
        m_state.slots += target->record.slots;
        m_state.usedSlots += std::min(target->record.slots, load.requests);
    }
    m_engines = static_cast<uint32_t>(targets.size());
    m_servers = std::max(1U, prefillEngines > 0 ? prefillEngines : m_engines);
    m_state.backlog = speed.estimate(tokens / m_servers);
    fairShares.noteState(m_state, now);
    fairShares.update(exchange.total(use.summary(now), now), m_engines, now);
}

std::vector<shares::UseExchange::Outgoing> PoolShares::takeReports(
    std::span<const EntryId> gateways, SteadyTime now)
{
    exchange.updateGateways(gateways);
    if (!fairShares.isShort(now) && !exchange.hasMemberReports(now))
        return {};
    return exchange.takeReports(use.summary(now), now);
}

void PoolShares::noteUsed(const OrganisationId& organisation, double engineTime, SteadyTime now)
{
    use.noteUsed(organisation, engineTime, now);
    fairShares.noteUsed(organisation, engineTime);
}

void PoolShares::noteNotRun(const OrganisationId& organisation, double engineTime, SteadyTime now)
{
    use.noteNotRun(organisation, engineTime, now);
    fairShares.noteUsed(organisation, -engineTime);
}

void PoolShares::noteRun(Milliseconds took)
{
    const double sample = static_cast<double>(took.count());
    m_runMs = m_runMs == 0 ? sample : m_runMs + RunSampleWeight * (sample - m_runMs);
}

} // namespace citronspoke::gateway

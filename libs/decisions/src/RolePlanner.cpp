#include "decisions/Decisions.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::decisions {

namespace {

    constexpr double Thousand = 1000;
    constexpr size_t MaxSamples = 240;

    double prefillShareOf(const RolePolicy& policy, const Demand& demand)
    {
        const double prefill
            = demand.promptTokensPerSecond / Thousand * policy.secondsPerThousandPromptTokens;
        const double decode
            = demand.outputTokensPerSecond / Thousand * policy.secondsPerThousandOutputTokens;
        const double total = prefill + decode;
        return total > 0 ? prefill / total : 0.5;
    }

    size_t countRole(std::span<const EngineView> engines, EngineRole role)
    {
        return static_cast<size_t>(std::count_if(engines.begin(), engines.end(),
            [role](const EngineView& engine) { return engine.role == role; }));
    }

    // Takes the engine from the zone with the most engines of the role, so that a zone keeps its
    // last one while another zone has more.
    const EngineView* selectEngine(std::span<const EngineView> engines, EngineRole from)
    {
        std::map<ZoneId, size_t> countByZone;
        for (const EngineView& engine : engines) {
            if (engine.role == from)
                countByZone[engine.zone] += 1;
        }
        const EngineView* best = nullptr;
        for (const EngineView& engine : engines) {
            if (engine.role != from || !engine.isAvailable)
                continue;
            if (!best || countByZone[engine.zone] > countByZone[best->zone])
                best = &engine;
        }
        return best;
    }

} // namespace

void RolePlanner::noteDemand(const Demand& demand, SteadyTime now)
{
    m_samples.push_back({ now, demand });
    if (m_samples.size() > MaxSamples)
        m_samples.erase(m_samples.begin());
}

double RolePlanner::predictedPrefillShare(const RolePolicy& policy) const
{
    if (m_samples.empty())
        return 0.5;
    const SteadyTime newest = m_samples.back().time;
    Demand mean;
    size_t used = 0;
    for (const Sample& sample : m_samples) {
        if (newest - sample.time > policy.horizon)
            continue;
        mean.promptTokensPerSecond += sample.demand.promptTokensPerSecond;
        mean.outputTokensPerSecond += sample.demand.outputTokensPerSecond;
        used += 1;
    }
    mean.promptTokensPerSecond /= static_cast<double>(used);
    mean.outputTokensPerSecond /= static_cast<double>(used);
    return prefillShareOf(policy, mean);
}

std::optional<RoleChange> RolePlanner::plan(
    const RolePolicy& policy, std::span<const EngineView> engines, SteadyTime now)
{
    const bool isTooSoon = m_lastChange && now - *m_lastChange < policy.shortestInterval;
    const bool isChanging = std::any_of(engines.begin(), engines.end(),
        [](const EngineView& engine) { return !engine.isAvailable; });
    if (engines.empty() || m_samples.empty() || isTooSoon || isChanging)
        return std::nullopt;
    const double total = static_cast<double>(engines.size());
    const double floor = policy.floorPerRole;
    const double wantedPrefillEngines
        = std::clamp(predictedPrefillShare(policy) * total, floor, std::max(floor, total - floor));
    const double currentPrefillEngines
        = static_cast<double>(countRole(engines, EngineRole::Prefill))
        + static_cast<double>(countRole(engines, EngineRole::Mixed)) / 2;
    // One change moves the share of prefill engines by up to 1 / total; a gap that is below half of
    // that after the price is deducted is not worth a change.
    const double gain
        = std::abs(wantedPrefillEngines - currentPrefillEngines) / total - policy.changePrice;
    if (gain < 1 / total / 2)
        return std::nullopt;
    const EngineRole to
        = wantedPrefillEngines > currentPrefillEngines ? EngineRole::Prefill : EngineRole::Decode;
    const EngineRole opposite
        = to == EngineRole::Prefill ? EngineRole::Decode : EngineRole::Prefill;
    const EngineView* engine = selectEngine(engines, EngineRole::Mixed);
    if (!engine)
        engine = selectEngine(engines, opposite);
    if (!engine)
        return std::nullopt;
    m_lastChange = now;
    return RoleChange { engine->target, to };
}

} // namespace citronspoke::decisions

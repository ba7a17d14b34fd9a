#include "GatewayContext.h"

#include "PeerGroup.h"

namespace citronspoke::gateway {

GatewayContext::GatewayContext(channels::EventLoop& loop, const settings::GatewaySettings& settings)
    : loop(loop)
    , settings(settings)
    , zone(settings.zone)
    , targets(loop, {})
    , retries({ settings.retries.share, settings.retries.fixedPart, settings.retries.window },
          steadyNow())
    , m_random(std::random_device {}())
{
}

void GatewayContext::noteStarted(const TargetId& target, const dispatch::Load& load)
{
    directory.noteStarted(target, load);
    tellLoad(target);
}

void GatewayContext::noteFinished(const TargetId& target, const dispatch::Load& load)
{
    directory.noteFinished(target, load);
    tellLoad(target);
}

void GatewayContext::tellLoad(const TargetId& target)
{
    const dispatch::TargetState* state = directory.find(target);
    if (state && peers)
        peers->noteLoad(target, state->own);
}

void GatewayContext::noteParts(const TargetId& engine, std::span<const fleet::PromptPart> parts)
{
    const dispatch::TargetState* state = directory.find(engine);
    if (!state || !routes)
        return;
    const fleet::PoolTraits* pool = routes->declaration().pool(state->entry.pool);
    if (pool && pool->engine)
        ledger.noteRead(engine, pool->engine->cacheTokens, parts);
}

const std::set<TargetId>& GatewayContext::plannedMakers(const PoolId& pool)
{
    PlannedMakers& planned = m_plannedMakers[pool];
    if (planned.directoryVersion == directory.version())
        return planned.makers;
    std::vector<fleet::TargetEntry> engines;
    for (const auto& [id, state] : directory.targets()) {
        if (state.entry.pool == pool)
            engines.push_back(state.entry);
    }
    planned.makers = dispatch::planMakers({}, engines);
    planned.directoryVersion = directory.version();
    return planned.makers;
}

std::vector<dispatch::TargetState*> GatewayContext::enginesInRole(
    const PoolId& pool, EngineRole role)
{
    std::vector<dispatch::TargetState*> inRole = directory.usable(pool, steadyNow());
    std::erase_if(
        inRole, [role](const dispatch::TargetState* state) { return state->entry.role != role; });
    const std::set<TargetId>& makers = plannedMakers(pool);
    std::vector<dispatch::TargetState*> staying = inRole;
    std::erase_if(staying, [&makers](const dispatch::TargetState* state) {
        return dispatch::plannedChange(makers, state->entry).has_value();
    });
    return staying.empty() ? inRole : staying;
}

double GatewayContext::draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

} // namespace citronspoke::gateway

#include "GatewayContext.h"

#include "Durations.h"
#include "PeerGroup.h"
#include "UsageExchange.h"
#include "telemetry/Telemetry.h"

#include <ctime>

namespace citronspoke::gateway {

namespace {

    channels::ConnectionPool::Options poolOptions(const capacity::CallerCapacity& capacity)
    {
        channels::ConnectionPool::Options options;
        options.idleTotal = capacity.idleTargetConnections;
        return options;
    }

} // namespace

duties::BootTime Clocks::bootNow()
{
    constexpr int64_t MsPerSecond = 1000;
    constexpr int64_t NsPerMs = 1000000;
    // The steady clock stops while the machine is suspended.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return duties::BootTime(Milliseconds(time.tv_sec * MsPerSecond + time.tv_nsec / NsPerMs));
}

GatewayContext::GatewayContext(
    channels::EventLoop& loop, const settings::GatewaySettings& settings, Clocks clocks)
    : loop(loop)
    , clocks(std::move(clocks))
    , settings(settings)
    , zone(settings.zone)
    , capacity(
          capacity::callerCapacity(settings.process.memoryBytes(), settings.process.descriptors))
    , requestMemory(std::make_shared<capacity::RequestMemory>(capacity.requests))
    , targetConnections(loop, poolOptions(capacity))
    , prefixCacheIndex(capacity.prefixIndexBytes)
    , evenLoads(EntryId(settings.id), settings.hasEvenLoad)
    , pacer(EntryId(settings.id), settings.limitNoticeTime)
    , retryBudget({ settings.retries.share, settings.retries.fixedPart, settings.retries.window },
          steadyNow())
    , callerBuffers(capacity.unsentBytes)
    , m_random(std::random_device {}())
{
}

void GatewayContext::noteRunBegun(const OrganisationId& organisation)
{
    if (usage && !organisation.empty())
        usage->noteRunBegun(organisation);
}

void GatewayContext::onCounts(const duties::CountsMessage& message)
{
    if (usage)
        usage->onCounts(message);
}

void GatewayContext::onDutyStatus(const duties::DutyStatus& status)
{
    if (usage)
        usage->onStatus(status);
}

void GatewayContext::notePrefilled(
    const fleet::TargetRecord& engine, uint64_t tokens, uint64_t tokensAhead, Milliseconds took)
{
    prefillSpeeds[engine.pool].notePrefilled(tokens, tokensAhead, took);
    const std::optional<double> speed = dispatch::PrefillSpeed::measured(tokens, tokensAhead, took);
    dispatch::TargetState* state = sameIncarnation(engine);
    if (speed && state)
        state->speeds.prefill.note(*speed, steadyNow());
}

dispatch::TargetState* GatewayContext::sameIncarnation(const fleet::TargetRecord& target)
{
    dispatch::TargetState* state = directory.find(target.id);
    return state && state->record.incarnation() == target.incarnation() ? state : nullptr;
}

void GatewayContext::noteStarted(const TargetId& target, const dispatch::Load& load)
{
    directory.noteStarted(target, load);
    publishLoad(target);
}

void GatewayContext::noteFinished(const TargetId& target, const dispatch::Load& load)
{
    directory.noteFinished(target, load);
    publishLoad(target);
}

void GatewayContext::publishLoad(const TargetId& target)
{
    const dispatch::TargetState* state = directory.find(target);
    if (state && peers)
        peers->noteLoad(target, state->ownLoad);
}

void GatewayContext::noteLimitChanged(
    const TargetId& target, std::string_view source, const RequestId& request)
{
    const dispatch::TargetState* state = directory.find(target);
    std::optional<conditions::StatedLimits::Limit> limit;
    if (state)
        limit = statedLimits.limit(state->record);
    telemetry::logInfo("limits", "A target's request limit changed.",
        { { "target", target.text() },
            { "per_s", limit ? std::to_string(limit->requestsPerSecond) : "none" },
            { "by", std::string(source) }, { "id", request.text() } });
    telemetry::count("limit_changes", { { "by", std::string(source) } });
}

std::optional<SteadyTime> GatewayContext::nextTurn(
    const fleet::TargetRecord& target, SteadyTime now)
{
    std::optional<SteadyTime> turn = pacer.nextTurn(target.id, statedLimits.limit(target), now);
    const std::optional<SteadyTime> pausedUntil = requestedPauses.pausedUntil(target);
    if (turn && pausedUntil)
        turn = std::max(*turn, pacer.nextTurnAfterPause(target.id, *pausedUntil, now));
    return turn;
}

bool GatewayContext::isPaused(const fleet::TargetRecord& target, SteadyTime at) const
{
    const std::optional<SteadyTime> pausedUntil = requestedPauses.pausedUntil(target);
    return pausedUntil && *pausedUntil > at;
}

bool GatewayContext::takesTurns(const fleet::TargetRecord& target) const
{
    return statedLimits.limit(target) || requestedPauses.pausedUntil(target);
}

bool GatewayContext::noteLeaving(
    const fleet::Incarnation& incarnation, std::string_view source, const RequestId& request)
{
    if (!directory.noteLeaving(incarnation, steadyNow()))
        return false;
    telemetry::logInfo("targets", "A target announced that it is leaving.",
        { { "target", incarnation.target.text() }, { "by", std::string(source) },
            { "id", request.text() } });
    telemetry::count("target_notices", { { "kind", "leaving" }, { "by", std::string(source) } });
    return true;
}

void GatewayContext::noteNotice(const fleet::TargetRecord& target,
    const adapter::TargetNotice& notice, const RequestId& request)
{
    if (!notice.unreadableField.empty())
        telemetry::logWarning("targets", "A response has an unreadable field.",
            { { "target", target.id.text() }, { "field", std::string(notice.unreadableField) },
                { "id", request.text() } });
    if (notice.isLeaving && noteLeaving(target.incarnation(), "response", request) && peers)
        peers->noteLeaving(target.incarnation());
    if (notice.pause && requestedPauses.noteRequested(target, *notice.pause, steadyNow())) {
        telemetry::logInfo("targets", "A target requested a pause.",
            { { "target", target.id.text() }, { "pause_ms", millisecondsText(*notice.pause) },
                { "id", request.text() } });
        telemetry::count("target_notices", { { "kind", "pause" }, { "by", "response" } });
    }
}

void GatewayContext::noteCachedParts(
    const TargetId& engine, std::span<const fleet::PromptPart> parts)
{
    const dispatch::TargetState* state = directory.find(engine);
    if (!state || !routes)
        return;
    const fleet::PoolTraits* pool = routes->declaration().pool(state->record.pool);
    if (pool && pool->engine)
        prefixCacheIndex.notePrefilled(engine, pool->engine->cacheTokens, parts);
}

std::vector<dispatch::TargetState*> GatewayContext::enginesInRole(
    const PoolId& pool, EngineRole role)
{
    const SteadyTime now = steadyNow();
    std::vector<dispatch::TargetState*> engines = directory.usable(pool, now);
    std::erase_if(engines, [this, role, now](const dispatch::TargetState* state) {
        return reportedRoles.withReportedRole(state->record, now).role != role
            || reportedRoles.isChanging(state->record, now);
    });
    return engines;
}

PoolShares* GatewayContext::sharesOf(const PoolId& pool)
{
    if (!routes || !routes->declaration().organisations) {
        poolShares.clear();
        return nullptr;
    }
    return &poolShares.try_emplace(pool, EntryId(settings.id), pool).first->second;
}

double GatewayContext::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

} // namespace citronspoke::gateway

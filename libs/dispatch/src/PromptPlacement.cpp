#include "dispatch/Dispatch.h"

#include <algorithm>

namespace citronspoke::dispatch {

namespace {

    /** Cost of fetching a cached token from another engine, relative to prefilling it. */
    constexpr double FetchCostRatio = 0.05;

    /** The last part belongs to the request alone; the id of the one before it identifies the parts
     * that requests share. */
    std::string_view sharedKey(const fleet::Prompt& prompt)
    {
        constexpr size_t OwnParts = 1;
        if (prompt.parts.size() <= OwnParts)
            return {};
        return prompt.parts[prompt.parts.size() - OwnParts - 1].id;
    }

    uint64_t sharedTokens(const fleet::Prompt& prompt)
    {
        uint64_t tokens = 0;
        for (size_t index = 0; index + 1 < prompt.parts.size(); ++index)
            tokens += prompt.parts[index].tokens;
        return tokens;
    }

    uint64_t homeRank(std::string_view key, const TargetId& engine)
    {
        return stableHash(std::string(key).append("/").append(engine.text()));
    }

    TargetState* homeEngine(
        std::span<TargetState* const> candidates, std::string_view key, SteadyTime now)
    {
        TargetState* home = nullptr;
        std::pair<bool, uint64_t> best;
        for (TargetState* candidate : candidates) {
            const std::pair<bool, uint64_t> rank(
                !candidate->isAvoided(now), homeRank(key, candidate->record.id));
            if (!home || rank > best) {
                home = candidate;
                best = rank;
            }
        }
        return home;
    }

    /** The engine that has the longest ready prefix of a prompt cached. */
    struct Source {
        const TargetState* engine = nullptr;
        uint64_t tokens = 0;
    };

    PrefixCacheIndex::CachedPrefix cachedPrefixOf(
        const PrefixCacheIndex::CachedPrefixes& cachedPrefixes, const TargetState& engine)
    {
        const auto found = cachedPrefixes.find(engine.record.id.text());
        return found == cachedPrefixes.end() ? PrefixCacheIndex::CachedPrefix {} : found->second;
    }

    Source bestSource(std::span<TargetState* const> cachingEngines,
        const PrefixCacheIndex::CachedPrefixes& cachedPrefixes, SteadyTime now)
    {
        Source best;
        for (const TargetState* cachingEngine : cachingEngines) {
            if (cachingEngine->isAvoided(now))
                continue;
            const uint64_t ready = cachedPrefixOf(cachedPrefixes, *cachingEngine).readyTokens;
            if (ready > best.tokens)
                best = { cachingEngine, ready };
        }
        return best;
    }

} // namespace

void PrefillSpeed::notePrefilled(uint64_t tokens, uint64_t tokensAhead, Milliseconds took)
{
    // Short prompts measure the fixed cost of a step, and long queues the work for other prompts.
    constexpr uint64_t MinSampleTokens = 500;
    constexpr double SampleWeight = 0.1;
    if (tokens < MinSampleTokens || tokensAhead > tokens || took <= Milliseconds(0))
        return;
    const double sample
        = static_cast<double>(tokens + tokensAhead) / static_cast<double>(took.count());
    m_tokensPerMs
        = m_tokensPerMs == 0 ? sample : m_tokensPerMs + SampleWeight * (sample - m_tokensPerMs);
}

Milliseconds PrefillSpeed::estimate(uint64_t tokens) const
{
    if (m_tokensPerMs == 0)
        return Milliseconds(0);
    return Milliseconds(static_cast<int64_t>(static_cast<double>(tokens) / m_tokensPerMs));
}

namespace {

    /** A prompt is short or medium when its prefill takes at most this fraction of the time that is
     * left until the response has to begin. */
    constexpr int ShortDivisor = 8;
    constexpr int MediumDivisor = 3;
    constexpr uint32_t SizeClassesPerRank = 3;
    /** While shares divide the pool, the last class of each rank is that of prompts over their
     * share, whatever their size. */
    constexpr uint32_t OverShareClass = SizeClassesPerRank - 1;
    constexpr uint32_t LowestRank = LateUrgency / SizeClassesPerRank - 1;
    /** Weight of less urgent prompts: they hardly delay a prompt, but keep the engine busy after
     * it. */
    constexpr double LessUrgentWeight = 0.3;
    /** Part of the work ahead of a prompt is cancelled or takes less time than estimated, so a
     * prompt counts as late only when even the estimate divided by this is too long. */
    constexpr int OptimisticTimeDivisor = 2;
    /** New connections and traffic between zones are expensive: each costs as much as some
     * milliseconds of prefill, expressed in prompt tokens. */
    constexpr double NewConnectionCostTokens = 400;
    constexpr double OtherZoneCostTokens = 200;
    /** An engine's transfers run one after another; the fixed part of each takes as long as the
     * transfer of so many tokens. */
    constexpr uint64_t TransferSetupTokens = 12500;
    /** A transfer between zones takes twice as long, which also delays those behind it. */
    constexpr uint64_t OtherZoneTransfers = 2;
    /** A stream whose engine is lost ends when no other one has its version: other engines get it
     * until they have about so many requests more. */
    constexpr uint64_t OnlyOfVersionRequests = 16;

    Urgency urgencyOf(const PromptGoal& goal, Milliseconds prefillTime)
    {
        const uint32_t rank = std::min(goal.priority, LowestRank);
        uint32_t sizeClass = 2;
        if (prefillTime <= goal.timeLeft / ShortDivisor)
            sizeClass = 0;
        else if (prefillTime <= goal.timeLeft / MediumDivisor)
            sizeClass = 1;
        if (goal.isDividedByShares) {
            sizeClass = goal.isReturning ? 0 : std::min(sizeClass, OverShareClass - 1);
            if (goal.isOverShare)
                sizeClass = OverShareClass;
        }
        return static_cast<Urgency>(rank * SizeClassesPerRank + sizeClass);
    }

} // namespace

PromptPlacement placePrompt(std::span<TargetState* const> candidates,
    std::span<TargetState* const> cachingEngines, const fleet::Prompt& prompt,
    const PromptGoal& goal, const PrefixCacheIndex& cacheIndex, const PrefillSpeed& speed,
    const std::set<TargetId>& excluded, SteadyTime now)
{
    const PrefixCacheIndex::CachedPrefixes cachedPrefixes = cacheIndex.cachedPrefixes(prompt.parts);
    const Source source
        = cachedPrefixes.empty() ? Source {} : bestSource(cachingEngines, cachedPrefixes, now);
    const std::string_view key = sharedKey(prompt);
    const uint64_t shared = sharedTokens(prompt);
    // Only shared parts that no engine has cached need a home engine.
    const bool hasUncachedSharedParts = source.tokens < shared;
    const TargetState* home
        = hasUncachedSharedParts && !key.empty() ? homeEngine(candidates, key, now) : nullptr;

    PromptPlacement best;
    std::tuple<bool, double> bestRank;
    for (TargetState* candidate : candidates) {
        if (excluded.contains(candidate->record.id))
            continue;
        const uint64_t cached = std::min<uint64_t>(
            prompt.tokens, cachedPrefixOf(cachedPrefixes, *candidate).expectedTokens);
        const bool fetches = source.engine && source.engine != candidate && source.tokens > cached;
        const uint64_t start = fetches ? std::min<uint64_t>(prompt.tokens, source.tokens) : cached;
        const uint64_t toPrefill = prompt.tokens - start;
        const Load load = candidate->load();
        const Urgency urgency = urgencyOf(goal, speed.estimate(toPrefill));
        const uint64_t ahead = load.tokensAhead(urgency);
        double cost = static_cast<double>(ahead + toPrefill)
            + LessUrgentWeight * static_cast<double>(load.tokensToPrefill() - ahead)
            + FetchCostRatio * static_cast<double>(start - std::min(start, cached));
        // Away from their home engine, shared parts would be prefilled more than once.
        if (home && candidate != home && cached < shared)
            cost += static_cast<double>(shared - std::min(shared, start));
        cost += candidate->isConnected ? 0 : NewConnectionCostTokens;
        cost += candidate->record.zone == goal.zone ? 0 : OtherZoneCostTokens;
        const std::tuple<bool, double> rank(candidate->isAvoided(now), cost);
        if (best.engine && rank >= bestRank)
            continue;
        bestRank = rank;
        best = { candidate, fetches ? source.engine : nullptr, toPrefill, ahead, urgency };
    }
    const Milliseconds expected = speed.estimate(best.tokensAhead + best.tokensToPrefill);
    if (best.engine && expected / OptimisticTimeDivisor > goal.timeLeft) {
        best.urgency = LateUrgency;
        best.tokensAhead = best.engine->load().tokensToPrefill();
    }
    return best;
}

namespace {

    bool hasSeveralVersions(std::span<TargetState* const> engines)
    {
        return std::any_of(engines.begin(), engines.end(), [&engines](const TargetState* engine) {
            return engine->record.version != engines.front()->record.version;
        });
    }

    /** @return whether no other engine has the version of this one; those that fail do not count.
     */
    bool isOnlyOfVersion(
        const TargetState& engine, std::span<TargetState* const> engines, SteadyTime now)
    {
        return std::none_of(engines.begin(), engines.end(), [&](const TargetState* other) {
            return other != &engine && other->record.version == engine.record.version
                && !other->isAvoided(now);
        });
    }

} // namespace

TargetState* chooseDecodeEngine(std::span<TargetState* const> decodeEngines,
    const std::set<TargetId>& excluded, const DecodeGoal& goal, SteadyTime now)
{
    const bool avoidsOnlyOnes = goal.isResumable && hasSeveralVersions(decodeEngines);
    TargetState* best = nullptr;
    std::tuple<bool, uint64_t> bestRank;
    for (TargetState* decodeEngine : decodeEngines) {
        if (excluded.contains(decodeEngine->record.id))
            continue;
        const Load load = decodeEngine->load();
        uint64_t cost = load.usedCacheTokens + load.requests * TransferSetupTokens;
        if (decodeEngine->record.zone != goal.zone)
            cost += OtherZoneTransfers * (goal.promptTokens + TransferSetupTokens);
        if (avoidsOnlyOnes && isOnlyOfVersion(*decodeEngine, decodeEngines, now))
            cost += OnlyOfVersionRequests * TransferSetupTokens;
        const std::tuple<bool, uint64_t> rank(decodeEngine->isAvoided(now), cost);
        if (!best || rank < bestRank) {
            best = decodeEngine;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace citronspoke::dispatch

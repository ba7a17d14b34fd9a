#include "BalancedChoice.h"

#include <algorithm>
#include <bitset>

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

    TargetState* homeEngine(
        std::span<TargetState* const> candidates, std::string_view key, SteadyTime now)
    {
        TargetState* home = nullptr;
        std::pair<bool, uint64_t> best;
        const uint64_t keyHash = stableHash("/", stableHash(key));
        for (TargetState* candidate : candidates) {
            const std::pair<bool, uint64_t> rank(
                !candidate->isAvoided(now), stableHash(candidate->record.id.text(), keyHash));
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

    /** Finds what engines have cached; most have nothing, and a bit for each hash shows that. */
    class PrefixLookup {
    public:
        explicit PrefixLookup(const PrefixCacheIndex::CachedPrefixes& prefixes)
            : m_prefixes(prefixes)
        {
            for (const auto& [engine, prefix] : prefixes)
                m_bits.set(stableHash(engine) % Bits);
        }
        PrefixCacheIndex::CachedPrefix of(const TargetState& engine) const
        {
            if (!m_bits.test(engine.idHash % Bits))
                return {};
            const auto found = m_prefixes.find(engine.record.id.text());
            return found == m_prefixes.end() ? PrefixCacheIndex::CachedPrefix {} : found->second;
        }

    private:
        static constexpr size_t Bits = 4096;
        const PrefixCacheIndex::CachedPrefixes& m_prefixes;
        std::bitset<Bits> m_bits;
    };

    Source bestSource(
        std::span<TargetState* const> cachingEngines, const PrefixLookup& prefixes, SteadyTime now)
    {
        Source best;
        for (const TargetState* cachingEngine : cachingEngines) {
            const uint64_t ready = prefixes.of(*cachingEngine).readyTokens;
            if (ready > best.tokens && !cachingEngine->isAvoided(now))
                best = { cachingEngine, ready };
        }
        return best;
    }

} // namespace

std::optional<double> PrefillSpeed::measured(
    uint64_t tokens, uint64_t tokensAhead, Milliseconds took)
{
    // Short prompts measure the fixed cost of a step, and long queues the work for other prompts.
    constexpr uint64_t MinSampleTokens = 500;
    if (tokens < MinSampleTokens || tokensAhead > tokens || took <= Milliseconds(0))
        return std::nullopt;
    return static_cast<double>(tokens + tokensAhead) / static_cast<double>(took.count());
}

void PrefillSpeed::notePrefilled(uint64_t tokens, uint64_t tokensAhead, Milliseconds took)
{
    constexpr double SampleWeight = 0.1;
    const std::optional<double> sample = measured(tokens, tokensAhead, took);
    if (!sample)
        return;
    m_tokensPerMs
        = m_tokensPerMs == 0 ? *sample : m_tokensPerMs + SampleWeight * (*sample - m_tokensPerMs);
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
    /** Converts tokens to time until the first measurement; the choice hardly depends on it. */
    constexpr double AssumedTokensPerMs = 20;

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

    /** What one engine would do for a prompt. */
    struct Option {
        PromptPlacement placement;
        /** Tokens to prefill before and for the prompt, with those of less urgent prompts. */
        double tokens = 0;
        /** Other costs, in tokens. */
        double extraTokens = 0;
    };

    /** What does not differ between the candidates of one placement. */
    struct PlacementInput {
        const fleet::Prompt& prompt;
        const PromptGoal& goal;
        const PrefillSpeed& speed;
        const PrefixLookup& prefixes;
        const Source& source;
        const TargetState* home = nullptr;
        uint64_t sharedTokens = 0;
    };

    /** @param relativeSpeed of the candidate. */
    Option optionAt(TargetState& candidate, const PlacementInput& input, double relativeSpeed)
    {
        const uint64_t tokens = input.prompt.tokens;
        const uint64_t cached
            = std::min<uint64_t>(tokens, input.prefixes.of(candidate).expectedTokens);
        const bool fetches = input.source.engine && input.source.engine != &candidate
            && input.source.tokens > cached;
        const uint64_t start = fetches ? std::min<uint64_t>(tokens, input.source.tokens) : cached;
        const uint64_t toPrefill = tokens - start;
        const Milliseconds estimate = input.speed.estimate(toPrefill);
        const Urgency urgency = urgencyOf(input.goal,
            relativeSpeed == 1 ? estimate
                               : Milliseconds(static_cast<int64_t>(
                                   static_cast<double>(estimate.count()) / relativeSpeed)));
        const uint64_t ahead = candidate.tokensAhead[urgency];
        const uint64_t all = candidate.tokensAhead.back();
        Option option;
        option.placement
            = { &candidate, fetches ? input.source.engine : nullptr, toPrefill, ahead, urgency };
        option.tokens = static_cast<double>(ahead + toPrefill)
            + LessUrgentWeight * static_cast<double>(all - ahead);
        option.extraTokens = FetchCostRatio * static_cast<double>(start - std::min(start, cached));
        // Away from their home engine, shared parts would be prefilled more than once.
        if (input.home && &candidate != input.home && cached < input.sharedTokens)
            option.extraTokens
                += static_cast<double>(input.sharedTokens - std::min(input.sharedTokens, start));
        option.extraTokens += candidate.isConnected ? 0 : NewConnectionCostTokens;
        option.extraTokens += candidate.record.zone == input.goal.zone ? 0 : OtherZoneCostTokens;
        return option;
    }

    PromptPlacement placeAtBest(std::span<TargetState* const> candidates,
        const PlacementInput& input, const std::set<TargetId>& excluded, SteadyTime now)
    {
        PromptPlacement best;
        std::tuple<bool, double> bestRank;
        for (TargetState* candidate : candidates) {
            if (!excluded.empty() && excluded.contains(candidate->record.id))
                continue;
            const Option option = optionAt(*candidate, input, 1);
            const std::tuple<bool, double> rank(
                candidate->isAvoided(now), option.tokens + option.extraTokens);
            if (best.engine && rank >= bestRank)
                continue;
            bestRank = rank;
            best = option.placement;
        }
        return best;
    }

    double relativeSpeedOf(const TargetState& engine, double meanTokensPerMs)
    {
        // Wrong measurements must neither attract all prompts nor exclude an engine.
        constexpr double Slowest = 0.2;
        constexpr double Fastest = 4;
        const double estimate = engine.speeds.prefill.estimate(meanTokensPerMs);
        return meanTokensPerMs > 0 ? std::clamp(estimate / meanTokensPerMs, Slowest, Fastest) : 1;
    }

    PromptPlacement placeEvenly(std::span<TargetState* const> candidates,
        const PlacementInput& input, const std::set<TargetId>& excluded, SteadyTime now,
        const EvenLoad& even)
    {
        const double mean = input.speed.tokensPerMs();
        const double tokensPerMs = mean > 0 ? mean : AssumedTokensPerMs;
        // Parts that any engine can fetch cost no engine anything.
        const double usual = static_cast<double>(input.prompt.tokens)
            - static_cast<double>(std::min<uint64_t>(input.prompt.tokens, input.source.tokens));
        BalancedChoice choice(BalancedChoice::Resource::Queue, even, candidates.size(), now);
        for (size_t index = 0; index < candidates.size(); ++index) {
            TargetState& candidate = *candidates[index];
            if (!excluded.empty() && excluded.contains(candidate.record.id))
                continue;
            const double speed = relativeSpeedOf(candidate, mean);
            const Option option = optionAt(candidate, input, speed);
            const double own = static_cast<double>(option.placement.tokensToPrefill);
            const double work = static_cast<double>(candidate.tokensAhead.back());
            const double peersWork = static_cast<double>(candidate.peerTokens);
            choice.add(index, candidate.isAvoided(now),
                { (option.tokens - own + usual) / (tokensPerMs * speed),
                    (own - usual) / (tokensPerMs * speed) + option.extraTokens / tokensPerMs, speed,
                    0, work > 0 ? peersWork / work : 0 });
        }
        const std::optional<size_t> chosen = choice.choose();
        if (!chosen)
            return {};
        TargetState& engine = *candidates[*chosen];
        return optionAt(engine, input, relativeSpeedOf(engine, mean)).placement;
    }

} // namespace

double prefillWork(uint64_t tokens, const PrefillSpeed& speed)
{
    const double tokensPerMs = speed.tokensPerMs();
    return static_cast<double>(tokens) / (tokensPerMs > 0 ? tokensPerMs : AssumedTokensPerMs);
}

PromptPlacement placePrompt(std::span<TargetState* const> candidates,
    std::span<TargetState* const> cachingEngines, const fleet::Prompt& prompt,
    const PromptGoal& goal, const PrefixCacheIndex& cacheIndex, const PrefillSpeed& speed,
    const std::set<TargetId>& excluded, SteadyTime now, const EvenLoad* even)
{
    const PrefixCacheIndex::CachedPrefixes cachedPrefixes = cacheIndex.cachedPrefixes(prompt.parts);
    const PrefixLookup prefixes(cachedPrefixes);
    const Source source
        = cachedPrefixes.empty() ? Source {} : bestSource(cachingEngines, prefixes, now);
    const std::string_view key = sharedKey(prompt);
    const uint64_t shared = sharedTokens(prompt);
    // Only shared parts that no engine has cached need a home engine.
    const bool hasUncachedSharedParts = source.tokens < shared;
    const TargetState* home
        = hasUncachedSharedParts && !key.empty() ? homeEngine(candidates, key, now) : nullptr;
    const PlacementInput input { prompt, goal, speed, prefixes, source, home, shared };
    PromptPlacement best = even ? placeEvenly(candidates, input, excluded, now, *even)
                                : placeAtBest(candidates, input, excluded, now);
    if (!best.engine)
        return best;
    best.expected = speed.estimate(best.tokensAhead + best.tokensToPrefill);
    if (even)
        best.expected = Milliseconds(static_cast<int64_t>(static_cast<double>(best.expected.count())
            / relativeSpeedOf(*best.engine, speed.tokensPerMs())));
    if (best.expected / OptimisticTimeDivisor > goal.timeLeft) {
        best.urgency = LateUrgency;
        best.tokensAhead = best.engine->load().tokensToPrefill();
    }
    return best;
}

} // namespace citronspoke::dispatch

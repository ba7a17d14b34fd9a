#include "decisions/Decisions.h"

#include <algorithm>
#include <limits>

namespace citronspoke::decisions {

namespace {

    constexpr double MsPerSecond = 1000;
    /** A decode step of a full batch takes this share longer than one of an empty batch. */
    constexpr double FullBatchSlowdown = 0.3;
    constexpr Milliseconds ShortestRetryAfter { 200 };

    struct Backlog {
        double requests = 0;
        double prefillTokens = 0;
        double decodeTokens = 0;
    };

    // Trial requests are paused for paying ones, so only paying requests are ahead of a paying one.
    Backlog backlogAhead(const Candidate& candidate, WorkClass workClass)
    {
        Backlog ahead;
        ahead.requests = candidate.runningPaying + candidate.queuedPaying + candidate.sentPaying;
        if (workClass == WorkClass::Trial)
            ahead.requests += candidate.runningTrial + candidate.queuedTrial + candidate.sentTrial;
        ahead.prefillTokens
            = static_cast<double>(candidate.prefillBacklogTokens + candidate.sentPrefillTokens);
        ahead.decodeTokens
            = static_cast<double>(candidate.decodeBacklogTokens + candidate.sentDecodeTokens);
        return ahead;
    }

    double slotWaitMs(const Candidate& candidate, const Backlog& ahead)
    {
        const double slots = candidate.slots;
        if (ahead.requests < slots)
            return 0;
        const double meanTokens = ahead.decodeTokens / std::max(1.0, ahead.requests);
        const double waiting = ahead.requests - slots + 1;
        return waiting / slots * meanTokens * candidate.decodeStepMs;
    }

    double loadOf(const Candidate& candidate) { return static_cast<double>(candidate.outstanding); }

    RoutingDecision choose(EstimatedFinish& policy, std::span<const Candidate> candidates,
        const RequestProfile& profile)
    {
        RouteTo best { 0, std::numeric_limits<double>::max() };
        const size_t first = policy.next++;
        for (size_t step = 0; step < candidates.size(); ++step) {
            const size_t index = (first + step) % candidates.size();
            const double finish = estimateFinish(policy, candidates[index], profile);
            if (finish < best.estimatedFinishMs)
                best = { index, finish };
        }
        const double timeLeft = static_cast<double>(profile.timeLeft.count());
        if (best.estimatedFinishMs <= timeLeft)
            return best;
        Candidate idle = candidates[best.candidate];
        idle.slots = std::max(1U, idle.slots);
        idle.runningPaying = idle.queuedPaying = idle.sentPaying = 0;
        idle.runningTrial = idle.queuedTrial = idle.sentTrial = 0;
        idle.prefillBacklogTokens = idle.sentPrefillTokens = 0;
        idle.decodeBacklogTokens = idle.sentDecodeTokens = 0;
        if (estimateFinish(policy, idle, profile) > timeLeft)
            return Refuse { RefusalReason::DeadlineTooShort, Milliseconds(0) };
        const Milliseconds excess(static_cast<int64_t>(best.estimatedFinishMs - timeLeft));
        return Refuse { RefusalReason::NoCapacity, std::max(ShortestRetryAfter, excess) };
    }

    RoutingDecision choose(
        RoundRobin& policy, std::span<const Candidate> candidates, const RequestProfile&)
    {
        return RouteTo { policy.next++ % candidates.size(), 0 };
    }

    RoutingDecision choose(
        LeastOutstanding& policy, std::span<const Candidate> candidates, const RequestProfile&)
    {
        // Each call starts at the next target, or all entries would break ties in favour of the
        // first.
        const size_t offset = policy.next++;
        size_t best = offset % candidates.size();
        for (size_t step = 1; step < candidates.size(); ++step) {
            const size_t index = (offset + step) % candidates.size();
            if (loadOf(candidates[index]) < loadOf(candidates[best]))
                best = index;
        }
        return RouteTo { best, 0 };
    }

    size_t drawIndex(uint64_t& state, size_t bound)
    {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        return state % bound;
    }

    RoutingDecision choose(
        TwoChoices& policy, std::span<const Candidate> candidates, const RequestProfile&)
    {
        const size_t first = drawIndex(policy.randomState, candidates.size());
        const size_t second = drawIndex(policy.randomState, candidates.size());
        const bool isFirstLighter = loadOf(candidates[first]) <= loadOf(candidates[second]);
        return RouteTo { isFirstLighter ? first : second, 0 };
    }

} // namespace

double estimateFinish(
    const EstimatedFinish& policy, const Candidate& candidate, const RequestProfile& profile)
{
    const Backlog ahead = backlogAhead(candidate, profile.workClass);
    const double cachedTokensSaved
        = std::min(candidate.cachedPromptTokens, profile.promptTokens) * policy.prefixSaving;
    const double promptTokens = ahead.prefillTokens + profile.promptTokens - cachedTokensSaved;
    const double prefillMs
        = promptTokens / std::max(1.0, candidate.prefillTokensPerSecond) * MsPerSecond;
    const double fullness = std::min(1.0, ahead.requests / std::max(1U, candidate.slots));
    const double stepMs = candidate.decodeStepMs * (1 + FullBatchSlowdown * fullness);
    const double decodeMs = profile.outputTokens * stepMs;
    const double zoneMs
        = candidate.isInOtherZone ? static_cast<double>(policy.otherZoneCost.count()) : 0;
    return slotWaitMs(candidate, ahead) + prefillMs + decodeMs + zoneMs;
}

uint64_t journalRank(const IdempotencyKey& key, uint32_t shards, const TargetId& target)
{
    const uint64_t shard = stableHash(key.text()) % shards;
    return stableHash(std::to_string(shard) + "/" + target.text());
}

uint64_t suspectRank(uint64_t fingerprint, const TargetId& target)
{
    return stableHash(std::to_string(fingerprint) + "/" + target.text());
}

RoutingDecision chooseTarget(
    RoutingPolicy& policy, std::span<const Candidate> candidates, const RequestProfile& profile)
{
    if (candidates.empty())
        return Refuse { RefusalReason::NoTarget, ShortestRetryAfter };
    return std::visit(
        [&](auto& kind) -> RoutingDecision { return choose(kind, candidates, profile); }, policy);
}

} // namespace citronspoke::decisions

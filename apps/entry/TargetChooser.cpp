#include "TargetChooser.h"

#include <algorithm>

namespace citronspoke::entry {

namespace {

    constexpr Milliseconds NoTargetRetryDelay { 100 };
    constexpr Milliseconds NoOwnerRetryDelay { 300 };

    decisions::RoutingPolicy policyOf(const settings::RoutingSettings& routing)
    {
        switch (routing.kind) {
        case settings::RoutingKind::RoundRobin:
            return decisions::RoundRobin {};
        case settings::RoutingKind::LeastOutstanding:
            return decisions::LeastOutstanding {};
        case settings::RoutingKind::TwoChoices:
            return decisions::TwoChoices {};
        case settings::RoutingKind::EstimatedFinish:
            break;
        }
        return decisions::EstimatedFinish { routing.otherZoneCost, routing.prefixSaving, 0 };
    }

    decisions::RequestProfile profileOf(const Request& request)
    {
        const protocol::Submit& submit = request.caller.submit;
        const uint32_t generatedTokens = request.answer.nextOffset();
        decisions::RequestProfile profile;
        profile.workClass = submit.workClass;
        profile.promptTokens = submit.promptTokens + generatedTokens;
        profile.outputTokens = submit.outputTokens - std::min(submit.outputTokens, generatedTokens);
        profile.timeLeft = Milliseconds(submit.deadline.value() - unixNow().value());
        return profile;
    }

} // namespace

TargetChooser::TargetChooser(TargetTable& targets, const decisions::CrashHistory& crashHistory)
    : m_targets(targets)
    , m_crashHistory(crashHistory)
{
}

void TargetChooser::configure(const settings::RoutingSettings& routing)
{
    m_policy = policyOf(routing);
}

void TargetChooser::noteSent(const Request& request)
{
    m_targets.noteSent(request.target, request.caller.submit);
    m_prefixCacheIndex.recordTarget(request.caller.prefixHashes, request.target);
    m_inFlightCopies.add(request.caller.submit.fingerprint, request.id(), request.target);
}

void TargetChooser::noteEnded(const Request& request)
{
    m_inFlightCopies.remove(request.caller.submit.fingerprint, request.id());
}

Choice TargetChooser::choose(const Request& request)
{
    if (!request.isIdempotent())
        return chooseForNonIdempotentCall(request);
    const uint64_t fingerprint = request.caller.submit.fingerprint;
    const decisions::Suspicion suspicion = m_crashHistory.suspicion(fingerprint, unixNow());
    if (suspicion == decisions::Suspicion::Quarantined)
        return decisions::Refuse { RefusalReason::Quarantined, Milliseconds(0) };
    const bool isSuspect = suspicion == decisions::Suspicion::Suspect;
    const std::optional<TargetId> pinnedTarget = isSuspect
        ? highestRanked(request,
            [fingerprint](const TargetId& id) { return decisions::suspectRank(fingerprint, id); })
        : targetOfInFlightCopy(request);
    if (pinnedTarget)
        return SendTo { *pinnedTarget };
    return chooseByPolicy(request);
}

// A call that may not be repeated goes to the target whose agent most likely owns the journal shard
// of the key, so that repeats of the call reach the same agent.
Choice TargetChooser::chooseForNonIdempotentCall(const Request& request) const
{
    if (request.preferredTarget) {
        const TargetView* preferred = m_targets.find(*request.preferredTarget);
        if (preferred && preferred->isEligible())
            return SendTo { *request.preferredTarget };
    }
    const settings::Pool& pool = request.caller.deployment->pools.at(request.caller.pool);
    const std::optional<TargetId> target = highestRanked(request, [&](const TargetId& id) {
        return decisions::journalRank(request.caller.submit.key, pool.journalShards, id);
    });
    if (target)
        return SendTo { *target };
    return ChooseLater { NoOwnerRetryDelay };
}

std::optional<TargetId> TargetChooser::highestRanked(const Request& request, const Rank& rank) const
{
    std::optional<TargetId> best;
    uint64_t bestRank = 0;
    for (const auto& [id, view] : m_targets.targets()) {
        const bool isExcluded = request.excludedTargets.contains(id);
        if (view.settings.pool != request.caller.pool || !view.isEligible() || isExcluded)
            continue;
        const uint64_t targetRank = rank(id);
        if (!best || targetRank > bestRank) {
            best = id;
            bestRank = targetRank;
        }
    }
    return best;
}

// Copies of a request that are in flight at the same time go to the same target: if the request
// crashes targets, only one is lost. When the target has no free slot, this no longer applies.
std::optional<TargetId> TargetChooser::targetOfInFlightCopy(const Request& request) const
{
    const InFlightCopies::Copies* copies = m_inFlightCopies.find(request.caller.submit.fingerprint);
    if (!copies)
        return std::nullopt;
    for (const auto& [id, target] : *copies) {
        const TargetView* view = m_targets.find(target);
        const bool isUsable = view && view->isEligible()
            && !request.excludedTargets.contains(target)
            && view->outstanding < view->heartbeat->load.slots;
        if (id != request.id() && isUsable)
            return target;
    }
    return std::nullopt;
}

Choice TargetChooser::chooseByPolicy(const Request& request)
{
    const PrefixCacheIndex::CachedPrefix cachedPrefix
        = m_prefixCacheIndex.longestCachedPrefix(request.caller.prefixHashes);
    const std::span<const decisions::Candidate> candidates = m_targets.candidates(
        request.caller.pool, request.excludedTargets, cachedPrefix.target, cachedPrefix.tokens);
    if (candidates.empty())
        return ChooseLater { NoTargetRetryDelay };
    const decisions::RequestProfile profile = profileOf(request);
    decisions::RoutingDecision decision = decisions::chooseTarget(m_policy, candidates, profile);
    // A request that was attempted before is not refused because it may be late.
    const bool wasAttempted = request.attemptsMade > 0;
    if (wasAttempted && std::holds_alternative<decisions::Refuse>(decision)) {
        decisions::RoutingPolicy fallback = decisions::LeastOutstanding {};
        decision = decisions::chooseTarget(fallback, candidates, profile);
    }
    if (const auto* refuse = std::get_if<decisions::Refuse>(&decision))
        return *refuse;
    return SendTo { candidates[std::get<decisions::RouteTo>(decision).candidate].target };
}

} // namespace citronspoke::entry

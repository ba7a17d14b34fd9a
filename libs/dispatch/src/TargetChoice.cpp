#include "BalancedChoice.h"

#include <algorithm>

namespace citronspoke::dispatch {

namespace {

    /** An engine's transfers run one after another; the fixed part of each takes as long as the
     * transfer of so many tokens. */
    constexpr uint64_t TransferSetupTokens = 12500;
    /** A transfer between zones takes twice as long, which also delays those behind it. */
    constexpr uint64_t OtherZoneTransfers = 2;
    /** A stream whose engine is lost ends when no other one has its version: other engines get it
     * until they have about so many requests more. */
    constexpr uint64_t OnlyOfVersionRequests = 16;
    /** Part of a target's slots that may be used more before a request leaves its zone. */
    constexpr double OtherZoneFullness = 0.05;

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

    /** @return relative to the pool's mean. */
    double decodeSpeed(const TargetState& engine, double meanStepMs)
    {
        constexpr double Slowest = 0.2;
        constexpr double Fastest = 4;
        const double step = engine.speeds.decodeStep.estimate(meanStepMs);
        return meanStepMs > 0 && step > 0 ? std::clamp(meanStepMs / step, Slowest, Fastest) : 1;
    }

    TargetState* chooseEvenly(std::span<TargetState* const> candidates,
        const std::set<TargetId>& excluded, const ZoneId& ownZone, SteadyTime now,
        const EvenLoad& even)
    {
        BalancedChoice choice(BalancedChoice::Resource::Slots, even, candidates.size(), now);
        for (size_t index = 0; index < candidates.size(); ++index) {
            const TargetState& state = *candidates[index];
            if (excluded.contains(state.record.id))
                continue;
            const double slots = state.record.slots;
            const double requests = state.ownLoad.requests + state.peerLoadSum.requests;
            choice.add(index, state.isAvoided(now),
                { (requests + 1) / slots, state.record.zone == ownZone ? 0 : OtherZoneFullness,
                    slots });
        }
        const std::optional<size_t> chosen = choice.choose();
        return chosen ? candidates[*chosen] : nullptr;
    }

} // namespace

TargetState* chooseTarget(std::span<TargetState* const> candidates,
    const std::set<TargetId>& excluded, const ZoneId& ownZone, double draw, SteadyTime now,
    const EvenLoad* even)
{
    if (even)
        return chooseEvenly(candidates, excluded, ownZone, now, *even);
    TargetState* best = nullptr;
    std::tuple<bool, double, bool> bestRank;
    const size_t first = static_cast<size_t>(draw * static_cast<double>(candidates.size()));
    for (size_t step = 0; step < candidates.size(); ++step) {
        TargetState* state = candidates[(first + step) % candidates.size()];
        if (excluded.contains(state->record.id))
            continue;
        const double fullness = static_cast<double>(state->load().requests) / state->record.slots;
        const std::tuple<bool, double, bool> rank(
            state->isAvoided(now), fullness, state->record.zone != ownZone);
        if (!best || rank < bestRank) {
            best = state;
            bestRank = rank;
        }
    }
    return best;
}

double decodeWork(uint64_t cacheTokens)
{
    return static_cast<double>(cacheTokens + TransferSetupTokens);
}

TargetState* chooseDecodeEngine(std::span<TargetState* const> decodeEngines,
    const std::set<TargetId>& excluded, const DecodeGoal& goal, SteadyTime now,
    const EvenLoad* even)
{
    const bool avoidsOnlyOnes = goal.isResumable && hasSeveralVersions(decodeEngines);
    std::optional<BalancedChoice> choice;
    if (even)
        choice.emplace(BalancedChoice::Resource::Slots, *even, decodeEngines.size(), now);
    TargetState* best = nullptr;
    std::tuple<bool, uint64_t> bestRank;
    for (size_t index = 0; index < decodeEngines.size(); ++index) {
        TargetState* decodeEngine = decodeEngines[index];
        if (excluded.contains(decodeEngine->record.id))
            continue;
        const uint64_t usedTokens
            = decodeEngine->ownLoad.usedCacheTokens + decodeEngine->peerLoadSum.usedCacheTokens;
        const uint64_t requests
            = decodeEngine->ownLoad.requests + decodeEngine->peerLoadSum.requests;
        const uint64_t work = usedTokens + requests * TransferSetupTokens;
        uint64_t extra = 0;
        if (decodeEngine->record.zone != goal.zone)
            extra += OtherZoneTransfers * (goal.promptTokens + TransferSetupTokens);
        if (avoidsOnlyOnes && isOnlyOfVersion(*decodeEngine, decodeEngines, now))
            extra += OnlyOfVersionRequests * TransferSetupTokens;
        if (choice) {
            const double speed = decodeSpeed(*decodeEngine, even->decodeStepMs);
            choice->add(index, decodeEngine->isAvoided(now),
                { static_cast<double>(work) / speed, static_cast<double>(extra), speed });
            continue;
        }
        const std::tuple<bool, uint64_t> rank(decodeEngine->isAvoided(now), work + extra);
        if (!best || rank < bestRank) {
            best = decodeEngine;
            bestRank = rank;
        }
    }
    const std::optional<size_t> chosen = choice ? choice->choose() : std::nullopt;
    return chosen ? decodeEngines[*chosen] : best;
}

} // namespace citronspoke::dispatch

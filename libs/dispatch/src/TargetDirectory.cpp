#include "dispatch/Dispatch.h"

#include <algorithm>
#include <numeric>

namespace citronspoke::dispatch {

namespace {

    constexpr Milliseconds FirstAvoidance { 250 };
    constexpr Milliseconds LongestAvoidance { 4000 };
    /** The entry of a target that is gone lapses after three heartbeats. */
    constexpr Milliseconds OldEntryLifetime { 5000 };
    /** A single failure can be the request's own; a second one in a row is the target's. */
    constexpr uint32_t ToleratedFailures = 1;

    Milliseconds avoidanceAfter(uint32_t failuresInRow)
    {
        const uint32_t doublings = std::min(failuresInRow, 8U);
        return std::min(LongestAvoidance, FirstAvoidance * (1 << doublings));
    }

} // namespace

Load& Load::operator+=(const Load& other)
{
    requests += other.requests;
    for (size_t level = 0; level < UrgencyLevels; ++level)
        promptTokens[level] += other.promptTokens[level];
    cacheTokens += other.cacheTokens;
    return *this;
}

Load& Load::operator-=(const Load& other)
{
    requests -= std::min(requests, other.requests);
    for (size_t level = 0; level < UrgencyLevels; ++level)
        promptTokens[level] -= std::min(promptTokens[level], other.promptTokens[level]);
    cacheTokens -= std::min(cacheTokens, other.cacheTokens);
    return *this;
}

uint64_t Load::tokensAhead(Urgency urgency) const
{
    return std::accumulate(
        promptTokens.begin(), promptTokens.begin() + urgency + 1, uint64_t { 0 });
}

Load TargetState::load() const
{
    Load sum = own;
    sum += peersTogether;
    return sum;
}

bool TargetDirectory::put(const fleet::TargetEntry& entry)
{
    TargetState& state = m_targets[entry.id];
    const bool isSameLife = state.entry.id == entry.id && state.entry.startedAt == entry.startedAt
        && state.entry.address == entry.address;
    if (!isSameLife)
        state = TargetState {};
    if (state.entry != entry)
        state.replacedUntil = {};
    state.entry = entry;
    state.mayReturnUntil.reset();
    settleAddress(state);
    return !isSameLife;
}

// An address has one target at a time: of two entries the one that came later is alive.
void TargetDirectory::settleAddress(const TargetState& newcomer)
{
    const fleet::Registration registration = newcomer.entry.registration;
    for (auto& [id, state] : m_targets) {
        if (state.entry.address == newcomer.entry.address
            && state.entry.registration < registration)
            state.replacedUntil = SteadyTime::max();
    }
}

void TargetDirectory::notePeerMetAnother(const TargetId& id, SteadyTime now)
{
    if (TargetState* state = find(id))
        state->replacedUntil = std::max(state->replacedUntil, now + OldEntryLifetime);
}

void TargetDirectory::remove(const TargetId& id, SteadyTime mayReturnUntil, SteadyTime now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    if (mayReturnUntil <= now)
        m_targets.erase(found);
    else
        found->second.mayReturnUntil = mayReturnUntil;
}

void TargetDirectory::replaceAll(
    std::span<const fleet::TargetEntry> entries, SteadyTime mayReturnUntil, SteadyTime now)
{
    std::set<TargetId> present;
    for (const fleet::TargetEntry& entry : entries) {
        present.insert(entry.id);
        put(entry);
    }
    std::vector<TargetId> missing;
    for (const auto& [id, state] : m_targets) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const TargetId& id : missing)
        remove(id, mayReturnUntil, now);
}

void TargetDirectory::expire(SteadyTime now)
{
    std::erase_if(m_targets, [now](const auto& item) {
        const TargetState& state = item.second;
        return state.mayReturnUntil && now >= *state.mayReturnUntil;
    });
    // Many times a second nothing has changed; a silence is noticed a little later.
    constexpr Milliseconds CheckInterval { 100 };
    if (now - m_silenceCheckedAt >= CheckInterval || now < m_silenceCheckedAt)
        forgetSilentPeers(now);
}

void TargetDirectory::forgetSilentPeers(SteadyTime now)
{
    m_silenceCheckedAt = now;
    for (auto& [id, state] : m_targets) {
        Load& together = state.peersTogether;
        std::erase_if(state.peers, [now, &together](const auto& item) {
            const bool isSilent = now - item.second.heardAt >= PeerSilence;
            if (isSilent)
                together -= item.second.load;
            return isSilent;
        });
    }
}

void TargetDirectory::notePeerLoad(
    const TargetId& id, const EntryId& peer, const Load& load, SteadyTime now)
{
    TargetState* state = find(id);
    if (!state)
        return;
    const auto before = state->peers.find(peer);
    if (before != state->peers.end())
        state->peersTogether -= before->second.load;
    state->peersTogether += load;
    if (load == Load {})
        state->peers.erase(peer);
    else
        state->peers[peer] = { load, now };
}

std::vector<TargetState*> TargetDirectory::usable(const PoolId& pool, SteadyTime now)
{
    std::vector<TargetState*> states = present(pool, now);
    std::erase_if(states, [now](const TargetState* state) {
        return state->entry.isLeaving || state->replacedUntil > now;
    });
    return states;
}

std::vector<TargetState*> TargetDirectory::present(const PoolId& pool, SteadyTime now)
{
    expire(now);
    std::vector<TargetState*> states;
    for (auto& [id, state] : m_targets) {
        if (state.entry.pool == pool)
            states.push_back(&state);
    }
    return states;
}

TargetState* TargetDirectory::find(const TargetId& id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

void TargetDirectory::noteStarted(const TargetId& id, const Load& load)
{
    if (TargetState* state = find(id))
        state->own += load;
}

void TargetDirectory::noteFinished(const TargetId& id, const Load& load)
{
    if (TargetState* state = find(id))
        state->own -= load;
}

void TargetDirectory::noteResult(const TargetId& id, AttemptResult result, SteadyTime now)
{
    TargetState* state = find(id);
    if (!state)
        return;
    switch (result) {
    case AttemptResult::Served:
        state->failuresInRow = 0;
        state->refusalsInRow = 0;
        state->avoidUntil = {};
        return;
    case AttemptResult::Refused:
        // A full target is left alone for a moment, one that refuses all for longer.
        state->refusalsInRow += 1;
        state->avoidUntil = now + avoidanceAfter(state->refusalsInRow - 1);
        return;
    case AttemptResult::Replaced:
        state->replacedUntil = std::max(state->replacedUntil, now + OldEntryLifetime);
        return;
    case AttemptResult::Failed:
        state->failuresInRow += 1;
        if (state->failuresInRow > ToleratedFailures)
            state->avoidUntil = now + avoidanceAfter(state->failuresInRow);
        return;
    case AttemptResult::Unreachable:
        state->failuresInRow += 1;
        state->avoidUntil = now + avoidanceAfter(state->failuresInRow);
        return;
    }
}

TargetState* chooseTarget(std::span<TargetState* const> candidates, const std::set<TargetId>& tried,
    const ZoneId& ownZone, double draw, SteadyTime now)
{
    TargetState* best = nullptr;
    std::tuple<bool, double, bool> bestRank;
    const size_t first = static_cast<size_t>(draw * static_cast<double>(candidates.size()));
    for (size_t step = 0; step < candidates.size(); ++step) {
        TargetState* state = candidates[(first + step) % candidates.size()];
        if (tried.contains(state->entry.id))
            continue;
        const double fullness = static_cast<double>(state->load().requests) / state->entry.slots;
        const std::tuple<bool, double, bool> rank(
            state->avoidUntil > now, fullness, state->entry.zone != ownZone);
        if (!best || rank < bestRank) {
            best = state;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace citronspoke::dispatch

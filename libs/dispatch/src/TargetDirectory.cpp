#include "dispatch/Dispatch.h"

#include <algorithm>
#include <numeric>

namespace citronspoke::dispatch {

namespace {

    constexpr Milliseconds FirstAvoidance { 250 };
    constexpr Milliseconds LongestAvoidance { 4000 };
    /** How long a stale record excludes its target; the record of a target that is gone expires
     * after three heartbeats. */
    constexpr Milliseconds StaleRecordLifetime { 5000 };
    /** A single failure may be caused by the request; consecutive ones point to the target. */
    constexpr uint32_t ToleratedFailures = 1;
    constexpr uint32_t FailuresOfLostTarget = 3;
    /** Entries that cannot reach a target within this time of each other point to its loss. */
    constexpr Milliseconds PeerFailureLifetime { 2000 };
    constexpr size_t EntriesOfLostTarget = 2;
    /** Longer than targets take to leave, and than the store is away. */
    constexpr std::chrono::minutes DepartureLifetime { 10 };
    /** A target that got no request for this time may be back. */
    constexpr Milliseconds SuspicionLifetime { 6000 };

    Milliseconds avoidanceAfter(uint32_t consecutiveFailures)
    {
        const uint32_t doublings = std::min(consecutiveFailures, 8U);
        return std::min(LongestAvoidance, FirstAvoidance * (1 << doublings));
    }

} // namespace

Load& Load::operator+=(const Load& other)
{
    requests += other.requests;
    for (size_t level = 0; level < UrgencyLevels; ++level)
        promptTokens[level] += other.promptTokens[level];
    usedCacheTokens += other.usedCacheTokens;
    return *this;
}

Load& Load::operator-=(const Load& other)
{
    requests -= std::min(requests, other.requests);
    for (size_t level = 0; level < UrgencyLevels; ++level)
        promptTokens[level] -= std::min(promptTokens[level], other.promptTokens[level]);
    usedCacheTokens -= std::min(usedCacheTokens, other.usedCacheTokens);
    return *this;
}

uint64_t Load::tokensAhead(Urgency urgency) const
{
    return std::accumulate(
        promptTokens.begin(), promptTokens.begin() + urgency + 1, uint64_t { 0 });
}

Load TargetState::load() const
{
    Load sum = ownLoad;
    sum += peerLoadSum;
    return sum;
}

void TargetState::updateTokens()
{
    uint64_t sum = 0;
    for (size_t level = 0; level < UrgencyLevels; ++level) {
        sum += ownLoad.promptTokens[level] + peerLoadSum.promptTokens[level];
        tokensAhead[level] = sum;
    }
    peerTokens = peerLoadSum.tokensToPrefill();
}

bool TargetState::isSuspectedLost(SteadyTime now) const
{
    const auto isRecent
        = [now](const auto& failure) { return now - failure.second <= PeerFailureLifetime; };
    const size_t peers
        = static_cast<size_t>(std::count_if(peerFailures.begin(), peerFailures.end(), isRecent));
    const bool hasFailedHere
        = consecutiveUnreachable > 0 && now - lastUnreachable <= PeerFailureLifetime;
    if (peers + (hasFailedHere ? 1 : 0) >= EntriesOfLostTarget)
        return true;
    return consecutiveUnreachable >= FailuresOfLostTarget
        && now - lastUnreachable <= SuspicionLifetime && avoidUntil > now;
}

bool TargetDirectory::put(const fleet::TargetRecord& registered)
{
    fleet::TargetRecord record = registered;
    const auto departure = m_departures.find(record.id);
    if (departure != m_departures.end() && departure->second.startedAt == record.startedAt)
        record.isLeaving = true;
    m_unconfirmed.erase(record.id);
    m_removed.erase(record.id);
    TargetState& state = m_targets[record.id];
    const bool isSameIncarnation = state.record.id == record.id
        && state.record.startedAt == record.startedAt && state.record.address == record.address;
    const bool changesPool = !isSameIncarnation || state.record.pool != record.pool;
    if (changesPool)
        removeFromPool(state);
    if (!isSameIncarnation)
        state = TargetState {};
    state.idHash = stableHash(record.id.text());
    // A heartbeat does not show that a stale record is right.
    state.record.sequence = record.sequence;
    if (state.record != record)
        state.excludedUntil = {};
    state.record = record;
    if (changesPool)
        addToPool(state);
    state.mayReturnUntil.reset();
    excludeReplacedTargets(state);
    return !isSameIncarnation;
}

void TargetDirectory::addToPool(TargetState& state)
{
    std::vector<TargetState*>& members = m_poolMembers[state.record.pool];
    const auto position = std::lower_bound(members.begin(), members.end(), state.record.id,
        [](const TargetState* member, const TargetId& id) { return member->record.id < id; });
    members.insert(position, &state);
}

void TargetDirectory::removeFromPool(const TargetState& state)
{
    const auto found = m_poolMembers.find(state.record.pool);
    if (found == m_poolMembers.end())
        return;
    std::erase(found->second, &state);
    if (found->second.empty())
        m_poolMembers.erase(found);
}

// An address has one target at a time: of two records, the one registered later is running.
void TargetDirectory::excludeReplacedTargets(const TargetState& registered)
{
    const fleet::Registration registration = registered.record.registration;
    for (auto& [id, state] : m_targets) {
        if (state.record.address == registered.record.address
            && state.record.registration < registration)
            state.excludedUntil = SteadyTime::max();
    }
}

void TargetDirectory::notePeerReportedReplaced(const TargetId& id, SteadyTime now)
{
    if (TargetState* state = find(id))
        state->excludedUntil = std::max(state->excludedUntil, now + StaleRecordLifetime);
}

void TargetDirectory::notePeerFailure(const TargetId& id, const EntryId& peer, SteadyTime now)
{
    if (TargetState* state = find(id))
        state->peerFailures[peer] = now;
}

void TargetDirectory::remove(const TargetId& id, SteadyTime mayReturnUntil, SteadyTime now)
{
    m_unconfirmed.erase(id);
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    if (mayReturnUntil <= now)
        drop(found, now);
    else
        found->second.mayReturnUntil = mayReturnUntil;
    m_nextReturnEnd = std::min(m_nextReturnEnd, mayReturnUntil);
}

void TargetDirectory::drop(std::map<TargetId, TargetState>::iterator target, SteadyTime now)
{
    m_removed[target->first] = { target->second.record, now };
    removeFromPool(target->second);
    m_targets.erase(target);
}

void TargetDirectory::dropMissing(SteadyTime now)
{
    m_nextReturnEnd = SteadyTime::max();
    for (auto target = m_targets.begin(); target != m_targets.end();) {
        const auto current = target++;
        const std::optional<SteadyTime> end = current->second.mayReturnUntil;
        if (current->second.isGone(now))
            drop(current, now);
        else if (end)
            m_nextReturnEnd = std::min(m_nextReturnEnd, *end);
    }
}

void TargetDirectory::expire(SteadyTime now)
{
    if (now >= m_nextReturnEnd)
        dropMissing(now);
    acceptUnconfirmed(now);
    // expire() may be called many times a second; stale loads may be detected a little later.
    constexpr Milliseconds CheckInterval { 100 };
    if (now - m_staleLoadsCheckedAt >= CheckInterval || now < m_staleLoadsCheckedAt) {
        dropStalePeerLoads(now);
        dropOldDepartures(now);
        dropOldRemovals(now);
        m_reportAges.expire(now, PeerReportTimeout);
    }
}

bool TargetDirectory::noteLeaving(const fleet::Incarnation& incarnation, SteadyTime now)
{
    const auto known = m_departures.find(incarnation.target);
    if (known != m_departures.end() && known->second.startedAt == incarnation.startedAt)
        return false;
    TargetState* state = find(incarnation.target);
    // A late response of an earlier incarnation.
    if (state && state->record.startedAt != incarnation.startedAt)
        return false;
    m_departures[incarnation.target] = { incarnation.startedAt, now };
    if (state)
        state->record.isLeaving = true;
    return true;
}

std::vector<fleet::Incarnation> TargetDirectory::departures() const
{
    std::vector<fleet::Incarnation> incarnations;
    for (const auto& [target, departure] : m_departures) {
        const auto registered = m_targets.find(target);
        if (registered != m_targets.end()
            && registered->second.record.startedAt == departure.startedAt)
            incarnations.push_back({ target, departure.startedAt });
    }
    return incarnations;
}

void TargetDirectory::dropOldDepartures(SteadyTime now)
{
    for (auto& [target, departure] : m_departures) {
        if (m_targets.contains(target))
            departure.lastRegistered = now;
    }
    std::erase_if(m_departures,
        [now](const auto& item) { return now - item.second.lastRegistered > DepartureLifetime; });
}

void TargetDirectory::dropStalePeerLoads(SteadyTime now)
{
    m_staleLoadsCheckedAt = now;
    for (auto& [id, state] : m_targets) {
        Load& total = state.peerLoadSum;
        std::erase_if(state.peerLoads, [now, &total](const auto& item) {
            const bool isStale = now - item.second.receivedAt >= PeerReportTimeout;
            if (isStale)
                total -= item.second.load;
            return isStale;
        });
        state.updateTokens();
    }
}

void TargetDirectory::notePeerLoad(
    const TargetId& id, const EntryId& peer, const Load& load, SteadyTime now)
{
    TargetState* state = find(id);
    if (!state)
        return;
    const auto before = state->peerLoads.find(peer);
    if (before != state->peerLoads.end())
        state->peerLoadSum -= before->second.load;
    state->peerLoadSum += load;
    state->updateTokens();
    if (load == Load {})
        state->peerLoads.erase(peer);
    else
        state->peerLoads[peer] = { load, now };
}

void TargetDirectory::notePeerUpdate(const EntryId& peer, uint64_t sequenceNumber, SteadyTime now)
{
    m_reportAges.note(peer, sequenceNumber, now);
}

std::vector<TargetState*> TargetDirectory::usable(const PoolId& pool, SteadyTime now) const
{
    std::vector<TargetState*> states = allInPool(pool, now);
    std::erase_if(states, [now](const TargetState* state) {
        return state->record.isLeaving || state->excludedUntil > now;
    });
    return states;
}

std::vector<TargetState*> TargetDirectory::allInPool(const PoolId& pool, SteadyTime now) const
{
    const auto members = m_poolMembers.find(pool);
    if (members == m_poolMembers.end())
        return {};
    std::vector<TargetState*> states = members->second;
    // expire() drops them later.
    if (now >= m_nextReturnEnd)
        std::erase_if(states, [now](const TargetState* state) { return state->isGone(now); });
    return states;
}

TargetState* TargetDirectory::find(const TargetId& id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

void TargetDirectory::noteStarted(const TargetId& id, const Load& load)
{
    TargetState* state = find(id);
    if (!state)
        return;
    state->ownLoad += load;
    state->updateTokens();
}

void TargetDirectory::noteFinished(const TargetId& id, const Load& load)
{
    TargetState* state = find(id);
    if (!state)
        return;
    state->ownLoad -= load;
    state->updateTokens();
}

void TargetDirectory::noteResult(const TargetId& id, AttemptResult result, SteadyTime now)
{
    TargetState* state = find(id);
    if (!state)
        return;
    switch (result) {
    case AttemptResult::Served:
        state->consecutiveFailures = 0;
        state->consecutiveRefusals = 0;
        state->consecutiveUnreachable = 0;
        state->peerFailures.clear();
        state->avoidUntil = {};
        return;
    case AttemptResult::Refused:
        // A full target is avoided for a moment, one that keeps refusing for longer.
        state->consecutiveRefusals += 1;
        state->consecutiveUnreachable = 0;
        state->avoidUntil = now + avoidanceAfter(state->consecutiveRefusals - 1);
        return;
    case AttemptResult::Paused:
        state->consecutiveRefusals = 0;
        state->consecutiveUnreachable = 0;
        return;
    case AttemptResult::Replaced:
        state->excludedUntil = std::max(state->excludedUntil, now + StaleRecordLifetime);
        return;
    case AttemptResult::Failed:
        state->consecutiveFailures += 1;
        if (state->consecutiveFailures > ToleratedFailures)
            state->avoidUntil = now + avoidanceAfter(state->consecutiveFailures);
        return;
    case AttemptResult::Unreachable:
        state->consecutiveFailures += 1;
        state->consecutiveUnreachable += 1;
        state->lastUnreachable = now;
        state->avoidUntil = now + avoidanceAfter(state->consecutiveFailures);
        return;
    }
}

} // namespace citronspoke::dispatch

#include "TargetTable.h"

#include <algorithm>

namespace citronspoke::entry {

namespace {

    /** Agents send two heartbeats a second, so three in a row may be lost. */
    constexpr Milliseconds HeartbeatTimeout { 1800 };

} // namespace

TargetTable::TargetTable(EntryId self, ZoneId zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

// Each entry monitors a stable subset of every pool, chosen by rendezvous hashing, so that not
// every entry receives the heartbeats of a large fleet.
void TargetTable::configure(const settings::Deployment& deployment)
{
    std::map<PoolId, std::vector<std::pair<uint64_t, TargetId>>> byPool;
    for (const auto& [id, target] : deployment.targets) {
        const uint64_t rank = stableHash(m_self.text() + "/" + id.text());
        byPool[target.pool].emplace_back(rank, id);
    }
    std::map<TargetId, TargetView> next;
    for (auto& [pool, ranked] : byPool) {
        std::sort(ranked.begin(), ranked.end());
        if (ranked.size() > deployment.routing.subset)
            ranked.resize(deployment.routing.subset);
        for (const auto& [rank, id] : ranked) {
            auto known = m_targets.find(id);
            TargetView& view = next[id];
            if (known != m_targets.end())
                view = std::move(known->second);
            view.settings = deployment.targets.at(id);
        }
    }
    m_targets = std::move(next);
}

bool TargetTable::noteHeartbeat(protocol::Heartbeat heartbeat, SteadyTime now)
{
    auto found = m_targets.find(heartbeat.target);
    if (found == m_targets.end())
        return false;
    TargetView& view = found->second;
    const bool isNewIncarnation
        = view.heartbeat && view.heartbeat->incarnation != heartbeat.incarnation;
    view.heartbeat = std::move(heartbeat);
    view.lastHeartbeatAt = now;
    view.isSuspected = false;
    view.sentPaying = 0;
    view.sentTrial = 0;
    view.sentPrefillTokens = 0;
    view.sentDecodeTokens = 0;
    return isNewIncarnation;
}

void TargetTable::noteVmStates(const std::map<TargetId, platform::VmState>& states)
{
    for (auto& [id, view] : m_targets) {
        auto found = states.find(id);
        view.isVmLeaving = found != states.end() && found->second != platform::VmState::Live;
    }
}

std::vector<TargetId> TargetTable::suspectUnresponsiveTargets(SteadyTime now)
{
    std::vector<TargetId> suspected;
    for (auto& [id, view] : m_targets) {
        const bool isOverdue = view.heartbeat && now - view.lastHeartbeatAt > HeartbeatTimeout;
        if (!isOverdue || view.isSuspected)
            continue;
        view.isSuspected = true;
        suspected.push_back(id);
    }
    return suspected;
}

void TargetTable::compensateForPause(std::chrono::nanoseconds pause)
{
    for (auto& [id, view] : m_targets)
        view.lastHeartbeatAt += std::chrono::duration_cast<SteadyTime::duration>(pause);
}

void TargetTable::noteSent(const TargetId& target, const protocol::Submit& submit)
{
    TargetView& view = m_targets[target];
    view.outstanding += 1;
    if (submit.workClass == WorkClass::Trial) {
        view.sentTrial += 1;
        return;
    }
    view.sentPaying += 1;
    view.sentPrefillTokens += submit.promptTokens;
    view.sentDecodeTokens += submit.outputTokens;
}

void TargetTable::noteEnded(const TargetId& target)
{
    auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second.outstanding > 0)
        found->second.outstanding -= 1;
}

void TargetTable::noteState(const TargetId& target, ServingState state)
{
    auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second.heartbeat)
        found->second.heartbeat->state = state;
}

// The engines of a pool are alike, but each measures its speed on the work it happens to get: an
// engine that prefills short prompts seems slow. Rated by its own figure, it would get even fewer
// long prompts.
TargetTable::RoleSpeeds TargetTable::speedsOf(const PoolId& pool) const
{
    RoleSpeeds speeds {};
    for (const auto& [id, view] : m_targets) {
        if (view.settings.pool != pool || !view.heartbeat)
            continue;
        RoleSpeed& speed = speeds[static_cast<size_t>(view.heartbeat->role) % speeds.size()];
        speed.prefillTokensPerSecond += view.heartbeat->load.prefillTokensPerSecond;
        speed.decodeStepMs += view.heartbeat->load.decodeStepMs;
        speed.engines += 1;
    }
    for (RoleSpeed& speed : speeds) {
        speed.prefillTokensPerSecond /= std::max(1.0, speed.engines);
        speed.decodeStepMs /= std::max(1.0, speed.engines);
    }
    return speeds;
}

decisions::Candidate TargetTable::candidateOf(
    const TargetView& view, const RoleSpeeds& speeds) const
{
    const protocol::TargetLoad& load = view.heartbeat->load;
    decisions::Candidate candidate;
    candidate.target = view.settings.id;
    candidate.isInOtherZone = view.settings.zone != m_zone;
    candidate.role = view.heartbeat->role;
    candidate.slots = std::max(1U, load.slots);
    candidate.runningPaying = load.runningPaying;
    candidate.runningTrial = load.runningTrial;
    candidate.queuedPaying = load.queuedPaying;
    candidate.queuedTrial = load.queuedTrial;
    candidate.prefillBacklogTokens = load.prefillBacklogTokens;
    candidate.decodeBacklogTokens = load.decodeBacklogTokens;
    const RoleSpeed& speed = speeds[static_cast<size_t>(candidate.role) % speeds.size()];
    candidate.prefillTokensPerSecond = speed.prefillTokensPerSecond;
    candidate.decodeStepMs = speed.decodeStepMs;
    candidate.sentPaying = view.sentPaying;
    candidate.sentTrial = view.sentTrial;
    candidate.sentPrefillTokens = view.sentPrefillTokens;
    candidate.sentDecodeTokens = view.sentDecodeTokens;
    candidate.outstanding = view.outstanding;
    return candidate;
}

std::span<const decisions::Candidate> TargetTable::candidates(const PoolId& pool,
    const std::set<TargetId>& excludedTargets, const TargetId& prefixTarget,
    uint32_t cachedPromptTokens)
{
    m_candidates.clear();
    const RoleSpeeds speeds = speedsOf(pool);
    for (const bool includeExcluded : { false, true }) {
        for (const auto& [id, view] : m_targets) {
            const bool isExcluded = excludedTargets.contains(id);
            if (view.settings.pool != pool || !view.isEligible() || isExcluded != includeExcluded)
                continue;
            m_candidates.push_back(candidateOf(view, speeds));
            if (id == prefixTarget)
                m_candidates.back().cachedPromptTokens = cachedPromptTokens;
        }
        if (!m_candidates.empty())
            break;
    }
    return m_candidates;
}

const TargetView* TargetTable::find(const TargetId& target) const
{
    auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

uint32_t TargetTable::entryCount() const
{
    uint32_t count = 1;
    for (const auto& [id, view] : m_targets) {
        if (view.heartbeat && !view.isSuspected)
            count = std::max(count, view.heartbeat->entryCount);
    }
    return count;
}

} // namespace citronspoke::entry

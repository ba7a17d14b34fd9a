#include "roles/Roles.h"

#include <algorithm>
#include <utility>

namespace citronspoke::roles {

namespace {

    /** Bursts come at intervals of some seconds, and a role change takes as long. */
    constexpr Milliseconds DemandHoldTime { 5000 };
    /** A wanted change must last this long, so that a brief silence of an engine changes no role.
     */
    constexpr Milliseconds DecodeDelay { 200 };
    /** Longer: a decode engine that starts while others are being replaced is often needed soon. */
    constexpr Milliseconds PrefillDelay { 700 };
    /** At the first start no work is in flight, and only the target records have to settle. */
    constexpr Milliseconds FirstStartDelay { 700 };
    constexpr Milliseconds FirstStartPeriod { 8000 };
    /** A sidecar that reports no change within this time after the request cannot order it now. */
    constexpr Milliseconds ResponseTimeout { 1200 };
    constexpr Milliseconds PassOverTime { 5000 };
    /** The engine finishes its work before it changes. */
    constexpr Milliseconds LongestRoleChange { 15000 };

    bool isUsable(const PlannedEngine& engine)
    {
        return engine.record.role && !engine.record.isLeaving && !engine.isLost;
    }

} // namespace

RolePlanner::RolePlanner(SteadyTime start, bool isFirstStart)
    : m_start(start)
    , m_isFirstStart(isFirstStart)
{
}

uint32_t RolePlanner::heldDecodeEngines(const RoleSplit& split, SteadyTime now)
{
    // Spare decode engines are kept for the next burst unless prefill needs them now.
    if (split.isShort)
        m_recentWanted.clear();
    const uint32_t wanted = split.decodeEngines;
    while (!m_recentWanted.empty() && now - m_recentWanted.front().first > DemandHoldTime)
        m_recentWanted.pop_front();
    // Keeps the numbers in descending order: a later larger one makes an earlier one irrelevant.
    while (!m_recentWanted.empty() && m_recentWanted.back().second <= wanted)
        m_recentWanted.pop_back();
    m_recentWanted.emplace_back(now, wanted);
    return m_recentWanted.front().second;
}

std::set<TargetId> RolePlanner::passedOver(SteadyTime now)
{
    std::erase_if(m_passedOverUntil, [now](const auto& item) { return item.second <= now; });
    std::set<TargetId> engines;
    for (const auto& [engine, until] : m_passedOverUntil)
        engines.insert(engine);
    return engines;
}

Milliseconds RolePlanner::delayBefore(EngineRole role, SteadyTime now) const
{
    if (m_isFirstStart && now - m_start < FirstStartPeriod)
        return FirstStartDelay;
    return role == EngineRole::Decode ? DecodeDelay : PrefillDelay;
}

void RolePlanner::passOverIfFailed(const fleet::TargetRecord& record, SteadyTime now)
{
    const auto begun = m_begunChanges.find(record.id);
    if (begun == m_begunChanges.end())
        return;
    const bool hasFailed = begun->second.change.role != record.role;
    if (hasFailed)
        m_passedOverUntil[record.id] = now + PassOverTime;
    if (hasFailed || now - begun->second.at > LongestRoleChange)
        m_begunChanges.erase(begun);
}

void RolePlanner::updateDecodeEngines(
    std::span<const PlannedEngine> engines, const Demand& demand, SteadyTime now)
{
    const size_t usable
        = static_cast<size_t>(std::count_if(engines.begin(), engines.end(), isUsable));
    const uint32_t held = heldDecodeEngines(splitRoles(usable, demand), now);
    // The held number may stem from a time with more engines.
    m_decodeEngines = usable < 2 ? static_cast<uint32_t>(usable)
                                 : std::min(held, static_cast<uint32_t>(usable - 1));
    m_mostDecodeEngines = mostDecodeEngines(usable, demand);
}

bool RolePlanner::isDue(WantedChange& wanted, SteadyTime now)
{
    if (now - wanted.since < delayBefore(wanted.change.role, now))
        return false;
    if (!wanted.requestedAt)
        wanted.requestedAt = now;
    const bool isIgnored
        = wanted.change.role == EngineRole::Decode && now - *wanted.requestedAt >= ResponseTimeout;
    if (isIgnored)
        m_passedOverUntil[wanted.change.engine] = now + PassOverTime;
    return !isIgnored;
}

std::vector<RoleChange> RolePlanner::update(
    std::span<const PlannedEngine> engines, const Demand& demand, SteadyTime now)
{
    updateDecodeEngines(engines, demand, now);
    const std::set<TargetId> decodeEngines = chooseDecodeEngines(
        engines, { m_decodeEngines, demand.prompts, m_mostDecodeEngines }, passedOver(now));
    std::map<TargetId, WantedChange> wantedBefore = std::exchange(m_wantedChanges, {});
    std::vector<RoleChange> due;
    for (const PlannedEngine& engine : engines) {
        if (!isUsable(engine))
            continue;
        const fleet::TargetRecord& record = engine.record;
        passOverIfFailed(record, now);
        const RoleChange change { record.id, record.startedAt,
            decodeEngines.contains(record.id) ? EngineRole::Decode : EngineRole::Prefill };
        const auto before = wantedBefore.find(record.id);
        const bool wasWanted = before != wantedBefore.end();
        if (change.role == *record.role) {
            if (wasWanted && before->second.requestedAt && before->second.change == change)
                m_begunChanges[record.id] = { before->second.change, now };
            continue;
        }
        WantedChange wanted { change, now, std::nullopt };
        if (wasWanted && before->second.change == change)
            wanted = before->second;
        if (isDue(wanted, now))
            due.push_back(change);
        m_wantedChanges.emplace(record.id, wanted);
    }
    return due;
}

} // namespace citronspoke::roles

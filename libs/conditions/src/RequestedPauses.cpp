#include "conditions/Conditions.h"

#include <algorithm>

namespace citronspoke::conditions {

namespace {

    /** A target that has received no probe for this long after its pause needs none. */
    constexpr Milliseconds ProbeLifetime { 10000 };

} // namespace

bool RequestedPauses::noteRequested(
    const fleet::TargetRecord& target, Milliseconds pause, SteadyTime now)
{
    if (pause <= Milliseconds(0))
        return false;
    const SteadyTime until = now + pause;
    Pause& known = m_pauses[target.id];
    const bool isSameIncarnation = known.targetStartedAt == target.startedAt;
    if (isSameIncarnation && known.until >= until)
        return false;
    known = { target.startedAt, until };
    return true;
}

bool RequestedPauses::noteAccepted(const fleet::TargetRecord& target, SteadyTime sentAt)
{
    const auto known = m_pauses.find(target.id);
    if (known == m_pauses.end() || known->second.targetStartedAt != target.startedAt
        || sentAt < known->second.until)
        return false;
    m_pauses.erase(known);
    return true;
}

void RequestedPauses::expire(SteadyTime now)
{
    std::erase_if(
        m_pauses, [now](const auto& item) { return now - item.second.until > ProbeLifetime; });
}

std::optional<SteadyTime> RequestedPauses::pausedUntil(const fleet::TargetRecord& target) const
{
    if (m_pauses.empty())
        return std::nullopt;
    const auto known = m_pauses.find(target.id);
    if (known == m_pauses.end() || known->second.targetStartedAt != target.startedAt)
        return std::nullopt;
    return known->second.until;
}

} // namespace citronspoke::conditions

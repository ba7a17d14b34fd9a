#include "conditions/Conditions.h"

namespace citronspoke::conditions {

bool StatedLimits::noteResponse(const fleet::TargetRecord& target,
    std::optional<RequestsPerSecond> limit, SteadyTime sentAt, SteadyTime now)
{
    const auto known = m_limits.find(target.id);
    const bool isKnown
        = known != m_limits.end() && known->second.targetStartedAt == target.startedAt;
    if (limit) {
        const bool isChanged = !isKnown || known->second.requestsPerSecond != *limit;
        m_limits[target.id] = { target.startedAt, *limit, now };
        return isChanged;
    }
    if (!isKnown || sentAt <= known->second.statedAt)
        return false;
    m_limits.erase(known);
    return true;
}

std::optional<RequestsPerSecond> StatedLimits::limit(const fleet::TargetRecord& target) const
{
    const auto known = m_limits.find(target.id);
    if (known == m_limits.end() || known->second.targetStartedAt != target.startedAt)
        return std::nullopt;
    return known->second.requestsPerSecond;
}

} // namespace citronspoke::conditions

#include "conditions/Conditions.h"

#include <algorithm>
#include <utility>

namespace citronspoke::conditions {

namespace {

    /** Older reports of a limit that has ended do not arrive any more. */
    constexpr Milliseconds EndedLifetime { 10000 };
    /** A target that no gateway has used for this long may have ended its limit. */
    constexpr Milliseconds UnconfirmedLifetime { 30000 };

    Milliseconds ageOf(SteadyTime then, SteadyTime now)
    {
        return std::chrono::duration_cast<Milliseconds>(now - then);
    }

} // namespace

bool StatedLimits::noteResponse(const fleet::TargetRecord& target,
    std::optional<RequestsPerSecond> limit, SteadyTime sentAt, SteadyTime now)
{
    const std::optional<Limit> before = this->limit(target);
    if (!limit) {
        if (!before || sentAt <= m_statements[target.id].statedAt)
            return false;
        m_statements[target.id] = { target.startedAt, std::nullopt, now, false };
        return true;
    }
    const SteadyTime firstStatedAt = before ? before->firstStatedAt : now;
    m_statements[target.id] = { target.startedAt, Limit { *limit, firstStatedAt }, now, false };
    return !before || before->requestsPerSecond != *limit;
}

bool StatedLimits::merge(const LimitReport& report, SteadyTime now)
{
    const auto known = m_statements.find(report.target);
    const SteadyTime statedAt = now - report.age;
    if (known != m_statements.end() && known->second.statedAt >= statedAt)
        return false;
    std::optional<Limit> before;
    if (known != m_statements.end() && known->second.targetStartedAt == report.targetStartedAt)
        before = known->second.limit;
    std::optional<Limit> limit;
    if (report.limit) {
        limit = Limit { *report.limit, now - report.ageOfFirst };
        if (before)
            limit->firstStatedAt = std::min(limit->firstStatedAt, before->firstStatedAt);
    }
    m_statements[report.target] = { report.targetStartedAt, limit, statedAt, true };
    return before.has_value() != limit.has_value()
        || (before && before->requestsPerSecond != limit->requestsPerSecond);
}

std::vector<LimitReport> StatedLimits::takeReports(SteadyTime now)
{
    std::vector<LimitReport> reports;
    for (auto& [target, statement] : m_statements) {
        if (std::exchange(statement.isReported, true))
            continue;
        LimitReport report { target, statement.targetStartedAt, std::nullopt,
            ageOf(statement.statedAt, now), Milliseconds(0) };
        if (statement.limit) {
            report.limit = statement.limit->requestsPerSecond;
            report.ageOfFirst = ageOf(statement.limit->firstStatedAt, now);
        }
        reports.push_back(report);
    }
    return reports;
}

std::vector<TargetId> StatedLimits::expire(SteadyTime now)
{
    std::vector<TargetId> expired;
    std::erase_if(m_statements, [now, &expired](const auto& item) {
        const Statement& statement = item.second;
        const Milliseconds lifetime = statement.limit ? UnconfirmedLifetime : EndedLifetime;
        if (now - statement.statedAt <= lifetime)
            return false;
        if (statement.limit)
            expired.push_back(item.first);
        return true;
    });
    return expired;
}

std::optional<StatedLimits::Limit> StatedLimits::limit(const fleet::TargetRecord& target) const
{
    const auto known = m_statements.find(target.id);
    if (known == m_statements.end() || known->second.targetStartedAt != target.startedAt)
        return std::nullopt;
    return known->second.limit;
}

} // namespace citronspoke::conditions

#include "conditions/Conditions.h"

#include <algorithm>

namespace citronspoke::conditions {

namespace {

    /** Older reports of a limit that has ended do not arrive any more. */
    constexpr Milliseconds EndedLifetime { 10000 };
    /** A target that no gateway has used for this long may have ended its limit. */
    constexpr Milliseconds UnconfirmedLifetime { 30000 };

    /** Reports may be lost, and gateways start anew. */
    constexpr Milliseconds ResendInterval { 2000 };

    Milliseconds ageOf(SteadyTime then, SteadyTime now)
    {
        return std::chrono::duration_cast<Milliseconds>(now - then);
    }

} // namespace

bool StatedLimits::noteResponse(const fleet::TargetRecord& target,
    std::optional<RequestsPerSecond> limit, SteadyTime sentAt, SteadyTime now)
{
    const std::optional<Limit> before = this->limit(target);
    Statement& statement = m_statements[target.id];
    if (!limit) {
        if (!before || sentAt <= statement.statedAt)
            return false;
        statement = { target.startedAt, std::nullopt, now, true, std::nullopt };
        return true;
    }
    if (before && before->requestsPerSecond == *limit) {
        statement.statedAt = now;
        statement.isOwn = true;
        return false;
    }
    Limit stated { *limit, now, false };
    if (before) {
        stated.firstStatedAt = before->firstStatedAt;
        stated.isShort = before->isShort;
    }
    statement = { target.startedAt, stated, now, true, std::nullopt };
    return true;
}

bool StatedLimits::merge(const LimitReport& report, SteadyTime now)
{
    const auto known = m_statements.find(report.target);
    const SteadyTime statedAt = now - report.age;
    std::optional<Limit> before;
    if (known != m_statements.end() && known->second.targetStartedAt == report.targetStartedAt)
        before = known->second.limit;
    if (before && report.isShort)
        before->isShort = known->second.limit->isShort = true;
    if (known != m_statements.end() && known->second.statedAt >= statedAt)
        return false;
    std::optional<Limit> limit;
    if (report.limit) {
        limit = Limit { *report.limit, now - report.ageOfFirst, report.isShort };
        if (before) {
            limit->firstStatedAt = std::min(limit->firstStatedAt, before->firstStatedAt);
            limit->isShort = before->isShort;
        }
    }
    m_statements[report.target] = { report.targetStartedAt, limit, statedAt, false, now };
    return before.has_value() != limit.has_value()
        || (before && before->requestsPerSecond != limit->requestsPerSecond);
}

bool StatedLimits::noteShortage(const fleet::TargetRecord& target)
{
    const auto known = m_statements.find(target.id);
    if (!limit(target) || known->second.limit->isShort)
        return false;
    known->second.limit->isShort = true;
    known->second.reportedAt.reset();
    return true;
}

std::vector<LimitReport> StatedLimits::takeReports(SteadyTime now)
{
    std::vector<LimitReport> reports;
    for (auto& [target, statement] : m_statements) {
        const bool isDue = !statement.reportedAt
            || (statement.isOwn && now - *statement.reportedAt >= ResendInterval);
        if (!isDue)
            continue;
        statement.reportedAt = now;
        LimitReport report { target, statement.targetStartedAt, std::nullopt,
            ageOf(statement.statedAt, now), Milliseconds(0), false };
        if (statement.limit) {
            report.limit = statement.limit->requestsPerSecond;
            report.ageOfFirst = ageOf(statement.limit->firstStatedAt, now);
            report.isShort = statement.limit->isShort;
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

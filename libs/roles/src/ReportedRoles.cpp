#include "roles/Roles.h"

namespace citronspoke::roles {

namespace {

    /** A change that takes longer has failed, or its end was not reported; the record counts. */
    constexpr Milliseconds LongestRoleChange { 15000 };

} // namespace

bool ReportedRoles::note(const RoleReport& report, SteadyTime now)
{
    Received& known = m_reports[report.engine];
    const bool isNews = known.report != report;
    if (isNews || !report.isChanging)
        known = { report, now };
    return isNews;
}

const ReportedRoles::Received* ReportedRoles::find(
    const fleet::TargetRecord& record, SteadyTime now) const
{
    const auto found = m_reports.find(record.id);
    if (!record.role || found == m_reports.end()
        || found->second.report.engineStartedAt != record.startedAt)
        return nullptr;
    const bool isExpired
        = found->second.report.isChanging && now - found->second.at > LongestRoleChange;
    return isExpired ? nullptr : &found->second;
}

fleet::TargetRecord ReportedRoles::withReportedRole(
    fleet::TargetRecord record, SteadyTime now) const
{
    if (const Received* received = find(record, now))
        record.role = received->report.role;
    return record;
}

std::optional<SteadyTime> ReportedRoles::changingSince(
    const fleet::TargetRecord& record, SteadyTime now) const
{
    const Received* received = find(record, now);
    if (!received || !received->report.isChanging || received->report.role == record.role)
        return std::nullopt;
    return received->at;
}

} // namespace citronspoke::roles

#include "shares/Shares.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::shares {

namespace {

    /** Without a total for this long, the next collector is used. */
    constexpr Milliseconds CollectorTimeout { 1500 };

    void subtract(EngineTime& from, const EngineTime& part)
    {
        from.used = std::max(EngineMilliseconds { 0 }, from.used - part.used);
        from.wanted = std::max(from.used, from.wanted - part.wanted);
    }

} // namespace

UseExchange::UseExchange(EntryId own, PoolId pool)
    : m_own(std::move(own))
    , m_pool(std::move(pool))
{
}

void UseExchange::updateGateways(std::span<const EntryId> gateways)
{
    const std::vector<EntryId> order
        = firstByRendezvousRank(gateways, m_pool.text(), gateways.size());
    const size_t groups
        = static_cast<size_t>(std::ceil(std::sqrt(static_cast<double>(order.size()))));
    m_collectors.assign(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(groups));
    const auto own = std::find(order.begin(), order.end(), m_own);
    m_ownGroup
        = groups == 0 || own == order.end() ? 0 : static_cast<size_t>(own - order.begin()) % groups;
}

bool UseExchange::isCollector() const
{
    return std::find(m_collectors.begin(), m_collectors.end(), m_own) != m_collectors.end();
}

bool UseExchange::hasMemberReports(SteadyTime now) const
{
    return std::any_of(m_members.begin(), m_members.end(),
        [now](const auto& item) { return now - item.second.receivedAt <= UseReportLifetime; });
}

void UseExchange::onReport(const UseReport& report, SteadyTime now)
{
    if (report.sender == m_own || report.pool != m_pool)
        return;
    ReceivedReports& reports = report.scope == UseScope::Gateway ? m_members
        : report.scope == UseScope::Group                        ? m_groups
                                                                 : m_totals;
    reports[report.sender] = { report.use, now };
}

UseSummary UseExchange::sumOf(const ReceivedReports& reports, SteadyTime now)
{
    UseSummary sum;
    for (const auto& [sender, received] : reports) {
        if (now - received.receivedAt <= UseReportLifetime)
            sum += received.use;
    }
    return sum;
}

const EntryId& UseExchange::collector(SteadyTime now) const
{
    const auto total = m_totals.find(m_collectors[m_ownGroup]);
    const bool responds
        = total != m_totals.end() && now - total->second.receivedAt <= CollectorTimeout;
    const bool isNew = !m_reportingSince || now - *m_reportingSince <= CollectorTimeout;
    if (responds || isNew || m_collectors.size() == 1)
        return m_collectors[m_ownGroup];
    const EntryId& next = m_collectors[(m_ownGroup + 1) % m_collectors.size()];
    return next;
}

std::vector<UseExchange::Outgoing> UseExchange::takeReports(const UseSummary& own, SteadyTime now)
{
    expire(now);
    std::vector<Outgoing> outgoing;
    if (m_collectors.empty())
        return outgoing;
    UseSummary reported = own;
    reported.truncate(MaxReportedOrganisations);
    if (!isCollector()) {
        if (!m_reportingSince)
            m_reportingSince = now;
        outgoing.push_back({ { m_own, m_pool, UseScope::Gateway, reported }, { collector(now) } });
        m_lastReported = std::move(reported);
        return outgoing;
    }
    UseSummary group = sumOf(m_members, now);
    group += own;
    UseSummary all = group;
    all += sumOf(m_groups, now);
    group.truncate(MaxReportedOrganisations);
    all.truncate(MaxReportedOrganisations);
    Outgoing toCollectors { { m_own, m_pool, UseScope::Group, std::move(group) }, {} };
    for (const EntryId& other : m_collectors) {
        if (other != m_own)
            toCollectors.recipients.push_back(other);
    }
    Outgoing toMembers { { m_own, m_pool, UseScope::All, std::move(all) }, {} };
    for (const auto& [member, received] : m_members)
        toMembers.recipients.push_back(member);
    outgoing.push_back(std::move(toCollectors));
    outgoing.push_back(std::move(toMembers));
    return outgoing;
}

UseSummary UseExchange::total(const UseSummary& own, SteadyTime now) const
{
    UseSummary sum;
    if (isCollector()) {
        sum = sumOf(m_members, now);
        sum += sumOf(m_groups, now);
    } else {
        const Received* latest = nullptr;
        for (const auto& [sender, received] : m_totals) {
            if (now - received.receivedAt <= UseReportLifetime
                && (!latest || received.receivedAt > latest->receivedAt))
                latest = &received;
        }
        if (latest) {
            sum = latest->use;
            // What this gateway has reported is replaced by what it counts now.
            for (const auto& [organisation, time] : m_lastReported.heaviest) {
                const auto found = sum.heaviest.find(organisation);
                subtract(found == sum.heaviest.end() ? sum.others : found->second, time);
            }
            subtract(sum.others, m_lastReported.others);
        }
    }
    sum += own;
    return sum;
}

void UseExchange::expire(SteadyTime now)
{
    const auto isOld
        = [now](const auto& item) { return now - item.second.receivedAt > UseReportLifetime; };
    std::erase_if(m_members, isOld);
    std::erase_if(m_groups, isOld);
    std::erase_if(m_totals, isOld);
    if (m_reportingSince && m_totals.empty() && m_lastReported == UseSummary {})
        m_reportingSince.reset();
}

} // namespace citronspoke::shares

#include "peers/Peers.h"

#include <algorithm>
#include <iterator>

namespace citronspoke::peers {

namespace {

    /**
     * Most reports of each kind in one datagram. A report takes under 100 bytes, so that the
     * datagram fits into one network packet.
     */
    constexpr size_t LoadsPerDatagram = 12;
    constexpr size_t PartsPerDatagram = 4;
    constexpr size_t ReplacedPerDatagram = 8;
    constexpr size_t CrashesPerDatagram = 4;
    constexpr size_t ClearedPerDatagram = 8;
    constexpr size_t UnreachablePerDatagram = 4;
    constexpr size_t RolesPerDatagram = 4;
    constexpr size_t DemandsPerDatagram = 4;
    constexpr size_t LimitsPerDatagram = 4;
    constexpr size_t LeavingPerDatagram = 4;
    constexpr size_t PartCrashesPerDatagram = 2;
    constexpr size_t ServedPartsPerDatagram = 4;
    constexpr size_t WithdrawnPerDatagram = 4;

    /** Removes up to @p maxCount reports from the front of a list. @return them. */
    template <typename Report>
    std::vector<Report> takeFront(std::vector<Report>& reports, size_t maxCount)
    {
        const auto end
            = reports.begin() + static_cast<ptrdiff_t>(std::min(maxCount, reports.size()));
        std::vector<Report> front(
            std::make_move_iterator(reports.begin()), std::make_move_iterator(end));
        reports.erase(reports.begin(), end);
        return front;
    }

} // namespace

void Outbox::add(const LoadReport& report) { m_loads[report.target] = report.load; }

void Outbox::add(CachedPartsReport report) { m_parts.push_back(std::move(report)); }

void Outbox::add(CrashReport report) { m_crashes.push_back(std::move(report)); }

bool Outbox::empty() const noexcept
{
    return m_loads.empty() && m_parts.empty() && m_replaced.empty() && m_crashes.empty()
        && m_cleared.empty() && m_unreachable.empty() && m_roles.empty() && m_demands.empty()
        && m_limits.empty() && m_leaving.empty() && m_partCrashes.empty() && m_servedParts.empty()
        && m_withdrawnCrashes.empty();
}

std::vector<std::string> Outbox::takeDatagrams(const EntryId& sender, UnixMillis startedAt)
{
    std::vector<std::string> datagrams;
    while (!empty()) {
        Update update;
        update.sender = sender;
        update.senderStartedAt = startedAt;
        update.sequenceNumber = ++m_lastSequenceNumber;
        while (!m_loads.empty() && update.loads.size() < LoadsPerDatagram) {
            update.loads.push_back({ m_loads.begin()->first, m_loads.begin()->second });
            m_loads.erase(m_loads.begin());
        }
        update.parts = takeFront(m_parts, PartsPerDatagram);
        update.replaced = takeFront(m_replaced, ReplacedPerDatagram);
        update.crashes = takeFront(m_crashes, CrashesPerDatagram);
        update.cleared = takeFront(m_cleared, ClearedPerDatagram);
        while (!m_unreachable.empty() && update.unreachable.size() < UnreachablePerDatagram)
            update.unreachable.push_back(m_unreachable.extract(m_unreachable.begin()).value());
        update.roles = takeFront(m_roles, RolesPerDatagram);
        while (!m_demands.empty() && update.demands.size() < DemandsPerDatagram) {
            update.demands.push_back({ m_demands.begin()->first, m_demands.begin()->second });
            m_demands.erase(m_demands.begin());
        }
        update.limits = takeFront(m_limits, LimitsPerDatagram);
        update.leaving = takeFront(m_leaving, LeavingPerDatagram);
        update.partCrashes = takeFront(m_partCrashes, PartCrashesPerDatagram);
        while (!m_servedParts.empty() && update.servedParts.size() < ServedPartsPerDatagram)
            update.servedParts.push_back(m_servedParts.extract(m_servedParts.begin()).value());
        update.withdrawnCrashes = takeFront(m_withdrawnCrashes, WithdrawnPerDatagram);
        datagrams.push_back(encode(update));
    }
    return datagrams;
}

bool StaleUpdateFilter::accept(const Update& update)
{
    constexpr size_t MaxEnded = 8;
    LastAccepted& last = m_lastAccepted[update.sender];
    if (update.senderStartedAt == last.startedAt) {
        if (update.sequenceNumber <= last.sequenceNumber)
            return false;
    } else {
        if (std::find(last.ended.begin(), last.ended.end(), update.senderStartedAt)
            != last.ended.end())
            return false;
        last.ended.push_front(last.startedAt);
        if (last.ended.size() > MaxEnded)
            last.ended.pop_back();
        last.startedAt = update.senderStartedAt;
    }
    last.sequenceNumber = update.sequenceNumber;
    return true;
}

} // namespace citronspoke::peers

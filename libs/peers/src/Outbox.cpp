#include "peers/Peers.h"

#include <iterator>

namespace citronspoke::peers {

namespace {

    /** Reports in one datagram; each takes under 100 bytes, so that a packet holds them. */
    constexpr size_t LoadsPerDatagram = 12;
    constexpr size_t PartsPerDatagram = 4;
    constexpr size_t ReplacedPerDatagram = 8;
    constexpr size_t CrashesPerDatagram = 4;
    constexpr size_t ClearedPerDatagram = 8;

    /** Moves up to so many reports out of the front of a list. */
    template <typename Report>
    std::vector<Report> takeFront(std::vector<Report>& reports, size_t most)
    {
        const auto end = reports.begin() + static_cast<ptrdiff_t>(std::min(most, reports.size()));
        std::vector<Report> front(
            std::make_move_iterator(reports.begin()), std::make_move_iterator(end));
        reports.erase(reports.begin(), end);
        return front;
    }

} // namespace

void Outbox::add(const LoadReport& report) { m_loads[report.target] = report.load; }

void Outbox::add(PartsReport report) { m_parts.push_back(std::move(report)); }

void Outbox::add(CrashReport report) { m_crashes.push_back(std::move(report)); }

bool Outbox::empty() const noexcept
{
    return m_loads.empty() && m_parts.empty() && m_replaced.empty() && m_crashes.empty()
        && m_cleared.empty();
}

std::vector<std::string> Outbox::take(const EntryId& sender, UnixMillis startedAt)
{
    std::vector<std::string> datagrams;
    while (!empty()) {
        Update update;
        update.sender = sender;
        update.senderStartedAt = startedAt;
        update.number = ++m_number;
        while (!m_loads.empty() && update.loads.size() < LoadsPerDatagram) {
            update.loads.push_back({ m_loads.begin()->first, m_loads.begin()->second });
            m_loads.erase(m_loads.begin());
        }
        update.parts = takeFront(m_parts, PartsPerDatagram);
        update.replaced = takeFront(m_replaced, ReplacedPerDatagram);
        update.crashes = takeFront(m_crashes, CrashesPerDatagram);
        update.cleared = takeFront(m_cleared, ClearedPerDatagram);
        datagrams.push_back(encode(update));
    }
    return datagrams;
}

bool UpdateOrder::accept(const Update& update)
{
    Last& last = m_last[update.sender];
    const bool isNewLife = update.senderStartedAt > last.startedAt;
    if (!isNewLife && (update.senderStartedAt < last.startedAt || update.number <= last.number))
        return false;
    last = { update.senderStartedAt, update.number };
    return true;
}

} // namespace citronspoke::peers

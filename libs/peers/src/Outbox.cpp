#include "peers/Peers.h"

namespace citronspoke::peers {

namespace {

    /** Reports in one datagram; each takes under 100 bytes, so that a packet holds them. */
    constexpr size_t LoadsPerDatagram = 12;
    constexpr size_t PartsPerDatagram = 4;
    constexpr size_t ReplacedPerDatagram = 8;

} // namespace

void Outbox::add(const LoadReport& report) { m_loads[report.target] = report.load; }

void Outbox::add(PartsReport report) { m_parts.push_back(std::move(report)); }

std::vector<std::string> Outbox::take(const EntryId& sender, UnixMillis startedAt)
{
    std::vector<std::string> datagrams;
    auto load = m_loads.begin();
    size_t part = 0;
    size_t replaced = 0;
    while (load != m_loads.end() || part < m_parts.size() || replaced < m_replaced.size()) {
        Update update;
        update.sender = sender;
        update.senderStartedAt = startedAt;
        update.number = ++m_number;
        for (; load != m_loads.end() && update.loads.size() < LoadsPerDatagram; ++load)
            update.loads.push_back({ load->first, load->second });
        for (; part < m_parts.size() && update.parts.size() < PartsPerDatagram; ++part)
            update.parts.push_back(std::move(m_parts[part]));
        for (; replaced < m_replaced.size() && update.replaced.size() < ReplacedPerDatagram;
             ++replaced)
            update.replaced.push_back(m_replaced[replaced]);
        datagrams.push_back(encode(update));
    }
    m_loads.clear();
    m_parts.clear();
    m_replaced.clear();
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

#include "streams/Streams.h"

#include <algorithm>

namespace citronspoke::streams {

std::vector<EntryId> holdersOf(
    const RequestId& attempt, std::span<const EntryId> gateways, const EntryId& self, size_t count)
{
    std::vector<EntryId> others(gateways.begin(), gateways.end());
    std::erase(others, self);
    return firstByRendezvousRank(others, attempt.text(), count);
}

std::vector<EntryId> sidecarsOf(
    const RequestId& attempt, std::vector<EntryId> machines, size_t count)
{
    std::sort(machines.begin(), machines.end());
    machines.erase(std::unique(machines.begin(), machines.end()), machines.end());
    return firstByRendezvousRank(machines, attempt.text(), count);
}

StreamOrigins::StreamOrigins(size_t capacity)
    : m_capacity(capacity)
{
    require(capacity > 0, "the capacity for streams is positive");
}

void StreamOrigins::note(const OriginNote& note, SteadyTime now)
{
    if (!m_origins.try_emplace(note.attempt.text(), note.origin).second)
        return;
    m_order.emplace_back(now, note.attempt);
    if (m_origins.size() > m_capacity)
        dropOldest();
}

std::optional<OriginRecord> StreamOrigins::find(const RequestId& attempt) const
{
    const auto found = m_origins.find(attempt.text());
    return found == m_origins.end() ? std::nullopt : std::optional(found->second);
}

void StreamOrigins::expire(SteadyTime now, Milliseconds retention)
{
    while (!m_order.empty() && now - m_order.front().first > retention)
        dropOldest();
}

void StreamOrigins::dropOldest()
{
    m_origins.erase(m_order.front().second.text());
    m_order.pop_front();
}

} // namespace citronspoke::streams

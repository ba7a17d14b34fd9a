#include "dispatch/ReportAges.h"

#include <algorithm>

namespace citronspoke::dispatch {

namespace {

    /** Updates are coalesced for 5 ms and take about a millisecond between zones. */
    constexpr double LeastAgeMs = 6;
    /** Peers resend their work in this interval, so a lost report is missing for half of it. */
    constexpr double ResendIntervalMs = 500;
    /** A peer that sends nothing for longer than its resend interval is cut off. */
    constexpr double LongestSilenceMs = 700;
    constexpr double UnknownAgeMs = 2000;
    constexpr double UpdateWeight = 0.1;
    constexpr Milliseconds MeanLifetime { 5 };

} // namespace

void ReportAges::note(const EntryId& peer, uint64_t sequenceNumber, SteadyTime now)
{
    const auto [item, isNew] = m_peers.try_emplace(peer);
    Peer& known = item->second;
    // Sequence numbers start again with each incarnation of the peer.
    const bool isContinued = !isNew && sequenceNumber > known.sequenceNumber;
    const double lost = isContinued ? double(sequenceNumber - known.sequenceNumber - 1) : 0;
    known.lostPart += UpdateWeight * (lost / (lost + 1) - known.lostPart);
    known.sequenceNumber = sequenceNumber;
    known.heardAt = now;
}

void ReportAges::expire(SteadyTime now, Milliseconds timeout)
{
    std::erase_if(m_peers, [&](const auto& item) { return now - item.second.heardAt >= timeout; });
}

double ReportAges::ageMs(const Peer& peer, SteadyTime now) const
{
    const std::chrono::duration<double, std::milli> silence = now - peer.heardAt;
    const double age = LeastAgeMs + peer.lostPart * ResendIntervalMs / 2;
    return silence.count() > LongestSilenceMs ? std::max(age, silence.count()) : age;
}

double ReportAges::meanMs(uint32_t gateways, SteadyTime now) const
{
    if (gateways == m_meanGateways && now >= m_meanAt && now - m_meanAt < MeanLifetime)
        return m_meanMs;
    double sum = 0;
    for (const auto& [id, peer] : m_peers)
        sum += ageMs(peer, now);
    const double heard = static_cast<double>(m_peers.size());
    const double others = std::max(heard, gateways > 0 ? gateways - 1.0 : 0);
    sum += UnknownAgeMs * (others - heard);
    m_meanMs = others > 0 ? sum / others : 0;
    m_meanGateways = gateways;
    m_meanAt = now;
    return m_meanMs;
}

} // namespace citronspoke::dispatch

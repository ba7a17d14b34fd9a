// Which gateways the deployment has, and the order in which they write common keys.
#include "PeerGroup.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** Time that each gateway leaves to the one before it in the order of writers. */
    constexpr Milliseconds WriterDelay { 1500 };

} // namespace

std::vector<EntryId> PeerGroup::gateways() const
{
    std::vector<EntryId> ids;
    for (const auto& [id, peer] : m_peers)
        ids.push_back(id);
    return ids;
}

std::vector<fleet::Address> PeerGroup::otherGateways() const
{
    std::vector<fleet::Address> addresses;
    for (const auto& [id, peer] : m_peers) {
        if (id != m_id)
            addresses.push_back(peer.address);
    }
    return addresses;
}

bool PeerGroup::isOwnTurn(std::string_view key, SteadyTime since) const
{
    const std::vector<EntryId> all = gateways();
    const std::vector<EntryId> writers = firstByRendezvousRank(all, key, all.size());
    const auto own = std::find(writers.begin(), writers.end(), m_id);
    if (own == writers.end())
        return false;
    return steadyNow() - since >= (own - writers.begin()) * WriterDelay;
}

} // namespace citronspoke::gateway

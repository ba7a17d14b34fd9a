#include "SidecarOrigins.h"

#include "PeerGroup.h"

namespace citronspoke::gateway {

namespace {

    /** Until the next round of the event loop. A kill loses the origins that wait: with 20 ms, it
     * lost those of up to 12 of 20 streams that began just before it. */
    constexpr Milliseconds BatchInterval { 0 };
    /** So that a datagram fits into one network packet. */
    constexpr size_t MaxBatch = 16;

} // namespace

SidecarOrigins::SidecarOrigins(GatewayContext& context, PeerGroup& peers)
    : m_context(context)
    , m_peers(peers)
    , m_timer(context.loop)
{
}

void SidecarOrigins::note(const streams::OriginNote& note)
{
    const std::vector<fleet::Address> sidecars
        = holders(note.origin.pool, note.attempt, streams::SidecarsPerStream);
    for (const fleet::Address& sidecar : sidecars) {
        const auto [waiting, isFirst] = m_waiting.try_emplace(sidecar.ip);
        if (isFirst) {
            if (m_waiting.size() == 1)
                m_timer.arm(BatchInterval, [this] { sendBatches(); });
            send(sidecar, { note });
            continue;
        }
        waiting->second.push_back(note);
        if (waiting->second.size() == MaxBatch)
            send(sidecar, std::exchange(waiting->second, {}));
    }
}

std::vector<fleet::Address> SidecarOrigins::holders(
    const PoolId& pool, const RequestId& attempt, size_t count) const
{
    // Engines change their ids when they restart; their machines keep their addresses.
    std::vector<EntryId> machines;
    for (const auto& [id, state] : m_context.directory.targets()) {
        if (state.record.pool == pool && state.record.role)
            machines.emplace_back(state.record.address.ip);
    }
    std::vector<fleet::Address> sidecars;
    for (const EntryId& machine : streams::sidecarsOf(attempt, std::move(machines), count))
        sidecars.push_back({ machine.text(), m_context.settings.sidecarPort });
    return sidecars;
}

void SidecarOrigins::send(const fleet::Address& sidecar, Notes&& notes)
{
    m_peers.send(sidecar, peers::encode(peers::OriginBatch { std::move(notes) }));
}

void SidecarOrigins::sendBatches()
{
    std::map<std::string, Notes> waiting = std::exchange(m_waiting, {});
    for (auto& [machine, notes] : waiting) {
        if (notes.empty())
            continue;
        send({ machine, m_context.settings.sidecarPort }, std::move(notes));
        m_waiting.try_emplace(machine);
    }
    if (!m_waiting.empty())
        m_timer.arm(BatchInterval, [this] { sendBatches(); });
}

} // namespace citronspoke::gateway

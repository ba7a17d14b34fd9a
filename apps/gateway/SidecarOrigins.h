#pragma once

#include "GatewayContext.h"
#include "peers/Peers.h"

namespace citronspoke::gateway {

/**
 * Sends the origins of streams to sidecars, which outlive a kill of all gateways. The first origin
 * for a sidecar is sent at once; further ones within a short time are batched. Used by the event
 * loop's thread only.
 */
class SidecarOrigins {
public:
    SidecarOrigins(GatewayContext& context, PeerGroup& peers);

    void note(const streams::OriginNote& note);
    /** @return the sidecars that may hold the origin of a stream; none in pools without engines. */
    std::vector<fleet::Address> holders(
        const PoolId& pool, const RequestId& attempt, size_t count) const;

private:
    using Notes = std::vector<streams::OriginNote>;

    void send(const fleet::Address& sidecar, Notes&& notes);
    void sendBatches();

    GatewayContext& m_context;
    PeerGroup& m_peers;
    /** Notes that wait, for each machine whose sidecar got some lately. */
    std::map<std::string, Notes> m_waiting;
    channels::Timer m_timer;
};

} // namespace citronspoke::gateway

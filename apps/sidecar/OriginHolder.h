#pragma once

#include "channels/Channels.h"
#include "peers/Peers.h"

namespace citronspoke::sidecar {

/**
 * Holds the origins of streams for gateways, which may all be killed at once, and replies to
 * gateways that look for them. Used by the event loop's thread only.
 */
class OriginHolder {
public:
    /** @param id of the sidecar, in its replies. */
    OriginHolder(channels::DatagramPort& port, const EntryId& id);

    void onBatch(const peers::OriginBatch& batch);
    void onQuery(const streams::OriginQuery& query);

private:
    channels::DatagramPort& m_port;
    EntryId m_id;
    streams::StreamOrigins m_origins;
};

} // namespace citronspoke::sidecar

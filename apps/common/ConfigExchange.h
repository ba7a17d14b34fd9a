#pragma once

#include "control/Control.h"
#include "transport/Transport.h"

namespace citronspoke {

/**
 * Propagates configurations between processes: one with an older revision pulls the newer one from
 * a peer. Not thread-safe.
 */
class ConfigExchange {
public:
    ConfigExchange(control::ConfigHolder& holder, transport::Mailbox& mailbox);

    /**
     * Pulls the configuration of a peer when the revision that it reported is newer than ours.
     * Pulls are rate-limited over all peers.
     */
    void noteRevision(const PeerAddress& peer, ConfigRevision revision);
    /** Sends our configuration when it is newer than that of the requester. */
    void handle(const protocol::ConfigPull& pull);
    /** Adopts the configuration when it is valid and newer than ours. */
    void handle(const protocol::ConfigPush& push);

private:
    control::ConfigHolder& m_holder;
    transport::Mailbox& m_mailbox;
    SteadyTime m_earliestNextPull;
};

} // namespace citronspoke

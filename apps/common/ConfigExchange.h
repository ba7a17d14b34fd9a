#pragma once

#include "control/Control.h"
#include "transport/Transport.h"

namespace citronspoke {

/** Passes configurations between peers: whoever is behind pulls from whoever is ahead. */
class ConfigExchange {
public:
    ConfigExchange(control::ConfigHolder& holder, transport::Mailbox& mailbox);

    /** Notes the revision that a peer has shown and pulls it when it is newer than ours. */
    void noteRevision(const PeerAddress& peer, ConfigRevision revision);
    void handle(const protocol::ConfigPull& pull);
    void handle(const protocol::ConfigPush& push);

private:
    control::ConfigHolder& m_holder;
    transport::Mailbox& m_mailbox;
    SteadyTime m_nextPull;
};

} // namespace citronspoke

#pragma once

#include "model/Model.h"

#include <map>

namespace citronspoke::dispatch {

/**
 * Age of what is known of the work of other gateways. A gateway reports each change of its work
 * within milliseconds, so silence means that nothing changed, and lost updates make reports old.
 */
class ReportAges {
public:
    /** An update of a peer was received. */
    void note(const EntryId& peer, uint64_t sequenceNumber, SteadyTime now);
    /** Drops peers that have sent nothing for a time; their work is dropped likewise. */
    void expire(SteadyTime now, Milliseconds timeout);
    /**
     * @param gateways number of gateways, this one included; of those that have not been heard
     *        nothing is known.
     * @return mean age over the peers.
     */
    double meanMs(uint32_t gateways, SteadyTime now) const;

private:
    struct Peer {
        uint64_t sequenceNumber = 0;
        SteadyTime heardAt {};
        /** Part of the recent updates that were lost. */
        double lostPart = 0;
    };
    double ageMs(const Peer& peer, SteadyTime now) const;

    std::map<EntryId, Peer> m_peers;
    /** The ages change slowly; their mean is kept for a moment. */
    mutable double m_meanMs = 0;
    mutable uint32_t m_meanGateways = 0;
    mutable SteadyTime m_meanAt {};
};

} // namespace citronspoke::dispatch

#pragma once

#include "journal/Journal.h"

namespace citronspoke::journal {

/**
 * A store lease that shows other processes that this shard owner is alive. It only decides when
 * another process may attempt to take over; the safety of commits does not depend on it.
 */
class OwnerLease {
public:
    OwnerLease(const platform::Store& store, const TargetId& self, const Incarnation& incarnation);
    ~OwnerLease();
    OwnerLease(const OwnerLease&) = delete;
    OwnerLease& operator=(const OwnerLease&) = delete;

    /** Acquires or renews the lease when a renewal is due. Failures are retried later. */
    void renewIfDue();
    /** @return whether the owner's lease exists. @throws platform::StoreUnavailable */
    bool isAlive(const TargetId& owner, const Incarnation& incarnation) const;

private:
    const platform::Store& m_store;
    std::string m_key;
    platform::LeaseId m_lease;
    SteadyTime m_nextRenewal;
};

} // namespace citronspoke::journal

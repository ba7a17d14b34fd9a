#pragma once

#include "journal/Journal.h"

namespace citronspoke::journal {

/**
 * Shows other processes that this owner is alive. It only says when a successor may try; no
 * commit is safe because of it.
 */
class OwnerLease {
public:
    OwnerLease(const platform::Store& store, const TargetId& self, const Incarnation& incarnation);
    ~OwnerLease();
    OwnerLease(const OwnerLease&) = delete;
    OwnerLease& operator=(const OwnerLease&) = delete;

    /** Takes or renews the lease when it is due. Failures are tried again later. */
    void maintain();
    /** @return whether an owner's lease exists. @throws platform::StoreUnavailable */
    bool isAlive(const TargetId& owner, const Incarnation& incarnation) const;

private:
    const platform::Store& m_store;
    std::string m_key;
    platform::LeaseId m_lease;
    SteadyTime m_due;
};

} // namespace citronspoke::journal

#include "OwnerLease.h"

namespace citronspoke::journal {

namespace {

    constexpr std::chrono::seconds LeaseTtl { 5 };
    constexpr Milliseconds RenewalInterval { 1500 };
    constexpr int WriteAttempts = 2;

    std::string leaseKey(const TargetId& owner, const Incarnation& incarnation)
    {
        return "journal-owners/" + owner.text() + "/" + incarnation.text();
    }

} // namespace

OwnerLease::OwnerLease(
    const platform::Store& store, const TargetId& self, const Incarnation& incarnation)
    : m_store(store)
    , m_key(leaseKey(self, incarnation))
{
}

OwnerLease::~OwnerLease()
{
    if (m_lease.value() != 0)
        m_store.revoke(m_lease);
}

void OwnerLease::renewIfDue()
{
    if (steadyNow() < m_nextRenewal)
        return;
    m_nextRenewal = steadyNow() + jittered(RenewalInterval);
    try {
        if (m_lease.value() != 0 && m_store.keepAlive(m_lease))
            return;
        m_lease = m_store.grantLease(LeaseTtl);
        platform::swapWithNonce(
            m_store, m_key, platform::AbsentKey, "alive", m_lease, WriteAttempts);
    } catch (const platform::StoreUnavailable&) {
        // Retried at the next renewal; until then other processes may take over the shards.
    }
}

bool OwnerLease::isAlive(const TargetId& owner, const Incarnation& incarnation) const
{
    return m_store.read(leaseKey(owner, incarnation)).has_value();
}

} // namespace citronspoke::journal

#include "duties/Duties.h"

#include <algorithm>

namespace citronspoke::duties {

DutyLease::DutyLease(const Options& options, BootTime startedAt)
    : m_options(options)
    , m_acquireNotBefore(startedAt + options.leaseTime + options.extraWait)
{
}

// The holder of the earlier era may act until its validity ends, whether or not it knows of the
// restore.
void DutyLease::noteRestored(BootTime now)
{
    m_isHeld = false;
    m_acquireNotBefore = now + m_options.leaseTime + m_options.extraWait;
}

bool DutyLease::mayAcquire(BootTime now) const { return !m_isHeld && now >= m_acquireNotBefore; }

void DutyLease::noteFencingNumber(FencingNumber number)
{
    m_greatestNumber = std::max(m_greatestNumber, number);
}

FencingNumber DutyLease::nextFencingNumber(UnixMillis trueTime) const
{
    return std::max(m_greatestNumber.next(), FencingNumber(trueTime.value()));
}

void DutyLease::noteAcquired(FencingNumber number, BootTime sentAt)
{
    m_isHeld = true;
    m_number = number;
    noteFencingNumber(number);
    m_renewedAt = sentAt;
    m_gapAt.reset();
    // Another process may have acted in between; the order A, B, A is forbidden within the lease
    // time.
    if (m_lastCall)
        m_actNotBefore = *m_lastCall + m_options.leaseTime;
}

void DutyLease::noteRenewed(BootTime sentAt)
{
    m_renewedAt = std::max(m_renewedAt, sentAt);
    if (m_gapAt && sentAt >= *m_gapAt)
        m_gapAt.reset();
}

void DutyLease::noteGap(BootTime now)
{
    if (m_isHeld)
        m_gapAt = now;
}

bool DutyLease::needsRenewal(BootTime now) const
{
    constexpr int RenewalsPerLease = 3;
    return m_isHeld
        && (m_gapAt.has_value() || now >= m_renewedAt + m_options.leaseTime / RenewalsPerLease);
}

bool DutyLease::mayAct(BootTime now) const
{
    return m_isHeld && !m_gapAt && now >= m_actNotBefore
        && now < m_renewedAt + m_options.leaseTime - m_options.safetyMargin;
}

} // namespace citronspoke::duties

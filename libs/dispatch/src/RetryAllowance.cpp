#include "dispatch/Dispatch.h"

namespace citronspoke::dispatch {

RetryAllowance::RetryAllowance(const Limits& limits)
    : m_limits(limits)
{
}

void RetryAllowance::updateEntries(uint32_t entries) { m_entries = entries; }

void RetryAllowance::noteRequest(const PoolId& pool, SteadyTime now)
{
    History& history = m_pools[pool];
    dropOld(history, now);
    history.requests.push_back(now);
}

bool RetryAllowance::trySpend(const PoolId& pool, SteadyTime now)
{
    History& history = m_pools[pool];
    dropOld(history, now);
    // The users count requests in the fuller of two windows; half of the share is always safe.
    constexpr double SafeShare = 0.5;
    double allowed = m_limits.share * SafeShare * static_cast<double>(history.requests.size());
    if (m_entries > 0)
        allowed += m_limits.fixedPart / m_entries;
    if (static_cast<double>(history.retries.size() + 1) > allowed)
        return false;
    history.retries.push_back(now);
    return true;
}

void RetryAllowance::dropOld(History& history, SteadyTime now) const
{
    for (std::deque<SteadyTime>* times : { &history.requests, &history.retries }) {
        while (!times->empty() && now - times->front() > m_limits.window)
            times->pop_front();
    }
}

} // namespace citronspoke::dispatch

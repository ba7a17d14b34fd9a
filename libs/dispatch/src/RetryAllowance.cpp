#include "dispatch/Dispatch.h"

#include <algorithm>

namespace citronspoke::dispatch {

namespace {

    /** Gateways and targets do not see a window's ends at the same moment. */
    constexpr double SafeShare = 0.9;

} // namespace

RetryAllowance::RetryAllowance(const Limits& limits, SteadyTime start)
    : m_limits(limits)
    , m_start(start)
{
}

double RetryAllowance::allowed(const History& history, SteadyTime now) const
{
    double retries = m_limits.share * static_cast<double>(history.requests.size());
    if (m_entries > 0) {
        const std::chrono::duration<double> age = now - m_start;
        const std::chrono::duration<double> window = m_limits.window;
        retries += m_limits.fixedPart / m_entries * std::clamp(age / window, 0.0, 1.0);
    }
    return SafeShare * retries;
}

void RetryAllowance::updateEntries(uint32_t entries) { m_entries = entries; }

void RetryAllowance::updateLimits(const Limits& limits) { m_limits = limits; }

void RetryAllowance::noteRequest(const PoolId& pool, SteadyTime now)
{
    History& history = m_pools[pool];
    dropOld(history, now);
    history.requests.push_back(now);
}

bool RetryAllowance::trySpend(const PoolId& pool, uint32_t sends, SteadyTime now)
{
    History& history = m_pools[pool];
    dropOld(history, now);
    if (static_cast<double>(history.retries.size() + sends) > allowed(history, now))
        return false;
    history.retries.insert(history.retries.end(), sends, now);
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

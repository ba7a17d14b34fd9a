#include "dispatch/Dispatch.h"

#include <algorithm>

namespace citronspoke::dispatch {

namespace {

    /** Keeps the retries below the limit although the windows of entries and targets do not begin
     * and end at the same moment. */
    constexpr double SafetyFactor = 0.9;

} // namespace

RetryBudget::RetryBudget(const Limits& limits, SteadyTime start)
    : m_limits(limits)
    , m_start(start)
{
}

double RetryBudget::allowedRetries(const History& history, SteadyTime now) const
{
    double retries = m_limits.share * static_cast<double>(history.requests.size());
    if (m_entries > 0) {
        const std::chrono::duration<double> age = now - m_start;
        const std::chrono::duration<double> window = m_limits.window;
        retries += m_limits.fixedPart / m_entries * std::clamp(age / window, 0.0, 1.0);
    }
    return SafetyFactor * retries;
}

void RetryBudget::updateEntries(uint32_t entries) { m_entries = entries; }

void RetryBudget::updateLimits(const Limits& limits) { m_limits = limits; }

void RetryBudget::noteRequest(const PoolId& pool, SteadyTime now)
{
    History& history = m_pools[pool];
    dropExpired(history, now);
    history.requests.push_back(now);
}

bool RetryBudget::trySpend(const PoolId& pool, uint32_t sends, SteadyTime now)
{
    History& history = m_pools[pool];
    dropExpired(history, now);
    if (static_cast<double>(history.retries.size() + sends) > allowedRetries(history, now))
        return false;
    history.retries.insert(history.retries.end(), sends, now);
    return true;
}

RetryBudget::Balance RetryBudget::balance(const PoolId& pool, SteadyTime now)
{
    History& history = m_pools[pool];
    dropExpired(history, now);
    return { allowedRetries(history, now) - static_cast<double>(history.retries.size()),
        history.requests.size(), m_entries,
        std::chrono::duration_cast<Milliseconds>(now - m_start) };
}

void RetryBudget::dropExpired(History& history, SteadyTime now) const
{
    for (std::deque<SteadyTime>* times : { &history.requests, &history.retries }) {
        while (!times->empty() && now - times->front() > m_limits.window)
            times->pop_front();
    }
}

} // namespace citronspoke::dispatch

#include "RetryLimit.h"

#include <algorithm>
#include <span>

namespace citronspoke::soak {

namespace {

    size_t countWithin(std::span<const SteadyTime> times, SteadyTime begin, SteadyTime end)
    {
        return static_cast<size_t>(std::lower_bound(times.begin(), times.end(), end)
            - std::lower_bound(times.begin(), times.end(), begin));
    }

} // namespace

void RetryLimit::recordRequest(const std::string& pool, SteadyTime now)
{
    m_pools[pool].requests.push_back(now);
}

void RetryLimit::recordArrival(
    const std::string& pool, const std::string& attempt, bool isPrefill, SteadyTime now)
{
    if (attempt.empty())
        return;
    // The first prefill is not extra, beside the first run.
    std::set<std::string>& arrived = isPrefill ? m_prefilled : m_run;
    if (!arrived.insert(attempt).second)
        m_pools[pool].retries.push_back(now);
}

std::vector<RetryLimit::Use> RetryLimit::worstUses() const
{
    std::vector<Use> uses;
    for (const auto& [pool, counts] : m_pools)
        uses.push_back(worstUse(pool, counts));
    return uses;
}

RetryLimit::Use RetryLimit::worstUse(const std::string& pool, const Counts& counts)
{
    Use worst { pool, 0, FixedPart };
    for (const SteadyTime begin : counts.retries) {
        const SteadyTime end = begin + Window;
        const size_t retries = countWithin(counts.retries, begin, end);
        const size_t requests = std::max({ countWithin(counts.requests, begin, end),
            countWithin(counts.requests, begin - Window, begin),
            countWithin(counts.requests, begin - Window / 2, end - Window / 2) });
        const double allowed = Share * static_cast<double>(requests) + FixedPart;
        if (static_cast<double>(retries) * worst.allowed
            > static_cast<double>(worst.retries) * allowed)
            worst = { pool, retries, allowed };
    }
    return worst;
}

} // namespace citronspoke::soak

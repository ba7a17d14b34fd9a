#include "dispatch/Dispatch.h"

#include <algorithm>

namespace citronspoke::dispatch {

namespace {

    /** Keeps the retries below the limit although a retry may reach its target in a later window
     * than that in which it was charged. */
    constexpr double SafetyFactor = 0.9;
    /** Part of the limit that is earned; the rest is the most that is kept. */
    constexpr double EarnedPart = 0.5;
    constexpr double KeptPart = 1 - EarnedPart;

} // namespace

RetryBudget::RetryBudget(const Limits& limits, SteadyTime start)
    : m_limits(limits)
    , m_start(start)
{
}

void RetryBudget::updateEntries(uint32_t entries) { m_entries = entries; }

void RetryBudget::updateLimits(const Limits& limits) { m_limits = limits; }

void RetryBudget::noteRequest(const PoolId& pool, SteadyTime now)
{
    Credit& credit = updateCredit(pool, now);
    credit.requests.push_back(now);
    const double earned = SafetyFactor * EarnedPart * m_limits.share;
    credit.fromRequests = std::min(credit.fromRequests + earned, keptRequestCredit(credit));
}

bool RetryBudget::trySpend(const PoolId& pool, uint32_t sends, SteadyTime now)
{
    Credit& credit = updateCredit(pool, now);
    if (credit.available() < sends)
        return false;
    const double spentRequestCredit = std::min<double>(credit.fromRequests, sends);
    credit.fromRequests -= spentRequestCredit;
    credit.fromFixedPart -= sends - spentRequestCredit;
    return true;
}

RetryBudget::Balance RetryBudget::balance(const PoolId& pool, SteadyTime now)
{
    const Credit& credit = updateCredit(pool, now);
    return { credit.available(), credit.requests.size(), m_entries,
        std::chrono::duration_cast<Milliseconds>(now - m_start) };
}

RetryBudget::Credit& RetryBudget::updateCredit(const PoolId& pool, SteadyTime now)
{
    Credit& credit = m_pools.try_emplace(pool, Credit { {}, 0, 0, m_start }).first->second;
    while (!credit.requests.empty() && now - credit.requests.front() > m_limits.window)
        credit.requests.pop_front();
    credit.fromRequests = std::min(credit.fromRequests, keptRequestCredit(credit));
    const double fixedPart = m_entries > 0 ? SafetyFactor * m_limits.fixedPart / m_entries : 0;
    const std::chrono::duration<double> elapsed = now - credit.updatedAt;
    const std::chrono::duration<double> window = m_limits.window;
    credit.fromFixedPart = std::min(
        credit.fromFixedPart + EarnedPart * fixedPart * (elapsed / window), KeptPart * fixedPart);
    credit.updatedAt = now;
    return credit;
}

double RetryBudget::keptRequestCredit(const Credit& credit) const
{
    return SafetyFactor * KeptPart * m_limits.share * static_cast<double>(credit.requests.size());
}

} // namespace citronspoke::dispatch

#include "decisions/Decisions.h"

#include <algorithm>

namespace citronspoke::decisions {

RetryBudget::RetryBudget(double share, uint32_t burst)
    : m_share(share)
    , m_burst(burst)
    , m_available(burst)
{
}

void RetryBudget::noteRequest() { m_available = std::min(m_burst, m_available + m_share); }

bool RetryBudget::trySpend()
{
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

LimitShare divideLimit(uint32_t concurrentRequests, uint64_t tokensPerMinute, uint32_t entries)
{
    const uint32_t parts = std::max(1U, entries);
    LimitShare share;
    share.concurrentRequests = std::max(1U, concurrentRequests / parts);
    share.tokensPerMinute = static_cast<double>(tokensPerMinute) / parts;
    return share;
}

std::optional<Milliseconds> Limiter::tryAdmit(
    const LimitShare& share, uint32_t tokens, SteadyTime now)
{
    constexpr double MsPerMinute = 60000;
    constexpr Milliseconds RetryWhenBusy { 500 };
    if (!m_isInitialised) {
        m_isInitialised = true;
        m_tokens = share.tokensPerMinute;
        m_refilledAt = now;
    }
    const std::chrono::duration<double, std::milli> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_tokens = std::min(
        share.tokensPerMinute, m_tokens + elapsed.count() * share.tokensPerMinute / MsPerMinute);
    if (m_running >= share.concurrentRequests)
        return RetryWhenBusy;
    // A request larger than the bucket is admitted when the bucket is full, or it never would be.
    const double needed = std::min<double>(tokens, share.tokensPerMinute);
    if (m_tokens < needed) {
        const double wait = (needed - m_tokens) / share.tokensPerMinute * MsPerMinute;
        return Milliseconds(static_cast<int64_t>(wait) + 1);
    }
    m_tokens -= needed;
    m_running += 1;
    return std::nullopt;
}

void Limiter::noteFinished()
{
    require(m_running > 0, "a finished request was admitted and is still running");
    m_running -= 1;
}

} // namespace citronspoke::decisions

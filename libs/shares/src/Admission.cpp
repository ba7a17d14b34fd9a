#include "shares/Shares.h"

#include <algorithm>

namespace citronspoke::shares {

namespace {

    /** Callers accept a wait of at most this fraction (1/n) of their remaining time. */
    constexpr int RetryAfterDivisor = 3;
    /** A large request is refused for its wait, not for its size: its own duration counts as at
     * most this fraction (1/n) of the caller's time. */
    constexpr int DurationDivisor = 2;
    /** The places of callers that return later than expected are free for others. */
    constexpr Milliseconds ReturnTolerance { 250 };
    /** Callers' timers and the network differ by this much. */
    constexpr Milliseconds EarlyReturn { 20 };
    /** Shorter waits are noise. */
    constexpr Milliseconds MinSampleWait { 20 };
    constexpr double SampleWeight = 0.05;
    /** A factor that grew without limit would refuse everything and learn nothing any more. */
    constexpr double MaxWaitFactor = 4;
    constexpr Milliseconds ExpiryInterval { 250 };
    /** Returns that are remembered; each takes 48 bytes. */
    constexpr size_t MaxReturns = 2048;

    bool isInTime(const AdmissionRequest& request, Milliseconds reserved)
    {
        const Milliseconds duration
            = std::min(request.duration, request.timeLeft / DurationDivisor);
        return request.wait + reserved + duration <= request.timeLeft;
    }

    /** The return is spread over half of the time that the caller accepts, or over all of it that
     * comes after the backlog has halved. */
    Milliseconds returnTime(const AdmissionRequest& request, double draw)
    {
        const Milliseconds longest
            = std::max(Milliseconds(0), request.timeLeft / RetryAfterDivisor);
        const Milliseconds earliest = std::clamp(request.wait / 2, Milliseconds(0), longest / 2);
        return earliest
            + Milliseconds(
                static_cast<int64_t>(draw * static_cast<double>((longest - earliest).count())));
    }

} // namespace

std::optional<Milliseconds> Admission::refusal(const AdmissionRequest& request,
    const PoolState& state, uint32_t engines, double draw, SteadyTime now)
{
    expire(now);
    const bool returns = isReturning(request.fingerprint, now);
    const auto known = m_returns.find(request.fingerprint);
    if (state.isIdle()) {
        if (known != m_returns.end())
            m_returns.erase(known);
        return std::nullopt;
    }
    const Milliseconds reserved = returns ? Milliseconds(0) : reservedTime(request, engines, now);
    AdmissionRequest expected = request;
    expected.wait = Milliseconds(static_cast<int64_t>(static_cast<double>(request.wait.count())
        * m_waitFactors[rankOf(request.priority, request.isOverShare)]));
    if (isInTime(expected, reserved)) {
        if (returns)
            m_returns.erase(known);
        return std::nullopt;
    }
    if (known != m_returns.end() && !returns) {
        // A caller that repeats at once gets no earlier place than it was told.
        return std::clamp(std::chrono::duration_cast<Milliseconds>(known->second.at - now),
            Milliseconds(0), std::max(Milliseconds(0), request.timeLeft / RetryAfterDivisor));
    }
    const Milliseconds wait = returnTime(expected, draw);
    if (m_returns.size() < MaxReturns)
        m_returns[request.fingerprint] = { now + wait, request.priority, request.duration };
    return wait;
}

bool Admission::isReturning(uint64_t fingerprint, SteadyTime now) const
{
    const auto found = m_returns.find(fingerprint);
    return found != m_returns.end() && now + EarlyReturn >= found->second.at;
}

size_t Admission::rankOf(uint32_t priority, bool isOverShare)
{
    return std::min<size_t>(priority, Ranks / 2 - 1) * 2 + (isOverShare ? 1 : 0);
}

void Admission::noteWaited(
    uint32_t priority, bool isOverShare, Milliseconds expected, Milliseconds waited)
{
    if (expected < MinSampleWait)
        return;
    double& factor = m_waitFactors[rankOf(priority, isOverShare)];
    const double sample
        = static_cast<double>(waited.count()) / static_cast<double>(expected.count());
    factor = std::clamp(factor + SampleWeight * (sample - factor), 1.0, MaxWaitFactor);
}

Milliseconds Admission::reservedTime(
    const AdmissionRequest& request, uint32_t engines, SteadyTime now) const
{
    Milliseconds reserved { 0 };
    for (const auto& [fingerprint, expected] : m_returns) {
        if (expected.priority <= request.priority && expected.at <= now + request.wait)
            reserved += expected.duration;
    }
    return reserved / std::max(engines, 1U);
}

void Admission::expire(SteadyTime now)
{
    if (now - m_expiredAt < ExpiryInterval)
        return;
    m_expiredAt = now;
    std::erase_if(
        m_returns, [now](const auto& item) { return item.second.at + ReturnTolerance < now; });
}

} // namespace citronspoke::shares

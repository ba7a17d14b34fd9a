#include "LoadMeter.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace citronspoke::agent {

namespace {

    constexpr double Smoothing = 0.05;
    /** Busy time after which a new value of the prefill rate is taken. */
    constexpr double WindowSeconds = 0.5;
    constexpr double WindowSmoothing = 0.3;
    /** Tokens a second to start from, by role: mixed, prefill, decode. */
    constexpr std::array<double, 3> FirstPrefillRates { 30000, 40000, 15000 };
    constexpr std::array<double, 3> FirstStepMs { 8, 15, 6 };
    constexpr double LongestGapMs = 500;
    /** Time constant of the exponential mean of arriving tokens. */
    constexpr double DemandSeconds = 3;

    double decayed(double demand, SteadyTime since, SteadyTime now)
    {
        const std::chrono::duration<double> elapsed = now - since;
        return demand * std::exp(-elapsed.count() / DemandSeconds);
    }

} // namespace

void LoadMeter::noteReading(size_t reading, SteadyTime now)
{
    if (m_reading > 0) {
        const std::chrono::duration<double> busy = now - m_readingSince;
        m_windowSeconds += busy.count();
    }
    m_reading = reading;
    m_readingSince = now;
    if (m_windowSeconds < WindowSeconds)
        return;
    const double rate = m_windowTokens / m_windowSeconds;
    if (rate > 0)
        m_prefillRate += WindowSmoothing * (rate - m_prefillRate);
    m_windowSeconds = 0;
    m_windowTokens = 0;
}

void LoadMeter::notePromptRead(uint32_t tokens, SteadyTime) { m_windowTokens += tokens; }

void LoadMeter::noteDemand(uint32_t promptTokens, uint32_t outputTokens, SteadyTime now)
{
    m_promptDemand = promptDemandPerSecond(now) + promptTokens / DemandSeconds;
    m_outputDemand = outputDemandPerSecond(now) + outputTokens / DemandSeconds;
    m_demandAt = now;
}

double LoadMeter::promptDemandPerSecond(SteadyTime now) const
{
    return decayed(m_promptDemand, m_demandAt, now);
}

double LoadMeter::outputDemandPerSecond(SteadyTime now) const
{
    return decayed(m_outputDemand, m_demandAt, now);
}

void LoadMeter::noteTokenGap(SteadyTime previous, SteadyTime now)
{
    const std::chrono::duration<double, std::milli> gap = now - previous;
    m_stepMs += Smoothing * (std::min(gap.count(), LongestGapMs) - m_stepMs);
}

void LoadMeter::reset(EngineRole role)
{
    m_prefillRate = FirstPrefillRates[static_cast<size_t>(role)];
    m_stepMs = FirstStepMs[static_cast<size_t>(role)];
    m_windowSeconds = 0;
    m_windowTokens = 0;
}

} // namespace citronspoke::agent

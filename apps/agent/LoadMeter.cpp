#include "LoadMeter.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace citronspoke::agent {

namespace {

    constexpr double DecodeStepSmoothing = 0.05;
    /** Prefill time after which the prefill rate is updated. */
    constexpr double PrefillWindowSeconds = 0.5;
    constexpr double PrefillRateSmoothing = 0.3;
    /** Prompt tokens per second assumed at first, by role: mixed, prefill, decode. */
    constexpr std::array<double, 3> InitialPrefillRates { 30000, 40000, 15000 };
    constexpr std::array<double, 3> InitialDecodeStepMs { 8, 15, 6 };
    constexpr double MaxTokenGapMs = 500;
    /** Time constant of the exponentially decaying mean of arriving tokens. */
    constexpr double DemandTimeConstantSeconds = 3;

    double decayed(double demand, SteadyTime since, SteadyTime now)
    {
        const std::chrono::duration<double> elapsed = now - since;
        return demand * std::exp(-elapsed.count() / DemandTimeConstantSeconds);
    }

} // namespace

void LoadMeter::notePrefillingCount(size_t prefilling, SteadyTime now)
{
    if (m_prefillingCount > 0) {
        const std::chrono::duration<double> busy = now - m_prefillingSince;
        m_windowBusySeconds += busy.count();
    }
    m_prefillingCount = prefilling;
    m_prefillingSince = now;
    if (m_windowBusySeconds < PrefillWindowSeconds)
        return;
    const double rate = m_windowTokens / m_windowBusySeconds;
    if (rate > 0)
        m_prefillRate += PrefillRateSmoothing * (rate - m_prefillRate);
    m_windowBusySeconds = 0;
    m_windowTokens = 0;
}

void LoadMeter::notePrefilledPrompt(uint32_t tokens, SteadyTime) { m_windowTokens += tokens; }

void LoadMeter::noteDemand(uint32_t promptTokens, uint32_t outputTokens, SteadyTime now)
{
    m_promptDemand = promptDemandPerSecond(now) + promptTokens / DemandTimeConstantSeconds;
    m_outputDemand = outputDemandPerSecond(now) + outputTokens / DemandTimeConstantSeconds;
    m_demandUpdatedAt = now;
}

double LoadMeter::promptDemandPerSecond(SteadyTime now) const
{
    return decayed(m_promptDemand, m_demandUpdatedAt, now);
}

double LoadMeter::outputDemandPerSecond(SteadyTime now) const
{
    return decayed(m_outputDemand, m_demandUpdatedAt, now);
}

void LoadMeter::noteTokenGap(SteadyTime previous, SteadyTime now)
{
    const std::chrono::duration<double, std::milli> gap = now - previous;
    m_stepMs += DecodeStepSmoothing * (std::min(gap.count(), MaxTokenGapMs) - m_stepMs);
}

void LoadMeter::reset(EngineRole role)
{
    m_prefillRate = InitialPrefillRates[static_cast<size_t>(role)];
    m_stepMs = InitialDecodeStepMs[static_cast<size_t>(role)];
    m_windowBusySeconds = 0;
    m_windowTokens = 0;
}

} // namespace citronspoke::agent

#pragma once

#include "model/Model.h"

namespace citronspoke::agent {

/**
 * Measures how fast an engine prefills and decodes, from the times of its output tokens, and the
 * demand of arriving requests.
 */
class LoadMeter {
public:
    /** @param prefilling number of prompts that the engine is prefilling now. */
    void notePrefillingCount(size_t prefilling, SteadyTime now);
    /** The engine has prefilled a prompt of @p tokens tokens. */
    void notePrefilledPrompt(uint32_t tokens, SteadyTime now);
    /** A request arrived with this many prompt and output tokens. */
    void noteDemand(uint32_t promptTokens, uint32_t outputTokens, SteadyTime now);
    /** Two consecutive output tokens of a stream arrived at these times. */
    void noteTokenGap(SteadyTime previous, SteadyTime now);
    /** Resets the speeds to initial values of @p role, since they depend on the role. */
    void reset(EngineRole role);

    double prefillTokensPerSecond() const noexcept { return m_prefillRate; }
    double decodeStepMs() const noexcept { return m_stepMs; }
    double promptDemandPerSecond(SteadyTime now) const;
    double outputDemandPerSecond(SteadyTime now) const;

private:
    double m_prefillRate = 20000;
    double m_stepMs = 6;
    size_t m_prefillingCount = 0;
    SteadyTime m_prefillingSince;
    double m_windowBusySeconds = 0;
    double m_windowTokens = 0;
    double m_promptDemand = 0;
    double m_outputDemand = 0;
    SteadyTime m_demandUpdatedAt;
};

} // namespace citronspoke::agent

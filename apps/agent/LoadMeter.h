#pragma once

#include "model/Model.h"

namespace citronspoke::agent {

/** Measures how fast an engine reads prompts and generates tokens, from what it streams. */
class LoadMeter {
public:
    /** @param reading prompts that the engine is reading now. */
    void noteReading(size_t reading, SteadyTime now);
    void notePromptRead(uint32_t tokens, SteadyTime now);
    /** A request arrived with so many prompt and output tokens. */
    void noteDemand(uint32_t promptTokens, uint32_t outputTokens, SteadyTime now);
    void noteTokenGap(SteadyTime previous, SteadyTime now);
    /** Forgets the rates, since they depend on the role. */
    void reset(EngineRole role);

    double prefillTokensPerSecond() const noexcept { return m_prefillRate; }
    double decodeStepMs() const noexcept { return m_stepMs; }
    double promptDemandPerSecond(SteadyTime now) const;
    double outputDemandPerSecond(SteadyTime now) const;

private:
    double m_prefillRate = 20000;
    double m_stepMs = 6;
    size_t m_reading = 0;
    SteadyTime m_readingSince;
    double m_windowSeconds = 0;
    double m_windowTokens = 0;
    double m_promptDemand = 0;
    double m_outputDemand = 0;
    SteadyTime m_demandAt;
};

} // namespace citronspoke::agent

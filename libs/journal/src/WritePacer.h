#pragma once

#include "model/Model.h"

#include <algorithm>

namespace citronspoke::journal {

/** Keeps an owner to so many writes a second, whatever the number of calls. */
class WritePacer {
public:
    void noteWrite() { m_available -= 1; }

    /** @return how long to wait, so that later calls share the next write. */
    Milliseconds delay()
    {
        const SteadyTime now = steadyNow();
        const std::chrono::duration<double> elapsed = now - m_refilled;
        m_refilled = now;
        m_available = std::min(Burst, m_available + elapsed.count() * WritesPerSecond);
        if (m_available >= 1)
            return Milliseconds(0);
        constexpr double MsPerSecond = 1000;
        return Milliseconds(
            static_cast<int64_t>((1 - m_available) / WritesPerSecond * MsPerSecond));
    }

private:
    static constexpr double WritesPerSecond = 40;
    static constexpr double Burst = 20;

    double m_available = Burst;
    SteadyTime m_refilled = steadyNow();
};

} // namespace citronspoke::journal

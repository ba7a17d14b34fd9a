#pragma once

#include "model/Model.h"

#include <algorithm>

namespace citronspoke::journal {

/** Token bucket that limits the writes per second of one owner, whatever the number of calls. */
class WritePacer {
public:
    void noteWrite() { m_availableWrites -= 1; }

    /**
     * @return how long to wait before the next write, so that later calls share it; zero while
     * within the limit.
     */
    Milliseconds delay()
    {
        const SteadyTime now = steadyNow();
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_refilledAt = now;
        m_availableWrites
            = std::min(BurstWrites, m_availableWrites + elapsed.count() * WritesPerSecond);
        if (m_availableWrites >= 1)
            return Milliseconds(0);
        constexpr double MsPerSecond = 1000;
        return Milliseconds(
            static_cast<int64_t>((1 - m_availableWrites) / WritesPerSecond * MsPerSecond));
    }

private:
    static constexpr double WritesPerSecond = 40;
    static constexpr double BurstWrites = 20;

    double m_availableWrites = BurstWrites;
    SteadyTime m_refilledAt = steadyNow();
};

} // namespace citronspoke::journal

#pragma once

#include "model/Model.h"

namespace citronspoke::gateway {

/** @return the time since @p start. */
inline Milliseconds since(SteadyTime start)
{
    return std::chrono::duration_cast<Milliseconds>(steadyNow() - start);
}

/** @return the count of milliseconds, as log lines show it. */
inline std::string millisecondsText(Milliseconds duration)
{
    return std::to_string(duration.count());
}

/** @return the duration in seconds with three decimals. */
inline std::string secondsText(Milliseconds duration)
{
    constexpr int64_t MsPerSecond = 1000;
    const std::string fraction = std::to_string(MsPerSecond + duration.count() % MsPerSecond);
    return std::to_string(duration.count() / MsPerSecond) + "." + fraction.substr(1);
}

} // namespace citronspoke::gateway

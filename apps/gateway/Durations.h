#pragma once

#include "model/Model.h"

namespace citronspoke::gateway {

/** @return the time since @p start. */
inline Milliseconds since(SteadyTime start)
{
    return std::chrono::duration_cast<Milliseconds>(steadyNow() - start);
}

/** @return the count of milliseconds, as log lines show it. */
inline std::string text(Milliseconds duration) { return std::to_string(duration.count()); }

} // namespace citronspoke::gateway

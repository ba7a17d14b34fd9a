#pragma once

#include "roles/Roles.h"

namespace citronspoke::roles::tests {

/** @return an engine that serves in a role. */
inline PlannedEngine engine(const std::string& id, EngineRole role, int64_t registration,
    const std::string& zone = "zone-a")
{
    PlannedEngine engine;
    engine.record.id = TargetId(id);
    engine.record.zone = ZoneId(zone);
    engine.record.role = role;
    engine.record.registration = fleet::RegistrationNumber(registration);
    return engine;
}

/** @return a time after the start of the test's clock. */
inline SteadyTime at(Milliseconds time) { return SteadyTime {} + std::chrono::hours(1) + time; }

} // namespace citronspoke::roles::tests

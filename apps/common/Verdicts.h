#pragma once

#include "decisions/Decisions.h"
#include "protocol/Protocol.h"

namespace citronspoke {

/** @return the crash records in the form that is sent between processes. */
std::vector<protocol::CrashVerdict> toVerdicts(const decisions::CrashHistory& history);
/** Merges the crash records of a peer into the local ones. */
void mergeVerdicts(
    decisions::CrashHistory& history, std::span<const protocol::CrashVerdict> crashRecords);

} // namespace citronspoke

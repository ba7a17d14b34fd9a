#pragma once

#include "decisions/Decisions.h"
#include "protocol/Protocol.h"

namespace citronspoke {

/** @return the crash records in the form that is sent between processes. */
std::vector<protocol::CrashRecord> toCrashRecords(const decisions::CrashHistory& history);
/** Merges the crash records of a peer into the local ones. */
void mergeCrashRecords(
    decisions::CrashHistory& history, std::span<const protocol::CrashRecord> crashRecords);

} // namespace citronspoke

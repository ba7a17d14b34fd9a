#pragma once

#include "decisions/Decisions.h"
#include "protocol/Protocol.h"

namespace citronspoke {

/** @return the ledger's records as they travel between processes. */
std::vector<protocol::CrashVerdict> toVerdicts(const decisions::CrashLedger& ledger);
/** Merges what a peer knows into a ledger. */
void mergeVerdicts(
    decisions::CrashLedger& ledger, std::span<const protocol::CrashVerdict> verdicts);

} // namespace citronspoke

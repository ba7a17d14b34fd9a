#include "Verdicts.h"

namespace citronspoke {

std::vector<protocol::CrashVerdict> toVerdicts(const decisions::CrashHistory& history)
{
    std::vector<protocol::CrashVerdict> crashRecords;
    for (const auto& [fingerprint, record] : history.records(unixNow())) {
        crashRecords.push_back(
            { fingerprint, { record.crashes.begin(), record.crashes.end() }, record.expires });
    }
    return crashRecords;
}

void mergeVerdicts(
    decisions::CrashHistory& history, std::span<const protocol::CrashVerdict> crashRecords)
{
    for (const protocol::CrashVerdict& crashRecord : crashRecords) {
        history.merge(crashRecord.fingerprint,
            { { crashRecord.crashes.begin(), crashRecord.crashes.end() }, crashRecord.expires });
    }
}

} // namespace citronspoke

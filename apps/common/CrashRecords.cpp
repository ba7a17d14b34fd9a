#include "CrashRecords.h"

namespace citronspoke {

std::vector<protocol::CrashRecord> toCrashRecords(const decisions::CrashHistory& history)
{
    std::vector<protocol::CrashRecord> crashRecords;
    for (const auto& [fingerprint, record] : history.records(unixNow())) {
        crashRecords.push_back(
            { fingerprint, { record.crashes.begin(), record.crashes.end() }, record.expires });
    }
    return crashRecords;
}

void mergeCrashRecords(
    decisions::CrashHistory& history, std::span<const protocol::CrashRecord> crashRecords)
{
    for (const protocol::CrashRecord& crashRecord : crashRecords) {
        history.merge(crashRecord.fingerprint,
            { { crashRecord.crashes.begin(), crashRecord.crashes.end() }, crashRecord.expires });
    }
}

} // namespace citronspoke

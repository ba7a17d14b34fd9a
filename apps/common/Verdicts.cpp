#include "Verdicts.h"

namespace citronspoke {

std::vector<protocol::CrashVerdict> toVerdicts(const decisions::CrashLedger& ledger)
{
    std::vector<protocol::CrashVerdict> verdicts;
    for (const auto& [fingerprint, record] : ledger.records(unixNow())) {
        verdicts.push_back(
            { fingerprint, { record.crashes.begin(), record.crashes.end() }, record.expires });
    }
    return verdicts;
}

void mergeVerdicts(decisions::CrashLedger& ledger, std::span<const protocol::CrashVerdict> verdicts)
{
    for (const protocol::CrashVerdict& verdict : verdicts) {
        ledger.merge(verdict.fingerprint,
            { { verdict.crashes.begin(), verdict.crashes.end() }, verdict.expires });
    }
}

} // namespace citronspoke

#include "decisions/Decisions.h"

#include <algorithm>

namespace citronspoke::decisions {

bool CrashHistory::isQuarantined(const Record& record) const noexcept
{
    return record.crashes.size() >= m_quarantineThreshold;
}

void CrashHistory::noteCrash(uint64_t crash, std::span<const uint64_t> running, UnixMillis now)
{
    std::erase_if(m_records, [now](const auto& item) { return item.second.expires < now; });
    const UnixMillis expires(now.value() + RecordLifetime.count());
    std::vector<uint64_t> suspects;
    for (const uint64_t fingerprint : running) {
        if (suspicion(fingerprint, now) != Suspicion::None)
            suspects.push_back(fingerprint);
    }
    // A known suspect is the likely cause, so the other running requests are not blamed.
    const std::span<const uint64_t> blamed = suspects.empty() ? running : suspects;
    for (const uint64_t fingerprint : blamed) {
        Record& record = m_records[fingerprint];
        record.crashes.insert(crash);
        record.expires = expires;
    }
}

void CrashHistory::noteFinished(uint64_t fingerprint)
{
    auto found = m_records.find(fingerprint);
    if (found != m_records.end() && !isQuarantined(found->second))
        m_records.erase(found);
}

Suspicion CrashHistory::suspicion(uint64_t fingerprint, UnixMillis now) const
{
    auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.expires < now)
        return Suspicion::None;
    return isQuarantined(found->second) ? Suspicion::Quarantined : Suspicion::Suspect;
}

UnixMillis CrashHistory::expiryOf(uint64_t fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? UnixMillis(0) : found->second.expires;
}

std::vector<uint64_t> CrashHistory::crashesOf(uint64_t fingerprint) const
{
    auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return {};
    return { found->second.crashes.begin(), found->second.crashes.end() };
}

void CrashHistory::merge(uint64_t fingerprint, const Record& record)
{
    Record& known = m_records[fingerprint];
    known.crashes.insert(record.crashes.begin(), record.crashes.end());
    known.expires = std::max(known.expires, record.expires);
}

std::map<uint64_t, CrashHistory::Record> CrashHistory::records(UnixMillis now) const
{
    std::map<uint64_t, Record> current;
    for (const auto& [fingerprint, record] : m_records) {
        if (record.expires >= now)
            current[fingerprint] = record;
    }
    return current;
}

} // namespace citronspoke::decisions

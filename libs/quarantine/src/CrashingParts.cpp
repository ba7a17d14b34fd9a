#include "quarantine/Quarantine.h"

#include <algorithm>
#include <cctype>

namespace citronspoke::quarantine {

namespace {

    /** Parts that a gateway remembers as served: several times what it serves in their lifetime. */
    constexpr size_t MaxServedParts = 32768;
    constexpr size_t MaxRecords = 1024;
    /** Crashes of one part that are kept; a report of them fits into a datagram. */
    constexpr size_t MaxCrashesPerPart = 16;
    constexpr size_t MaxWithdrawn = 64;
    /** Longer ids are hashed, so that reports of them fit into datagrams. */
    constexpr size_t MaxPlainIdLength = 32;
    /** Longer than a change of the store takes to reach all gateways. */
    constexpr Milliseconds ReleaseNoticeTime { 5000 };

    bool isPlainId(std::string_view id)
    {
        return id.size() <= MaxPlainIdLength && std::all_of(id.begin(), id.end(), [](char letter) {
            return std::isalnum(static_cast<unsigned char>(letter)) != 0;
        });
    }

} // namespace

std::vector<PromptPartId> sharedParts(const fleet::Prompt& prompt)
{
    std::vector<PromptPartId> parts;
    if (prompt.parts.empty())
        return parts;
    for (const fleet::PromptPart& part : std::span(prompt.parts).first(prompt.parts.size() - 1))
        parts.emplace_back(
            isPlainId(part.id) ? part.id : "#" + std::to_string(stableHash(part.id)));
    return parts;
}

CrashKey crashOf(const fleet::TargetRecord& target)
{
    // The number of a registration changes when the store is restored; the start does not.
    const std::string incarnation = target.startedAt.value() != 0
        ? std::to_string(target.startedAt.value())
        : std::to_string(target.registration.storeEra) + "/"
            + std::to_string(target.registration.number);
    return CrashKey(static_cast<int64_t>(stableHash(target.id.text() + "/" + incarnation)));
}

CrashingParts::CrashingParts()
    : m_servedHere(ServedLifetime, MaxServedParts)
    , m_servedElsewhere(ServedLifetime, MaxServedParts)
{
}

std::vector<PromptPartId> CrashingParts::noteCrash(
    CrashKey crash, std::span<const PromptPartId> parts, SteadyTime now)
{
    expire(now);
    std::vector<PromptPartId> blamed;
    if (isWithdrawn(crash))
        return blamed;
    for (const PromptPartId& part : parts) {
        const bool isServed
            = m_servedHere.contains(part, now) || m_servedElsewhere.contains(part, now);
        if (!isServed && count(part, crash, now))
            blamed.push_back(part);
    }
    return blamed;
}

bool CrashingParts::count(const PromptPartId& part, CrashKey crash, SteadyTime now)
{
    if (!m_records.contains(part))
        makeRoom();
    Record& record = m_records[part];
    const bool isNew
        = record.crashes.size() < MaxCrashesPerPart && record.crashes.insert(crash).second;
    if (!record.quarantinedAt && isNew) {
        record.expires = now + SuspicionLifetime;
        quarantineIfDue(record, now);
    }
    return isNew;
}

bool CrashingParts::quarantineIfDue(Record& record, SteadyTime now)
{
    // Prompts that were served lately do not have the part: it would not be suspected.
    if (record.quarantinedAt || record.crashes.size() < CrashesToQuarantine
        || m_servedHere.empty(now))
        return false;
    quarantine(record, now);
    return true;
}

void CrashingParts::quarantine(Record& record, SteadyTime now)
{
    record.quarantinedAt = now;
    record.expires = now + QuarantineLifetime;
}

void CrashingParts::makeRoom()
{
    if (m_records.size() < MaxRecords)
        return;
    const auto rank = [](const auto& item) {
        return std::pair(item.second.quarantinedAt.has_value(), item.second.expires);
    };
    m_records.erase(std::min_element(m_records.begin(), m_records.end(),
        [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); }));
}

CrashingParts::ServedOutcome CrashingParts::noteServed(
    std::span<const PromptPartId> parts, SteadyTime now)
{
    ServedOutcome outcome;
    m_servedHere.note(parts, now);
    for (const PromptPartId& part : parts) {
        if (m_records.erase(part) > 0)
            outcome.cleared.push_back(part);
    }
    for (auto& [part, record] : m_records) {
        if (quarantineIfDue(record, now))
            outcome.quarantined.push_back(part);
    }
    return outcome;
}

bool CrashingParts::noteServedElsewhere(const PromptPartId& part, SteadyTime now)
{
    m_servedElsewhere.note(std::span(&part, 1), now);
    return m_records.erase(part) > 0;
}

bool CrashingParts::withdraw(CrashKey crash, SteadyTime now)
{
    m_withdrawn.push_back(crash);
    if (m_withdrawn.size() > MaxWithdrawn)
        m_withdrawn.pop_front();
    bool hasCounted = false;
    for (auto& [part, record] : m_records) {
        if (record.crashes.erase(crash) == 0)
            continue;
        hasCounted = true;
        if (record.quarantinedAt && record.crashes.size() < CrashesToQuarantine) {
            record.quarantinedAt.reset();
            record.expires = now + SuspicionLifetime;
        }
    }
    std::erase_if(m_records, [](const auto& item) { return item.second.crashes.empty(); });
    return hasCounted;
}

bool CrashingParts::isWithdrawn(CrashKey crash) const
{
    return std::find(m_withdrawn.begin(), m_withdrawn.end(), crash) != m_withdrawn.end();
}

bool CrashingParts::merge(const PartCrashReport& report, SteadyTime now)
{
    expire(now);
    if (m_servedHere.contains(report.part, now))
        return true;
    if (m_servedElsewhere.contains(report.part, now) || m_released.contains(report.part))
        return false;
    for (const CrashKey crash : report.crashes) {
        if (!isWithdrawn(crash))
            count(report.part, crash, now);
    }
    const auto known = m_records.find(report.part);
    if (report.isQuarantined && known != m_records.end() && !known->second.quarantinedAt)
        quarantine(known->second, now);
    return false;
}

void CrashingParts::release(const PromptPartId& part, SteadyTime now)
{
    m_records.erase(part);
    m_released[part] = now + ReleaseNoticeTime;
}

void CrashingParts::expire(SteadyTime now)
{
    std::erase_if(m_records, [now](const auto& item) { return item.second.expires <= now; });
    std::erase_if(m_released, [now](const auto& item) { return item.second <= now; });
}

bool CrashingParts::isToBlame(const Record& record, std::span<const PromptPartId> parts) const
{
    if (!record.quarantinedAt)
        return false;
    if (record.crashes.size() >= MaxCrashesPerPart)
        return true;
    std::set<CrashKey> unexplained = record.crashes;
    for (const auto& [other, candidate] : m_records) {
        if (!candidate.quarantinedAt || std::find(parts.begin(), parts.end(), other) != parts.end())
            continue;
        for (const CrashKey crash : candidate.crashes)
            unexplained.erase(crash);
    }
    return !unexplained.empty();
}

std::optional<PromptPartId> CrashingParts::findBlocking(std::span<const PromptPartId> parts) const
{
    if (m_records.empty())
        return std::nullopt;
    for (const PromptPartId& part : parts) {
        const auto record = m_records.find(part);
        if (record != m_records.end() && isToBlame(record->second, parts))
            return part;
    }
    return std::nullopt;
}

SteadyTime CrashingParts::quarantinedSince(const PromptPartId& part) const
{
    const auto found = m_records.find(part);
    require(found != m_records.end() && found->second.quarantinedAt, "part is quarantined");
    return *found->second.quarantinedAt;
}

std::map<PromptPartId, QuarantinedPart> CrashingParts::quarantined() const
{
    std::map<PromptPartId, QuarantinedPart> parts;
    for (const auto& [part, record] : m_records) {
        if (record.quarantinedAt)
            parts[part] = { *record.quarantinedAt, record.crashes };
    }
    return parts;
}

PartCrashReport CrashingParts::reportOf(const PromptPartId& part) const
{
    const auto found = m_records.find(part);
    if (found == m_records.end())
        return { part, {}, false, std::nullopt };
    return { part, { found->second.crashes.begin(), found->second.crashes.end() },
        found->second.quarantinedAt.has_value(), std::nullopt };
}

} // namespace citronspoke::quarantine

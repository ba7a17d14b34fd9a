#include "CrashQuarantine.h"

#include "quarantine/Quarantine.h"
#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

uint64_t CrashQuarantine::fingerprintOf(const http1::RequestHead& head,
    std::span<const std::string> body, const std::optional<fleet::Prompt>& prompt)
{
    std::string text = head.method;
    text.append(" ").append(head.headers.find("Host").value_or("")).append(head.target);
    if (prompt) {
        for (const fleet::PromptPart& part : prompt->parts)
            text.append("/").append(part.id);
    }
    uint64_t hash = stableHash(text.append("\n"));
    for (const std::string& part : body)
        hash = stableHash(part, hash);
    return hash;
}

void CrashQuarantine::notePossibleCrash(uint64_t fingerprint, const fleet::TargetRecord& target)
{
    const uint64_t crash = static_cast<uint64_t>(quarantine::crashOf(target).value());
    m_history.noteCrash(crash, std::span(&fingerprint, 1), unixNow());
    peers::CrashReport report { fingerprint, m_history.crashesOf(fingerprint) };
    telemetry::logInfo("crashes", "The connection to a target broke while it ran a request.",
        { { "fingerprint", std::to_string(fingerprint) }, { "target", target.id.text() },
            { "broken", std::to_string(report.crashes.size()) } });
    m_sentOnce.insert(fingerprint);
    if (m_publisher.crash)
        m_publisher.crash(std::move(report));
}

void CrashQuarantine::noteCompleted(uint64_t fingerprint)
{
    if (m_history.suspicion(fingerprint, unixNow()) != decisions::Suspicion::Suspect)
        return;
    m_history.noteFinished(fingerprint);
    m_sentOnce.erase(fingerprint);
    if (m_publisher.cleared)
        m_publisher.cleared(fingerprint);
}

std::optional<Milliseconds> CrashQuarantine::remainingQuarantine(uint64_t fingerprint) const
{
    const UnixMillis now = unixNow();
    if (m_history.suspicion(fingerprint, now) != decisions::Suspicion::Quarantined)
        return std::nullopt;
    return Milliseconds(m_history.expiryOf(fingerprint).value() - now.value());
}

void CrashQuarantine::merge(const peers::CrashReport& report)
{
    m_history.merge(report.fingerprint,
        { { report.crashes.begin(), report.crashes.end() },
            UnixMillis(unixNow().value() + decisions::CrashHistory::RecordLifetime.count()) });
}

std::vector<peers::CrashReport> CrashQuarantine::takeReportsToResend()
{
    std::set<uint64_t> fingerprints = std::exchange(m_sentOnce, {});
    std::erase_if(m_quarantined, [this](uint64_t each) { return !remainingQuarantine(each); });
    for (const uint64_t fingerprint : fingerprints) {
        if (remainingQuarantine(fingerprint))
            m_quarantined.insert(fingerprint);
    }
    fingerprints.insert(m_quarantined.begin(), m_quarantined.end());
    std::vector<peers::CrashReport> reports;
    reports.reserve(fingerprints.size());
    for (const uint64_t fingerprint : fingerprints)
        reports.push_back({ fingerprint, m_history.crashesOf(fingerprint) });
    return reports;
}

} // namespace citronspoke::gateway

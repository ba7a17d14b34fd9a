#include "CrashWatch.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

namespace {

    /** All gateways give one crash the same name, so that it counts once. */
    uint64_t crashName(const fleet::TargetEntry& target)
    {
        return stableHash(target.id.text() + "/" + std::to_string(target.registration.value()) + "/"
            + std::to_string(target.startedAt.value()));
    }

} // namespace

uint64_t CrashWatch::fingerprintOf(const http1::RequestHead& head, std::string_view body,
    const std::optional<fleet::Prompt>& prompt)
{
    std::string text = head.method;
    text.append(" ").append(head.headers.find("Host").value_or("")).append(head.target);
    if (prompt) {
        for (const fleet::PromptPart& part : prompt->parts)
            text.append("/").append(part.id);
    }
    return stableHash(text.append("\n").append(body));
}

void CrashWatch::noteBroken(uint64_t fingerprint, const fleet::TargetEntry& target)
{
    m_ledger.noteCrash(crashName(target), std::span(&fingerprint, 1), unixNow());
    peers::CrashReport report { fingerprint, m_ledger.crashesOf(fingerprint) };
    telemetry::logInfo("crashes", "A run broke off.",
        { { "fingerprint", std::to_string(fingerprint) }, { "target", target.id.text() },
            { "broken", std::to_string(report.crashes.size()) } });
    m_toldOnce.insert(fingerprint);
    if (m_tell.crash)
        m_tell.crash(std::move(report));
}

void CrashWatch::noteRun(uint64_t fingerprint)
{
    if (m_ledger.suspicion(fingerprint, unixNow()) != decisions::Suspicion::Suspect)
        return;
    m_ledger.noteFinished(fingerprint);
    m_toldOnce.erase(fingerprint);
    if (m_tell.cleared)
        m_tell.cleared(fingerprint);
}

std::optional<Milliseconds> CrashWatch::bannedFor(uint64_t fingerprint) const
{
    const UnixMillis now = unixNow();
    if (m_ledger.suspicion(fingerprint, now) != decisions::Suspicion::Convicted)
        return std::nullopt;
    return Milliseconds(m_ledger.expiryOf(fingerprint).value() - now.value());
}

void CrashWatch::merge(const peers::CrashReport& report)
{
    m_ledger.merge(report.fingerprint,
        { { report.crashes.begin(), report.crashes.end() },
            UnixMillis(unixNow().value() + decisions::CrashLedger::RecordLifetime.count()) });
}

std::vector<peers::CrashReport> CrashWatch::takeRepeats()
{
    std::set<uint64_t> fingerprints = std::exchange(m_toldOnce, {});
    std::erase_if(m_convicted, [this](uint64_t each) { return !bannedFor(each); });
    for (const uint64_t fingerprint : fingerprints) {
        if (bannedFor(fingerprint))
            m_convicted.insert(fingerprint);
    }
    fingerprints.insert(m_convicted.begin(), m_convicted.end());
    std::vector<peers::CrashReport> reports;
    reports.reserve(fingerprints.size());
    for (const uint64_t fingerprint : fingerprints)
        reports.push_back({ fingerprint, m_ledger.crashesOf(fingerprint) });
    return reports;
}

} // namespace citronspoke::gateway

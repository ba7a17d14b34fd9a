#include "PartQuarantine.h"

#include "telemetry/Telemetry.h"

#include <utility>

namespace citronspoke::gateway {

namespace {

    using quarantine::CrashingParts;
    using quarantine::CrashKey;
    using quarantine::PartCrashReport;
    using quarantine::PromptPartId;

    /** An engine needs longer to restart, so that a response within this time shows that it has not
     * crashed. */
    constexpr Milliseconds ShortestRestart { 1000 };
    /** A quarantine may still end when other gateways have seen the part served. */
    constexpr Milliseconds UnconfirmedTime { 2000 };
    /** A quarantine is resent in each call for this long. */
    constexpr Milliseconds FrequentResendTime { 10000 };
    /** Of the later calls, one in so many resends all quarantines. */
    constexpr uint64_t CallsPerFullResend = 60;

} // namespace

void PartQuarantine::noteBroken(const fleet::TargetRecord& engine,
    std::span<const PromptPartId> parts, const RequestId& request)
{
    const SteadyTime now = steadyNow();
    const CrashKey crash = quarantine::crashOf(engine);
    for (const PromptPartId& part : m_parts.noteCrash(crash, parts, now)) {
        m_refutableUntil.try_emplace(crash, now + ShortestRestart);
        PartCrashReport report = m_parts.reportOf(part);
        report.latest = crash;
        telemetry::logInfo("crashes", "A prompt part may have crashed an engine.",
            { { "part", part.text() }, { "crashes", std::to_string(report.crashes.size()) },
                { "target", engine.id.text() }, { "id", request.text() } });
        telemetry::count("suspected_part_crashes");
        m_reportedOnce.insert(part);
        if (m_publisher.crash)
            m_publisher.crash(std::move(report));
    }
    logChanges("response");
}

void PartQuarantine::noteServed(std::span<const PromptPartId> parts)
{
    const CrashingParts::ServedOutcome outcome = m_parts.noteServed(parts, steadyNow());
    for (const PromptPartId& part : outcome.cleared) {
        m_reportedOnce.erase(part);
        if (m_publisher.served)
            m_publisher.served(part);
    }
    for (const PromptPartId& part : outcome.quarantined) {
        if (m_publisher.crash)
            m_publisher.crash(m_parts.reportOf(part));
    }
    if (!outcome.cleared.empty() || !outcome.quarantined.empty())
        logChanges("served");
}

void PartQuarantine::noteResponse(const fleet::TargetRecord& engine, SteadyTime sentAt)
{
    if (m_refutableUntil.empty())
        return;
    const CrashKey crash = quarantine::crashOf(engine);
    const auto known = m_refutableUntil.find(crash);
    if (known == m_refutableUntil.end() || steadyNow() > known->second
        || sentAt < known->second - ShortestRestart)
        return;
    if (!m_parts.withdraw(crash, steadyNow()))
        return;
    telemetry::logInfo("crashes", "An engine whose connection broke has not crashed.",
        { { "target", engine.id.text() } });
    if (m_publisher.withdrawn)
        m_publisher.withdrawn(crash);
    logChanges("engine_alive");
}

std::optional<PartQuarantine::Hold> PartQuarantine::findHold(
    std::span<const PromptPartId> parts) const
{
    const std::optional<PromptPartId> part = m_parts.findBlocking(parts);
    if (!part)
        return std::nullopt;
    const SteadyTime::duration age = steadyNow() - m_parts.quarantinedSince(*part);
    const SteadyTime::duration remaining
        = age < UnconfirmedTime ? UnconfirmedTime - age : CrashingParts::QuarantineLifetime - age;
    return Hold { *part, std::chrono::duration_cast<Milliseconds>(remaining) };
}

void PartQuarantine::merge(const PartCrashReport& report, std::string_view source)
{
    const SteadyTime now = steadyNow();
    if (m_parts.merge(report, now) && m_publisher.served)
        m_publisher.served(report.part);
    for (const CrashKey crash : report.crashes) {
        const bool hasJustHappened = report.latest == crash;
        m_refutableUntil.try_emplace(crash, hasJustHappened ? now + ShortestRestart : now);
    }
    logChanges(source);
}

void PartQuarantine::mergeServed(const PromptPartId& part)
{
    if (m_parts.noteServedElsewhere(part, steadyNow()))
        logChanges("served");
}

void PartQuarantine::mergeWithdrawn(CrashKey crash)
{
    if (m_parts.withdraw(crash, steadyNow()))
        logChanges("engine_alive");
}

std::vector<PartCrashReport> PartQuarantine::takeReportsToResend()
{
    std::set<PromptPartId> parts = std::exchange(m_reportedOnce, {});
    const bool resendsAll = ++m_resends % CallsPerFullResend == 0;
    const SteadyTime now = steadyNow();
    for (const auto& [part, state] : m_parts.quarantined()) {
        if (resendsAll || now - state.since < FrequentResendTime)
            parts.insert(part);
    }
    std::vector<PartCrashReport> reports;
    reports.reserve(parts.size());
    for (const PromptPartId& part : parts)
        reports.push_back(m_parts.reportOf(part));
    return reports;
}

void PartQuarantine::release(const PromptPartId& part)
{
    m_parts.release(part, steadyNow());
    logChanges("store");
}

void PartQuarantine::expire()
{
    const SteadyTime now = steadyNow();
    m_parts.expire(now);
    std::erase_if(m_refutableUntil,
        [now](const auto& item) { return now - item.second > CrashingParts::SuspicionLifetime; });
    logChanges("expiry");
}

void PartQuarantine::logChanges(std::string_view source)
{
    if (m_parts.empty() && m_loggedQuarantines.empty())
        return;
    std::set<PromptPartId> current;
    for (const auto& [part, state] : m_parts.quarantined())
        current.insert(part);
    for (const PromptPartId& part : current) {
        if (m_loggedQuarantines.contains(part))
            continue;
        telemetry::logWarning("crashes", "Quarantined a prompt part.",
            { { "part", part.text() },
                { "crashes", std::to_string(m_parts.reportOf(part).crashes.size()) },
                { "by", std::string(source) } });
        telemetry::count("part_quarantines", { { "by", std::string(source) } });
    }
    for (const PromptPartId& part : m_loggedQuarantines) {
        if (!current.contains(part))
            telemetry::logInfo("crashes", "The quarantine of a prompt part has ended.",
                { { "part", part.text() }, { "by", std::string(source) } });
    }
    if (current != m_loggedQuarantines)
        telemetry::gauge("quarantined_parts", static_cast<double>(current.size()));
    m_loggedQuarantines = std::move(current);
}

} // namespace citronspoke::gateway

#pragma once

#include "quarantine/Quarantine.h"

namespace citronspoke::gateway {

/**
 * Quarantines prompt parts that crash engines, by what this gateway sees of its runs and what the
 * others report. Used by the event loop's thread only.
 */
class PartQuarantine {
public:
    /** Sends reports to the other gateways. */
    struct Publisher {
        std::function<void(quarantine::PartCrashReport)> crash;
        /** A part was served, which another gateway does not know. */
        std::function<void(const quarantine::PromptPartId&)> served;
        /** An engine has not crashed after all. */
        std::function<void(quarantine::CrashKey)> withdrawn;
    };

    void setPublisher(Publisher publisher) { m_publisher = std::move(publisher); }

    /** The connection to an engine broke before the first event of a run. */
    void noteBroken(const fleet::TargetRecord& engine,
        std::span<const quarantine::PromptPartId> parts, const RequestId& request);
    /** The first event of a run was received. */
    void noteServed(std::span<const quarantine::PromptPartId> parts);
    /** An engine has responded to a request; it has not crashed before @p sentAt. */
    void noteResponse(const fleet::TargetRecord& engine, SteadyTime sentAt);

    /** What forbids to run a prompt. */
    struct Hold {
        quarantine::PromptPartId part;
        Milliseconds remaining { 0 };
    };
    /** @return the quarantine of one of the parts; none when the prompt may run. */
    std::optional<Hold> findHold(std::span<const quarantine::PromptPartId> parts) const;

    /** @param source how this gateway learned of it, for the log. */
    void merge(const quarantine::PartCrashReport& report, std::string_view source);
    void mergeServed(const quarantine::PromptPartId& part);
    void mergeWithdrawn(quarantine::CrashKey crash);
    /** @return reports that peers may not have received: each new suspicion once, each quarantine
     * in its first seconds and now and then afterwards, when the store has it too. */
    std::vector<quarantine::PartCrashReport> takeReportsToResend();

    /** The store's record no longer names a part. */
    void release(const quarantine::PromptPartId& part);
    std::map<quarantine::PromptPartId, quarantine::QuarantinedPart> quarantined() const
    {
        return m_parts.quarantined();
    }
    /** Drops what has expired. */
    void expire();

private:
    /** Logs which quarantines have begun and ended. @param source how this gateway knows. */
    void logChanges(std::string_view source);

    quarantine::CrashingParts m_parts;
    Publisher m_publisher;
    /** Parts whose reports are resent once more. */
    std::set<quarantine::PromptPartId> m_reportedOnce;
    /** Known crashes, and until when a response of the engine shows that it has not crashed. Later
     * responses may be of a next incarnation, whose record has not arrived yet. */
    std::map<quarantine::CrashKey, SteadyTime> m_refutableUntil;
    std::set<quarantine::PromptPartId> m_loggedQuarantines;
    uint64_t m_resends = 0;
};

} // namespace citronspoke::gateway

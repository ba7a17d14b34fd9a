#pragma once

#include "adapter/Adapter.h"
#include "decisions/Decisions.h"
#include "peers/Peers.h"

namespace citronspoke::gateway {

/**
 * Quarantines requests that crash the targets that run them. A fingerprint recognises a request in
 * every attempt and at every gateway; the gateways share their crash reports. Used by the event
 * loop's thread only.
 */
class CrashQuarantine {
public:
    /** Sends reports to the other gateways. */
    struct Publisher {
        std::function<void(peers::CrashReport)> crash;
        /** Takes the fingerprint of a suspected request that ran to completion. */
        std::function<void(uint64_t)> cleared;
    };

    void setPublisher(Publisher publisher) { m_publisher = std::move(publisher); }

    /**
     * @param body its parts in order.
     * @return a hash of the request's method, host, path, prompt parts and body, the same for each
     *         attempt at the same work.
     */
    static uint64_t fingerprintOf(const http1::RequestHead& head, std::span<const std::string> body,
        const std::optional<fleet::Prompt>& prompt);

    /** @return whether no request is suspected, so that no fingerprint is needed. */
    bool empty() const noexcept { return m_history.empty(); }
    /** The connection broke while the target ran the request; the target may have crashed. */
    void notePossibleCrash(uint64_t fingerprint, const fleet::TargetRecord& target);
    /** The request ran to completion. Clears a suspect; a quarantine lasts until it expires. */
    void noteCompleted(uint64_t fingerprint);
    /** @return how much longer the request is quarantined; none when it may run. */
    std::optional<Milliseconds> remainingQuarantine(uint64_t fingerprint) const;

    /** Merges a peer's report; a crash that is known already is not counted again. */
    void merge(const peers::CrashReport& report);
    /** A peer reports that a suspected request ran to completion. */
    void mergeCleared(uint64_t fingerprint) { m_history.noteFinished(fingerprint); }
    /**
     * @return reports that peers may not have received, as datagrams get lost: each new suspicion
     *         once, each quarantined request in every call.
     */
    std::vector<peers::CrashReport> takeReportsToResend();

private:
    /** The users' rules allow a request to crash three targets before it must be stopped. */
    static constexpr size_t CrashesToQuarantine = 3;

    decisions::CrashHistory m_history { CrashesToQuarantine };
    Publisher m_publisher;
    /** Fingerprints that were reported once and are resent one more time. */
    std::set<uint64_t> m_sentOnce;
    /** Fingerprints that are resent until they expire, for gateways that start later. */
    std::set<uint64_t> m_quarantined;
};

} // namespace citronspoke::gateway

#pragma once

#include "adapter/Adapter.h"
#include "decisions/Decisions.h"
#include "peers/Peers.h"

namespace citronspoke::gateway {

/**
 * Finds requests that crash the targets that run them, whichever attempt and gateway they come by,
 * and stops them. What one gateway sees the others learn.
 */
class CrashQuarantine {
public:
    /** Takes a report to the other gateways. */
    struct Publisher {
        std::function<void(peers::CrashReport)> crash;
        std::function<void(uint64_t)> cleared;
    };

    void setPublisher(Publisher tell) { m_publisher = std::move(tell); }

    /** @return the same name for each attempt at the same work. */
    static uint64_t fingerprintOf(const http1::RequestHead& head, std::string_view body,
        const std::optional<fleet::Prompt>& prompt);

    /** @return whether no request is suspected, so that none needs its fingerprint. */
    bool empty() const noexcept { return m_history.empty(); }
    /** A run's connection broke off; its target may have crashed. */
    void notePossibleCrash(uint64_t fingerprint, const fleet::TargetEntry& target);
    /** The request ran to an end; it does not crash its targets. */
    void noteCompleted(uint64_t fingerprint);
    /** @return for how long the request is not run; none when it may run. */
    std::optional<Milliseconds> remainingQuarantine(uint64_t fingerprint) const;

    void merge(const peers::CrashReport& report);
    void mergeCleared(uint64_t fingerprint) { m_history.noteFinished(fingerprint); }
    /** @return what the others may not have heard: datagrams get lost. */
    std::vector<peers::CrashReport> takeReportsToResend();

private:
    /** The users' rules let a request crash three targets before it must be stopped. */
    static constexpr size_t CrashesToQuarantine = 3;

    decisions::CrashLedger m_history { CrashesToQuarantine };
    Publisher m_publisher;
    /** Told once; they are told again with the next repeats. */
    std::set<uint64_t> m_sentOnce;
    /** They are told again and again, for gateways that start later. */
    std::set<uint64_t> m_quarantined;
};

} // namespace citronspoke::gateway

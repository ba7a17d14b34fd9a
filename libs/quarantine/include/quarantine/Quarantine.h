#pragma once

#include "fleet/Fleet.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <unordered_set>

/**
 * Finds the prompt parts that crash the engines that decode prompts with them. A crash breaks many
 * runs, most of them sound; a part is to blame when it was in a broken run at several crashes and
 * in no run that got an event. Pure code: the caller passes state and time; no input or output,
 * threads, locks or clock.
 */
namespace citronspoke::quarantine {

/** The id of a prompt part as callers declare it; a hash of it when it is long. */
using PromptPartId = Id<struct PromptPartTag>;
/** Identifies the crash of one incarnation of an engine, the same at all gateways. */
using CrashKey = Number<struct CrashKeyTag>;

/** @return the parts of a prompt that others may share: all but the last, which is its own. */
std::vector<PromptPartId> sharedParts(const fleet::Prompt& prompt);
/** @return the key of the crash that ends the target's incarnation. */
CrashKey crashOf(const fleet::TargetRecord& target);

/** A gateway's report that a part was in runs that broke before their first event. */
struct PartCrashReport {
    PromptPartId part;
    /** All such crashes that the sender knows of. */
    std::vector<CrashKey> crashes;
    /** The sender has quarantined the part. */
    bool isQuarantined = false;
    /** The one of the crashes that has just happened; none when the report is sent again. */
    std::optional<CrashKey> latest;
};

/** Parts of prompts with an event in the recent past, in bounded memory. */
class ServedParts {
public:
    /**
     * @param lifetime how long a part is remembered at most; half of it at least.
     * @param capacity most parts; beyond it they are forgotten sooner, the oldest first.
     */
    ServedParts(Milliseconds lifetime, size_t capacity);
    void note(std::span<const PromptPartId> parts, SteadyTime now);
    bool contains(const PromptPartId& part, SteadyTime now) const;
    /** @return whether no prompt was noted lately, also none without shared parts. */
    bool empty(SteadyTime now) const;

private:
    struct PartHash {
        size_t operator()(const PromptPartId& part) const noexcept
        {
            return std::hash<std::string>()(part.text());
        }
    };
    /** Parts that were noted within half of the lifetime. */
    struct Generation {
        SteadyTime begin;
        bool hasPrompts = false;
        std::unordered_set<PromptPartId, PartHash> parts;
    };

    Milliseconds m_lifetime;
    size_t m_capacity;
    Generation m_current;
    Generation m_previous;
};

/** A part that is quarantined. */
struct QuarantinedPart {
    SteadyTime since;
    /** The crashes that it is quarantined for. */
    std::set<CrashKey> crashes;

    bool operator==(const QuarantinedPart&) const = default;
};

/**
 * The parts that are suspected of crashes, and those that are quarantined. Each crash counts
 * against the shared parts of all runs that broke with the engine before their first event. A first
 * event clears all parts of its prompt: an engine that a part crashes ends before that. Gateways
 * share both by reports.
 */
class CrashingParts {
public:
    /** The users' rules allow a part five crashes, after which it must be known everywhere. */
    static constexpr size_t CrashesToQuarantine = 3;
    /** A part that was served within this time is not blamed. Longer than an outage of all decode
     * engines, in which no part is served. */
    static constexpr Milliseconds ServedLifetime { 60000 };
    /** A suspected part is cleared when no crash follows for this long. */
    static constexpr Milliseconds SuspicionLifetime { 600000 };
    static constexpr Milliseconds QuarantineLifetime = std::chrono::hours(24);

    CrashingParts();

    /**
     * A run broke off with its engine before its first event.
     * @param parts the shared parts of its prompt.
     * @return the parts that the crash counts against and did not before.
     */
    std::vector<PromptPartId> noteCrash(
        CrashKey crash, std::span<const PromptPartId> parts, SteadyTime now);
    /** What the first event of a run has changed. */
    struct ServedOutcome {
        /** Parts of the prompt that were suspected or quarantined until now. */
        std::vector<PromptPartId> cleared;
        /** Other parts that are quarantined from now on. */
        std::vector<PromptPartId> quarantined;
    };
    /** A run got its first event. */
    ServedOutcome noteServed(std::span<const PromptPartId> parts, SteadyTime now);
    /** Another gateway has seen a part served. @return whether it was suspected or quarantined. */
    bool noteServedElsewhere(const PromptPartId& part, SteadyTime now);
    /** The engine is alive: its connection broke for another reason. @return whether it counted. */
    bool withdraw(CrashKey crash, SteadyTime now);
    /**
     * Merges the report of another gateway.
     * @return whether this gateway has seen the part served, which the other one should know.
     */
    bool merge(const PartCrashReport& report, SteadyTime now);
    /** Ends a quarantine; reports of gateways that do not know yet are ignored for a while. */
    void release(const PromptPartId& part, SteadyTime now);
    /** Drops what has expired. */
    void expire(SteadyTime now);

    /** @return whether no part is suspected or quarantined. */
    bool empty() const noexcept { return m_records.empty(); }
    /**
     * @param parts the shared parts of a prompt.
     * @return the first of them that forbids to run the prompt: it is quarantined, and quarantined
     *         parts that the prompt does not have do not explain all of its crashes.
     */
    std::optional<PromptPartId> findBlocking(std::span<const PromptPartId> parts) const;
    /** @param part is quarantined. */
    SteadyTime quarantinedSince(const PromptPartId& part) const;
    std::map<PromptPartId, QuarantinedPart> quarantined() const;
    /** @return the report of a part for the other gateways. */
    PartCrashReport reportOf(const PromptPartId& part) const;

private:
    struct Record {
        std::set<CrashKey> crashes;
        SteadyTime expires;
        std::optional<SteadyTime> quarantinedAt;
    };

    /** @return whether the crash did not count against the part before. */
    bool count(const PromptPartId& part, CrashKey crash, SteadyTime now);
    /** Quarantines the part when it has enough crashes. @return whether it did. */
    bool quarantineIfDue(Record& record, SteadyTime now);
    static void quarantine(Record& record, SteadyTime now);
    bool isToBlame(const Record& record, std::span<const PromptPartId> parts) const;
    bool isWithdrawn(CrashKey crash) const;
    void makeRoom();

    std::map<PromptPartId, Record> m_records;
    ServedParts m_servedHere;
    /** Kept apart: a gateway vouches only for what it has seen itself. */
    ServedParts m_servedElsewhere;
    /** Parts that were released lately, and until when reports about them are ignored. */
    std::map<PromptPartId, SteadyTime> m_released;
    /** Crashes that did not happen; the oldest first. */
    std::deque<CrashKey> m_withdrawn;
};

} // namespace citronspoke::quarantine

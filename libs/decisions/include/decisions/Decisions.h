#pragma once

#include "model/Model.h"

#include <map>
#include <set>
#include <span>
#include <variant>

/**
 * Decisions as pure functions and state machines: the caller passes state and time and gets a
 * decision. Nothing here does input or output, starts threads, locks or reads a clock.
 */
namespace citronspoke::decisions {

/**
 * What an entry knows about one target when it routes a request. Paying and trial requests are
 * counted separately; tokens are summed over all requests of a phase.
 */
struct Candidate {
    TargetId target;
    bool isInOtherZone = false;
    EngineRole role = EngineRole::Mixed;
    uint32_t slots = 1;
    uint32_t runningPaying = 0;
    uint32_t runningTrial = 0;
    uint32_t queuedPaying = 0;
    uint32_t queuedTrial = 0;
    uint64_t prefillBacklogTokens = 0;
    uint64_t decodeBacklogTokens = 0;
    double prefillTokensPerSecond = 1;
    /** Duration of one decode step in milliseconds, which generates one token per request. */
    double decodeStepMs = 1;
    /** Sent by this entry since the target's last report, so not yet contained in it. */
    uint32_t sentPaying = 0;
    uint32_t sentTrial = 0;
    uint64_t sentPrefillTokens = 0;
    uint64_t sentDecodeTokens = 0;
    /** Unfinished requests of this entry at the target. */
    uint32_t outstanding = 0;
    /** Leading prompt tokens that the target has probably cached. */
    uint32_t cachedPromptTokens = 0;
};

/** Estimated size and deadline of the request that is to be routed. */
struct RequestProfile {
    WorkClass workClass = WorkClass::Standard;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    Milliseconds timeLeft { 0 };
};

/** Send the request to a target. */
struct RouteTo {
    /** Index among the candidates. */
    size_t candidate = 0;
    /** Milliseconds from now; 0 when the policy makes no estimate. */
    double estimatedFinishMs = 0;
};
/** Refuse the request. */
struct Refuse {
    RefusalReason reason = RefusalReason::NoTarget;
    /** When the caller may retry; 0 when a retry cannot help. */
    Milliseconds retryAfter { 0 };
};
using RoutingDecision = std::variant<RouteTo, Refuse>;

/**
 * Chooses the target with the earliest estimated finish, from its queue, the prompt, the output and
 * the cached prefix. Refuses a request that would miss its deadline at every target.
 */
struct EstimatedFinish {
    /** Added to the estimate for targets in other availability zones. */
    Milliseconds otherZoneCost { 2 };
    /** Share of the prefill time that is saved for cached prompt tokens, 0 to 1. */
    double prefixSaving = 0.5;
    /** Where the next search starts, so that targets with equal estimates take turns. */
    size_t next = 0;
};
/** Baseline: the targets in turn. */
struct RoundRobin {
    size_t next = 0;
};
/** Baseline: the target with the fewest unfinished requests of this entry. */
struct LeastOutstanding {
    size_t next = 0;
};
/** Baseline: of two targets drawn at random, the one with fewer unfinished requests. */
struct TwoChoices {
    /** State of a xorshift generator; must not be 0. */
    uint64_t randomState = 0x9E3779B97F4A7C15ULL;
};
using RoutingPolicy = std::variant<EstimatedFinish, RoundRobin, LeastOutstanding, TwoChoices>;

/** @return the milliseconds until the candidate is expected to finish the work. */
double estimateFinish(const EstimatedFinish& policy, const Candidate&, const RequestProfile&);

/**
 * Chooses a target among eligible candidates, or refuses the work. Never allocates.
 * @return NoTarget without candidates; with EstimatedFinish also DeadlineTooShort, when even an
 * idle target would be late, or NoCapacity.
 */
RoutingDecision chooseTarget(RoutingPolicy&, std::span<const Candidate>, const RequestProfile&);

/**
 * Ranks a target for the journal shard of a key. The rank is the same in every entry, so that all
 * calls with one key go to one agent. The target with the highest rank is tried first.
 * @param shards number of journal shards, > 0.
 */
uint64_t journalRank(const IdempotencyKey& key, uint32_t shards, const TargetId& target);

/**
 * Ranks a target for a suspected request. The rank is the same in every entry, so that copies that
 * arrive through several entries go to one agent, which runs one suspect at a time.
 */
uint64_t suspectRank(uint64_t fingerprint, const TargetId& target);

/**
 * Limits retries to a share of the requests, so that retries do not multiply the load during an
 * outage. Starts with a full burst.
 */
class RetryBudget {
public:
    /**
     * @param share retries that each request adds to the budget.
     * @param burst retries that the budget holds at most.
     */
    RetryBudget(double share, uint32_t burst);
    /** Adds the share of one request to the budget. */
    void noteRequest();
    /** Takes one retry. @return false when the budget is spent; the retry must not be made. */
    bool trySpend();
    /** @return retries that can be made now, with fractions. */
    double available() const noexcept { return m_available; }

private:
    double m_share;
    double m_burst;
    double m_available;
};

/** One organisation's share of its limits at one entry. */
struct LimitShare {
    uint32_t concurrentRequests = 0;
    double tokensPerMinute = 0;
};

/**
 * Divides an organisation's limits evenly among the entries; each entry gets at least one
 * concurrent request.
 * @param entries number of running entries; 0 counts as 1.
 */
LimitShare divideLimit(uint32_t concurrentRequests, uint64_t tokensPerMinute, uint32_t entries);

/**
 * Counts an organisation's running requests and its tokens against its share. Tokens are limited by
 * a bucket that holds one minute's tokens and starts full.
 */
class Limiter {
public:
    /**
     * @param tokens to count for the request.
     * @return after how long to retry; none when the request is within the limits and is counted.
     */
    std::optional<Milliseconds> tryAdmit(const LimitShare&, uint32_t tokens, SteadyTime now);
    /** Must be called once for each admitted request. @throws PreconditionViolated when none runs.
     */
    void noteFinished();
    uint32_t running() const noexcept { return m_running; }

private:
    uint32_t m_running = 0;
    double m_tokens = 0;
    bool m_isInitialised = false;
    SteadyTime m_refilledAt;
};

/** Whether a request is suspected of crashing targets; the last state is quarantine. */
enum class Suspicion : uint8_t { None, Suspect, Quarantined };

/**
 * Crash history: which requests were running when targets crashed. A request that was running at a
 * crash is a suspect and runs as the only suspect on its target. Enough different crashes
 * quarantine it; a finished run clears it before that.
 */
class CrashHistory {
public:
    struct Record {
        /** Identifiers of the crashes; a set, so that merging records of peers counts each once. */
        std::set<uint64_t> crashes;
        UnixMillis expires;
    };

    /** A request's record expires this long after its last crash. */
    static constexpr Milliseconds RecordLifetime { 600000 };

    /** @param quarantineThreshold different crashes after which a request is not run any more. */
    explicit CrashHistory(size_t quarantineThreshold = 2)
        : m_quarantineThreshold(quarantineThreshold)
    {
    }

    /**
     * Records a crash. If known suspects were running, only they are blamed, otherwise all running
     * requests.
     * @param crash identifies the crash in the whole fleet.
     * @param running fingerprints of the requests that were running when the target crashed.
     */
    void noteCrash(uint64_t crash, std::span<const uint64_t> running, UnixMillis now);
    /** Clears a suspect whose run finished; a quarantined request stays quarantined. */
    void noteFinished(uint64_t fingerprint);
    /** @return whether there is no record, expired ones included. */
    bool empty() const noexcept { return m_records.empty(); }
    Suspicion suspicion(uint64_t fingerprint, UnixMillis now) const;
    /** @return when the record of a request expires; zero when it has none. */
    UnixMillis expiryOf(uint64_t fingerprint) const;
    /** @return the crashes that a request is suspected of, in ascending order. */
    std::vector<uint64_t> crashesOf(uint64_t fingerprint) const;
    /** Merges a peer's record of a request into the own one. */
    void merge(uint64_t fingerprint, const Record& record);
    /** @return records that have not expired. */
    std::map<uint64_t, Record> records(UnixMillis now) const;

private:
    bool isQuarantined(const Record& record) const noexcept;

    size_t m_quarantineThreshold;
    std::map<uint64_t, Record> m_records;
};

/** One engine as the role planner sees it. */
struct EngineView {
    TargetId target;
    ZoneId zone;
    EngineRole role = EngineRole::Mixed;
    bool isAvailable = true;
};

/** Measured demand of a pool: tokens of prompts and of output that are requested per second. */
struct Demand {
    double promptTokensPerSecond = 0;
    double outputTokensPerSecond = 0;
};

/** When and how far the role planner changes roles. */
struct RolePolicy {
    /** Share of the pool's goodput that one change must gain; deducted from the gain. */
    double changePrice = 0.1;
    /** The prediction is the mean demand over this time. */
    Milliseconds horizon { 20000 };
    /** Least time between two changes. */
    Milliseconds shortestInterval { 30000 };
    /** Engines that each role keeps at least. */
    uint32_t floorPerRole = 1;
    /** Engine time that a thousand tokens of each kind take, in seconds. */
    double secondsPerThousandPromptTokens = 0.024;
    double secondsPerThousandOutputTokens = 0.3;
};

/** An engine and the role that it should change to. */
struct RoleChange {
    TargetId target;
    EngineRole role = EngineRole::Mixed;
};

/** Predicts a pool's demand and plans role changes of its engines, one at a time. */
class RolePlanner {
public:
    /** Adds a sample of the demand; old samples are dropped. */
    void noteDemand(const Demand& demand, SteadyTime now);
    /**
     * @return the change to order now, which the planner then assumes to be ordered; none when no
     *         change is worth its price, the last change is too recent, an engine is unavailable or
     *         no demand is known.
     */
    std::optional<RoleChange> plan(
        const RolePolicy&, std::span<const EngineView> engines, SteadyTime now);
    /** @return the share of engine time that prefill is predicted to need; 0.5 without samples. */
    double predictedPrefillShare(const RolePolicy&) const;

private:
    struct Sample {
        SteadyTime time;
        Demand demand;
    };
    std::vector<Sample> m_samples;
    std::optional<SteadyTime> m_lastChange;
};

} // namespace citronspoke::decisions

#pragma once

#include "model/Model.h"

#include <map>
#include <set>
#include <span>
#include <variant>

/**
 * The decisions of the system as pure code: state and time in, decision out. Nothing here does
 * input or output, starts threads or reads a clock.
 */
namespace citronspoke::decisions {

/** What an entry knows of one target when it routes a request. */
struct Candidate {
    TargetId target;
    bool isOtherZone = false;
    EngineRole role = EngineRole::Mixed;
    uint32_t slots = 1;
    uint32_t runningPaying = 0;
    uint32_t runningTrial = 0;
    uint32_t queuedPaying = 0;
    uint32_t queuedTrial = 0;
    uint64_t prefillBacklogTokens = 0;
    uint64_t decodeBacklogTokens = 0;
    double prefillTokensPerSecond = 1;
    double decodeStepMs = 1;
    /** Sent by this entry since the target's last report. */
    uint32_t sentPaying = 0;
    uint32_t sentTrial = 0;
    uint64_t sentPrefillTokens = 0;
    uint64_t sentDecodeTokens = 0;
    /** Requests of this entry that have not finished there. */
    uint32_t outstanding = 0;
    /** Prompt tokens whose prefix the target has probably cached. */
    uint32_t warmTokens = 0;
};

/** The request to be routed. */
struct Work {
    WorkClass workClass = WorkClass::Standard;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    Milliseconds timeLeft { 0 };
};

struct RouteTo {
    size_t candidate = 0;
    double estimatedFinishMs = 0;
};
struct Refuse {
    RefusalReason reason = RefusalReason::NoTarget;
    Milliseconds retryAfter { 0 };
};
using RoutingDecision = std::variant<RouteTo, Refuse>;

/** Weighs queue, prompt, output and cached prefix; refuses what would be late everywhere. */
struct EstimatedFinish {
    Milliseconds otherZoneCost { 2 };
    /** Share of the time for warm prompt tokens that is saved. */
    double prefixSaving = 0.5;
    /** Where the search starts; equal targets take turns. */
    size_t next = 0;
};
/** Baseline: one target after the other. */
struct RoundRobin {
    size_t next = 0;
};
/** Baseline: the target with the fewest requests of this entry. */
struct LeastOutstanding {
    size_t next = 0;
};
/** Baseline: the less loaded of two targets drawn at random. */
struct TwoChoices {
    uint64_t randomState = 0x9E3779B97F4A7C15ULL;
};
using RoutingPolicy = std::variant<EstimatedFinish, RoundRobin, LeastOutstanding, TwoChoices>;

/** @return in how many milliseconds the candidate would finish the work. */
double estimateFinish(const EstimatedFinish& policy, const Candidate&, const Work&);

/** Chooses a target among eligible candidates. Never allocates. */
RoutingDecision chooseTarget(RoutingPolicy&, std::span<const Candidate>, const Work&);

/**
 * Ranks the targets for a journal shard; the same in every entry, so that calls with one key
 * meet at one agent. The highest rank is asked first.
 */
uint64_t journalRank(const IdempotencyKey& key, uint32_t shards, const TargetId& target);

/**
 * Ranks the targets for a suspected request; the same in every entry, so that copies of it that
 * come through several entries meet at one agent, which runs one suspect at a time.
 */
uint64_t suspectRank(uint64_t fingerprint, const TargetId& target);

/** Keeps retries to a share of the requests, so that a bad hour is not multiplied. */
class RetryBudget {
public:
    RetryBudget(double share, uint32_t burst);
    void noteRequest();
    /** @return false when the budget is spent; the retry must not be made. */
    bool trySpend();
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

/** Divides a limit over the entries; each gets at least one request at a time. */
LimitShare divideLimit(uint32_t concurrentRequests, uint64_t tokensPerMinute, uint32_t entries);

/** Counts an organisation's requests and tokens against its share. */
class Limiter {
public:
    /** @return when to come back; none when the request is within the limits and is counted. */
    std::optional<Milliseconds> tryAdmit(const LimitShare&, uint32_t tokens, SteadyTime now);
    void noteFinished();
    uint32_t running() const noexcept { return m_running; }

private:
    uint32_t m_running = 0;
    double m_tokens = 0;
    bool m_isStarted = false;
    SteadyTime m_refilled;
};

/** How far a request is suspected of crashing targets. */
enum class Suspicion : uint8_t { None, Suspect, Convicted };

/**
 * Which requests were running when targets crashed. A suspect runs as the only suspect on its
 * target; further crashes convict it and a finished run clears it.
 */
class CrashLedger {
public:
    struct Record {
        /** Which crashes; a set, so that what peers know can be merged without counting twice. */
        std::set<uint64_t> crashes;
        UnixMillis expires;
    };

    /** What is known of a request is forgotten so long after its last crash. */
    static constexpr Milliseconds RecordLifetime { 600000 };

    /** @param crashesToConvict different crashes after which a request is run no more. */
    explicit CrashLedger(size_t crashesToConvict = 2)
        : m_crashesToConvict(crashesToConvict)
    {
    }

    /**
     * @param crash identifies the crash in the fleet.
     * @param running fingerprints of the requests that were running when the target crashed.
     */
    void noteCrash(uint64_t crash, std::span<const uint64_t> running, UnixMillis now);
    void noteFinished(uint64_t fingerprint);
    /** @return whether nothing is known of any request. */
    bool empty() const noexcept { return m_records.empty(); }
    Suspicion suspicion(uint64_t fingerprint, UnixMillis now) const;
    /** @return when what is known of a request is forgotten; zero when nothing is. */
    UnixMillis expiryOf(uint64_t fingerprint) const;
    /** @return the crashes that a request is suspected of. */
    std::vector<uint64_t> crashesOf(uint64_t fingerprint) const;
    /** Takes over what a peer knows. */
    void merge(uint64_t fingerprint, const Record& record);
    /** @return records that have not expired. */
    std::map<uint64_t, Record> records(UnixMillis now) const;

private:
    bool isConvicted(const Record& record) const noexcept;

    size_t m_crashesToConvict;
    std::map<uint64_t, Record> m_records;
};

/** One engine as the role planner sees it. */
struct EngineView {
    TargetId target;
    ZoneId zone;
    EngineRole role = EngineRole::Mixed;
    bool isAvailable = true;
};

/** Measured demand of a pool. */
struct Demand {
    double promptTokensPerSecond = 0;
    double outputTokensPerSecond = 0;
};

struct RolePolicy {
    /** Gain in goodput share that one change must bring. */
    double changePrice = 0.1;
    Milliseconds horizon { 20000 };
    Milliseconds shortestInterval { 30000 };
    uint32_t floorPerRole = 1;
    /** Engine seconds that a thousand prompt tokens take, and a thousand output tokens. */
    double prefillCost = 0.024;
    double decodeCost = 0.3;
};

struct RoleChange {
    TargetId target;
    EngineRole role = EngineRole::Mixed;
};

/** Predicts a pool's demand and says which engine should change its role, one at a time. */
class RolePlanner {
public:
    void noteDemand(const Demand& demand, SteadyTime now);
    /** @return the change to order now; none when no change is worth its price. */
    std::optional<RoleChange> plan(
        const RolePolicy&, std::span<const EngineView> engines, SteadyTime now);
    /** @return the share of engine time that prompts are predicted to need. */
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

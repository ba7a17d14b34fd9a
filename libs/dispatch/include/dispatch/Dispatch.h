#pragma once

#include "balance/Balance.h"
#include "dispatch/PrefixCacheIndex.h"
#include "dispatch/ReportAges.h"
#include "dispatch/RetryBudget.h"
#include "fleet/Fleet.h"

#include <array>
#include <map>
#include <set>
#include <span>

/**
 * Decides where requests go on the users' platform: routes, targets, prompt placement and retries.
 * Pure code: the caller passes state and time; no input or output, threads, locks or clock.
 */
namespace citronspoke::dispatch {

/** Finds the route of a request by its host and path. */
class RouteTable {
public:
    explicit RouteTable(fleet::Declaration declaration);
    const fleet::Declaration& declaration() const noexcept { return m_declaration; }
    /**
     * @param path may have a query, which is ignored.
     * @return the route of that host with the longest matching path prefix; null when none matches.
     */
    const fleet::Route* match(std::string_view host, std::string_view path) const;

private:
    fleet::Declaration m_declaration;
    /** Routes by host, longest prefix first. */
    std::map<std::string, std::vector<size_t>, std::less<>> m_byHost;
};

/**
 * Splits the traffic of a route over its pools by their weights.
 * @param route has at least one pool.
 * @param draw random, uniform in [0, 1).
 * @return the pool that serves this request.
 * @throws PreconditionViolated when the route has no pool.
 */
const PoolId& choosePool(const fleet::Route& route, double draw);
/** @return whether the route sends requests to the pool. */
bool leadsTo(const fleet::Route& route, const PoolId& pool);

/** Number of urgency levels by which engines order prompts for prefill; 0 is prefilled first. */
inline constexpr size_t UrgencyLevels = 10;
using Urgency = uint8_t;
/** For prompts that can no longer meet their latency objective; prefilled after all others. */
inline constexpr Urgency LateUrgency = UrgencyLevels - 1;

/** Work in flight at one target. */
struct Load {
    uint32_t requests = 0;
    /** Prompt tokens that are not prefilled yet, by urgency. */
    std::array<uint64_t, UrgencyLevels> promptTokens {};
    /** KV cache size of the running requests, in tokens. */
    uint64_t usedCacheTokens = 0;

    /** @return prompt tokens that are prefilled before a new prompt of that urgency. */
    uint64_t tokensAhead(Urgency urgency) const;
    /** @return prompt tokens of all urgencies. */
    uint64_t tokensToPrefill() const { return tokensAhead(LateUrgency); }

    Load& operator+=(const Load& other);
    /** Subtracts load that was added before; no value falls below 0. */
    Load& operator-=(const Load& other);
    bool operator==(const Load&) const = default;
};

/** The last report of another entry about its load at a target. */
struct PeerLoad {
    Load load;
    SteadyTime receivedAt {};
};

/** The outcome of an attempt, as far as it concerns the health of the target. */
enum class AttemptResult : uint8_t {
    Served,
    /** The target is running and did not accept the request. */
    Refused,
    /** As above, and the target has requested a pause, which is followed elsewhere. */
    Paused,
    /** The address belongs to another target or incarnation; the target's record is stale. */
    Replaced,
    /** The target failed, or it is unknown whether it ran the request. */
    Failed,
    /** The request could not be sent. */
    Unreachable,
};

/** A target's record and what this process knows about its load and health. */
struct TargetState {
    fleet::TargetRecord record;
    /** Unfinished requests that this process has sent. */
    Load ownLoad;
    /** Last reported load of the other entries, and its sum. */
    std::map<EntryId, PeerLoad> peerLoads;
    Load peerLoadSum;
    /** A request can be sent without opening a new connection. */
    bool isConnected = false;
    uint32_t consecutiveFailures = 0;
    uint32_t consecutiveRefusals = 0;
    /** Connections in a row that could not be opened. A response that is lost or broken off does
     * not count: many engines may lose some responses at the same time and still serve. */
    uint32_t consecutiveUnreachable = 0;
    SteadyTime lastUnreachable {};
    /** When other entries last reported that they could not reach the target; cleared when this
     * one can. */
    std::map<EntryId, SteadyTime> peerFailures;
    /** Gets no requests before this time, unless there is no other target. */
    SteadyTime avoidUntil {};
    /** Gets no requests at all before this time, because its record is known to be stale. */
    SteadyTime excludedUntil {};
    /** Set when the record is missing from the store but may be registered again until then. */
    std::optional<SteadyTime> mayReturnUntil;
    /** @return whether the record was missing for so long that the target is gone. */
    bool isGone(SteadyTime now) const { return mayReturnUntil && now >= *mayReturnUntil; }
    /** Prompt tokens of all entries by urgency, each with those of more urgent prompts. */
    std::array<uint64_t, UrgencyLevels> tokensAhead {};
    /** Prompt tokens of the other entries. */
    uint64_t peerTokens = 0;
    /** Hash of the target's id. */
    uint64_t idHash = 0;
    /** Measured by this process. */
    balance::EngineSpeeds speeds;

    /** Must be called after a change of the loads. */
    void updateTokens();
    /** @return the load from all entries, as far as it is known. */
    Load load() const;
    /** @return whether requests should go elsewhere while there are other targets. */
    bool isAvoided(SteadyTime now) const
    {
        const bool mayBeLost = consecutiveUnreachable > 0 || !peerFailures.empty();
        return avoidUntil > now || (mayBeLost && isSuspectedLost(now));
    }
    /**
     * @return whether the target seems to be gone, although its record is still in the store: this
     *         entry could not connect to it repeatedly, or several entries could not lately.
     */
    bool isSuspectedLost(SteadyTime now) const;
};

/**
 * The known targets: their records from the store, the load of all entries, and their health as
 * learned from attempts. Only put(), remove(), replaceAll() and expire() add or remove targets, so
 * the pointers that queries return stay valid until one of these is called.
 */
class TargetDirectory {
public:
    /** A peer's load expires after this time; peers resend theirs four times within it. */
    static constexpr Milliseconds PeerReportTimeout { 2000 };

    /** Adds or updates a record. @return whether the target is new or a new incarnation. */
    bool put(const fleet::TargetRecord& record);
    /**
     * Removes the record of a target.
     * @param mayReturnUntil until then the record may be missing only because it expired while the
     *        store was unreachable, and the target is still used; a past time removes it at once.
     */
    void remove(const TargetId& id, SteadyTime mayReturnUntil, SteadyTime now);
    /**
     * Replaces all records; targets that are missing from the list are removed as by remove().
     * While records may be outdated, those known before outrank them, and targets that were removed
     * before stay unused, until put() brings a newer record or the time has passed.
     * @return the targets whose listed record is held back for that.
     */
    std::vector<TargetId> replaceAll(std::span<const fleet::TargetRecord> records,
        const fleet::StoreRecovery& recovery, SteadyTime now);
    /**
     * Drops targets that were not registered again in time, and stale loads of peers, and accepts
     * records that can no longer be outdated. To be called a few times a second, between requests.
     */
    void expire(SteadyTime now);
    /**
     * A target has announced in a response, to this gateway or another, that it is leaving. This
     * holds for its incarnation, whatever its record states, also when the record is removed and
     * written again.
     * @return whether that is new.
     */
    bool noteLeaving(const fleet::Incarnation& incarnation, SteadyTime now);
    /** @return the targets with a record that have announced their departure in a response. */
    std::vector<fleet::Incarnation> departures() const;
    /** Stores the load that a peer reports for its own requests at a target. */
    void notePeerLoad(const TargetId& id, const EntryId& peer, const Load& load, SteadyTime now);
    /** An update of a peer was received, whose loads are stored by notePeerLoad(). */
    void notePeerUpdate(const EntryId& peer, uint64_t sequenceNumber, SteadyTime now);
    const ReportAges& reportAges() const noexcept { return m_reportAges; }

    /** @return the targets of a pool that may get new requests, in the order of their ids. */
    std::vector<TargetState*> usable(const PoolId& pool, SteadyTime now) const;
    /**
     * @return all known targets of a pool, in the order of their ids; also those that are leaving,
     *         which still respond for a while, and those whose record is stale.
     */
    std::vector<TargetState*> allInPool(const PoolId& pool, SteadyTime now) const;
    /** @return null when no such target is known. */
    TargetState* find(const TargetId& id);
    size_t size() const noexcept { return m_targets.size(); }
    const std::map<TargetId, TargetState>& targets() const noexcept { return m_targets; }

    /** A peer reports that the address of a target belongs to another one; excludes the target. */
    void notePeerReportedReplaced(const TargetId& id, SteadyTime now);

    /** A peer reports that it could not reach a target. */
    void notePeerFailure(const TargetId& id, const EntryId& peer, SteadyTime now);

    /** Adds the load of a request that this process sends. */
    void noteStarted(const TargetId& id, const Load& load);
    /** Subtracts the load of a request, or of the part of it that is finished. */
    void noteFinished(const TargetId& id, const Load& load);
    /** Updates the health of a target after an attempt: whether and how long to avoid it. */
    void noteResult(const TargetId& id, AttemptResult result, SteadyTime now);

private:
    /** An incarnation that has announced that it is leaving. */
    struct Departure {
        UnixMillis startedAt;
        /** When a record of the target was last known. */
        SteadyTime lastRegistered;
    };

    /** A record that may come from an older copy of the store. */
    struct UnconfirmedRecord {
        fleet::TargetRecord record;
        SteadyTime unconfirmedUntil;
    };
    /** The last record of a target that was removed. */
    struct RemovedRecord {
        fleet::TargetRecord record;
        SteadyTime removedAt;
    };

    /** Adds or updates a record that may be outdated. @return whether it is used. */
    bool putUnconfirmed(fleet::TargetRecord record, SteadyTime unconfirmedUntil);
    /** @return whether a record is older than what is known of its target. */
    bool isOutdated(const fleet::TargetRecord& record) const;
    void drop(std::map<TargetId, TargetState>::iterator target, SteadyTime now);
    void dropMissing(SteadyTime now);
    void acceptUnconfirmed(SteadyTime now);
    void dropOldRemovals(SteadyTime now);
    void excludeReplacedTargets(const TargetState& registered);
    void addToPool(TargetState& state);
    void removeFromPool(const TargetState& state);
    void dropStalePeerLoads(SteadyTime now);
    void dropOldDepartures(SteadyTime now);

    std::map<TargetId, TargetState> m_targets;
    std::map<TargetId, Departure> m_departures;
    std::map<TargetId, UnconfirmedRecord> m_unconfirmed;
    std::map<TargetId, RemovedRecord> m_removed;
    SteadyTime m_staleLoadsCheckedAt {};
    ReportAges m_reportAges;
    /** The targets of each pool in the order of their ids. */
    std::map<PoolId, std::vector<TargetState*>> m_poolMembers;
    /** When the first missing target is dropped. */
    SteadyTime m_nextReturnEnd = SteadyTime::max();
};

/** What the choice of a target considers of other gateways, whose latest requests it cannot know.
 */
struct EvenLoad {
    /** Position of this gateway among all gateways; they all know the same order. */
    uint32_t gateway = 0;
    uint32_t gateways = 0;
    /** Mean over the other gateways. */
    double reportAgeMs = 0;
    /** Mean time from one token to the next at the pool's engines; 0 while unknown. */
    double decodeStepMs = 0;
    /** Random, uniform in [0, 1). */
    double draw = 0;
    /** The requests of this gateway, in the unit of the choice's costs. */
    balance::ArrivalMeter own;
};

/**
 * Chooses a target for a request without a prompt: the one with the least load per slot, among
 * equals one in the own zone. Targets that are to be avoided after recent failures come last.
 * @param excluded targets that must not get the request again.
 * @param draw random, uniform in [0, 1); decides among equals.
 * @param even set to spread requests evenly although reports are old; costs are in requests.
 * @return null when there is none.
 */
TargetState* chooseTarget(std::span<TargetState* const> candidates,
    const std::set<TargetId>& excluded, const ZoneId& ownZone, double draw, SteadyTime now,
    const EvenLoad* even = nullptr);

/** Where a prompt is prefilled. */
struct PromptPlacement {
    /** Null when there is no engine. */
    TargetState* engine = nullptr;
    /** Has cached parts that the chosen engine lacks; null when there is nothing to fetch. */
    const TargetState* fetchFrom = nullptr;
    /** Tokens that the chosen engine is expected to prefill for this prompt. */
    uint64_t tokensToPrefill = 0;
    /** Tokens of other prompts that it prefills before. */
    uint64_t tokensAhead = 0;
    Urgency urgency = 0;
    /** Expected time from sending the prompt to the end of its prefill; zero while unknown. */
    Milliseconds expected { 0 };
};

/** Estimates the prefill throughput of the engines of a pool from measured prompts. */
class PrefillSpeed {
public:
    /**
     * Adds a measurement; short prompts and long queues are ignored.
     * @param tokens of the prompt that were prefilled.
     * @param tokensAhead tokens of other prompts that were prefilled before.
     * @param took from sending the prompt to the end of its prefill.
     */
    void notePrefilled(uint64_t tokens, uint64_t tokensAhead, Milliseconds took);
    /** @return the time to prefill so many tokens; zero until the first measurement. */
    Milliseconds estimate(uint64_t tokens) const;
    /** @return 0 until the first measurement. */
    double tokensPerMs() const noexcept { return m_tokensPerMs; }
    /** @return the tokens in each millisecond that a prompt shows; none when it is ignored. */
    static std::optional<double> measured(uint64_t tokens, uint64_t tokensAhead, Milliseconds took);

private:
    double m_tokensPerMs = 0;
};

/** What a request demands of the placement of its prompt. */
struct PromptGoal {
    /** Priority of the route; 0 is the most urgent. */
    uint32_t priority = 0;
    /** Until the response should begin. */
    Milliseconds timeLeft { 0 };
    /** Where the request arrived. */
    ZoneId zone;
    /** Its organisation uses more than its share of the pool. */
    bool isOverShare = false;
    /** The pool is short of capacity, which is divided among organisations by their shares. */
    bool isDividedByShares = false;
    /** Its caller was refused before and has returned when it was told to. */
    bool isReturning = false;
};

/**
 * Chooses a prefill engine for a prompt: the one that is expected to finish first. Cached parts are
 * fetched from the engine that has most of them. Shared parts that no engine has cached are
 * prefilled at their home engine, which all entries find by rendezvous hashing without
 * communication, so that they are prefilled once. Prompts are prefilled in the order of their
 * routes' priorities, and within a priority short ones first; a prompt that is expected to be late
 * comes after all others.
 * @param candidates engines that may get the prompt.
 * @param cachingEngines engines that others may fetch parts from; also those that are leaving.
 * @param excluded engines that must not get the prompt again.
 * @param even set to spread prompts evenly although reports are old, and to consider the speeds of
 *        single engines; costs are in milliseconds of an engine of mean speed.
 */
PromptPlacement placePrompt(std::span<TargetState* const> candidates,
    std::span<TargetState* const> cachingEngines, const fleet::Prompt& prompt,
    const PromptGoal& goal, const PrefixCacheIndex& cacheIndex, const PrefillSpeed& speed,
    const std::set<TargetId>& excluded, SteadyTime now, const EvenLoad* even = nullptr);

/** @return the work of a prompt that is prefilled, in the unit of that choice. */
double prefillWork(uint64_t tokens, const PrefillSpeed& speed);

/** What a request demands of its decode engine. */
struct DecodeGoal {
    /** Zone of the engine that has prefilled the prompt. */
    ZoneId zone;
    /** Length of the prompt, whose KV cache is transferred. */
    uint64_t promptTokens = 0;
    /** Whether its stream may be resumed at another engine, which must have the same version. */
    bool isResumable = false;
};

/**
 * Chooses a decode engine: the one with the least work, where a transfer from another zone counts
 * as more work, and for a stream that may be resumed an engine that is the only one of its software
 * version. Engines that are to be avoided after recent failures come last.
 * @param excluded engines that must not get the request again.
 * @param even set to spread requests evenly although reports are old; costs are in tokens.
 * @return null when there is none.
 */
TargetState* chooseDecodeEngine(std::span<TargetState* const> decodeEngines,
    const std::set<TargetId>& excluded, const DecodeGoal& goal, SteadyTime now,
    const EvenLoad* even = nullptr);
/** @return the work that a request adds to its decode engine, in the unit of that choice. */
double decodeWork(uint64_t cacheTokens);

} // namespace citronspoke::dispatch

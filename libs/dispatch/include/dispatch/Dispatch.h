#pragma once

#include "fleet/Fleet.h"

#include <array>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <span>
#include <unordered_map>

/**
 * Where work goes on the users' platform: routes, targets, prompt placement, retries and roles.
 * Pure code: state and time in, decision out; no input or output, threads or clock.
 */
namespace citronspoke::dispatch {

/** Finds the route of a request. */
class RouteTable {
public:
    explicit RouteTable(fleet::Declaration declaration);
    const fleet::Declaration& declaration() const noexcept { return m_declaration; }
    /** @return the route of that host with the longest prefix of the path; null when none. */
    const fleet::Route* match(std::string_view host, std::string_view path) const;

private:
    fleet::Declaration m_declaration;
    /** Routes by host, longest prefix first. */
    std::map<std::string, std::vector<size_t>, std::less<>> m_byHost;
};

/** @param draw uniform in [0, 1). @return the pool that serves this request. */
const PoolId& choosePool(const fleet::Route& route, double draw);

/** Levels in which engines order the reading of prompts; 0 goes first. */
inline constexpr size_t UrgencyLevels = 10;
using Urgency = uint8_t;
/** For prompts that can no longer be on time; they take what the others leave. */
inline constexpr Urgency LateUrgency = UrgencyLevels - 1;

/** Work in flight at one target. */
struct Load {
    uint32_t requests = 0;
    /** Prompt tokens that still have to be read, by urgency. */
    std::array<uint64_t, UrgencyLevels> promptTokens {};
    /** Tokens that running requests hold in memory. */
    uint64_t cacheTokens = 0;

    /** @return tokens that are read before a new prompt of that urgency. */
    uint64_t tokensAhead(Urgency urgency) const;
    /** @return all prompt tokens. */
    uint64_t tokensToRead() const { return tokensAhead(LateUrgency); }

    Load& operator+=(const Load& other);
    /** Takes off what was added before. */
    Load& operator-=(const Load& other);
    bool operator==(const Load&) const = default;
};

/** What another entry said of its work at a target. */
struct PeerLoad {
    Load load;
    SteadyTime heardAt {};
};

/** How an attempt at a target went, as far as the target's health is concerned. */
enum class AttemptResult : uint8_t {
    Served,
    /** The target is there and did not take the work. */
    Refused,
    /** Another target, or another life of it, has the address; its entry is old. */
    Replaced,
    Failed,
    Unreachable,
};

/** One target as this process knows it. */
struct TargetState {
    fleet::TargetEntry entry;
    /** Work that this process has sent and that is not finished. */
    Load own;
    /** Work of the other entries, as they last said, and its sum. */
    std::map<EntryId, PeerLoad> peers;
    Load peersTogether;
    /** Work can be sent without a new connection. */
    bool isConnected = false;
    uint32_t failuresInRow = 0;
    uint32_t refusalsInRow = 0;
    /** No work before this time, unless there is no other target. */
    SteadyTime avoidUntil {};
    /** No work at all before this time: the entry is known to be old. */
    SteadyTime replacedUntil {};
    /** Set when the entry is missing from the store but may return until then. */
    std::optional<SteadyTime> mayReturnUntil;

    /** @return the work of all entries, as far as it is known. */
    Load load() const;
};

/** What is known of the targets, by their entries in the store and by own attempts. */
class TargetDirectory {
public:
    /** Peers repeat what they have in flight four times in this time. */
    static constexpr Milliseconds PeerSilence { 2000 };

    /** Takes over one entry. @return whether the target is new or has started again. */
    bool put(const fleet::TargetEntry& entry);
    /**
     * An entry is gone.
     * @param mayReturnUntil until then the entry may only have lapsed while the store was away, and
     *        the target is still used.
     */
    void remove(const TargetId& id, SteadyTime mayReturnUntil, SteadyTime now);
    /** Takes over the whole list; entries that are missing from it are removed. */
    void replaceAll(
        std::span<const fleet::TargetEntry> entries, SteadyTime mayReturnUntil, SteadyTime now);
    /** Forgets entries that did not return in time, and what silent peers said. */
    void expire(SteadyTime now);
    /** Takes over what a peer says of its own work at a target. */
    void notePeerLoad(const TargetId& id, const EntryId& peer, const Load& load, SteadyTime now);

    /** @return the targets of a pool that may get new work, in the order of their ids. */
    std::vector<TargetState*> usable(const PoolId& pool, SteadyTime now);
    /** @return those and the ones that are leaving, which still answer for a while. */
    std::vector<TargetState*> present(const PoolId& pool, SteadyTime now);
    /** @return null when no such target is known. */
    TargetState* find(const TargetId& id);
    size_t size() const noexcept { return m_targets.size(); }
    const std::map<TargetId, TargetState>& targets() const noexcept { return m_targets; }

    /** A peer met another target at that one's address. */
    void notePeerMetAnother(const TargetId& id, SteadyTime now);

    void noteStarted(const TargetId& id, const Load& load);
    void noteFinished(const TargetId& id, const Load& load);
    void noteResult(const TargetId& id, AttemptResult result, SteadyTime now);

private:
    void settleAddress(const TargetState& newcomer);
    void forgetSilentPeers(SteadyTime now);

    std::map<TargetId, TargetState> m_targets;
    SteadyTime m_silenceCheckedAt {};
};

/**
 * Chooses a target for a request without a prompt: the least loaded for its slots, own zone first
 * among equals. Targets that lately failed come last.
 * @param tried targets that must not be asked again.
 * @param draw uniform in [0, 1); decides among equals.
 * @return null when there is none.
 */
TargetState* chooseTarget(std::span<TargetState* const> candidates, const std::set<TargetId>& tried,
    const ZoneId& ownZone, double draw, SteadyTime now);

/** Which engines keep which parts of prompts, as far as the entries have sent them there. */
class CacheLedger {
public:
    /** What an engine has of a prompt, in tokens from the prompt's start. */
    struct Holding {
        /** Read already, so that other engines can fetch it. */
        uint64_t ready = 0;
        /** Read, or being read by an earlier request. */
        uint64_t expected = 0;
    };

    /** A prompt was sent to an engine, which will have its parts once it has read them. */
    void noteSent(
        const TargetId& engine, uint64_t capacityTokens, std::span<const fleet::PromptPart> parts);
    /** An engine has read or fetched the parts of a prompt. */
    void noteRead(
        const TargetId& engine, uint64_t capacityTokens, std::span<const fleet::PromptPart> parts);
    /** The engine did not read the prompt that was sent. */
    void noteNotRead(const TargetId& engine, std::span<const fleet::PromptPart> parts);
    /** The engine is gone or has started again and holds nothing. */
    void forget(const TargetId& engine);
    Holding holding(const TargetId& engine, std::span<const fleet::PromptPart> parts) const;
    /** What the engines that have something of a prompt have of it, by the engines' ids. */
    using Holdings = std::unordered_map<std::string_view, Holding>;
    /** @return valid until the ledger changes. */
    Holdings holdings(std::span<const fleet::PromptPart> parts) const;

private:
    struct Part {
        std::string id;
        uint32_t tokens = 0;
        bool isReady = false;
    };
    struct EngineCache {
        /** Least recently used first. */
        std::list<Part> parts;
        std::unordered_map<std::string, std::list<Part>::iterator> byId;
        uint64_t tokens = 0;
    };
    void note(const TargetId& engine, uint64_t capacityTokens,
        std::span<const fleet::PromptPart> parts, bool isReady);
    static Holding holdingIn(const EngineCache& cache, std::span<const fleet::PromptPart> parts);
    void dropHolder(const std::string& part, const std::string& engine);

    std::unordered_map<std::string, EngineCache> m_engines;
    /** The engines that have a part. */
    std::unordered_map<std::string, std::set<std::string>> m_holders;
};

/** Where a prompt is read. */
struct PromptPlacement {
    TargetState* engine = nullptr;
    /** Has shared parts that the chosen engine lacks. */
    const TargetState* fetchFrom = nullptr;
    /** Tokens that the chosen engine is expected to read. */
    uint64_t tokensToRead = 0;
    /** Tokens that it reads before. */
    uint64_t tokensAhead = 0;
    Urgency urgency = 0;
};

/** Learns how fast the engines of a pool read prompts. */
class ReadSpeed {
public:
    /** @param tokens that were read, and those that were read before. */
    void noteRead(uint64_t tokens, uint64_t tokensAhead, Milliseconds took);
    /** @return the time to read so many tokens; zero until the speed is known. */
    Milliseconds estimate(uint64_t tokens) const;

private:
    double m_tokensPerMs = 0;
};

/** What decides the urgency of a prompt. */
struct PromptGoal {
    /** The route's rank; 0 is the most urgent. */
    uint32_t priority = 0;
    /** Until the answer has to begin. */
    Milliseconds timeLeft { 0 };
    /** Where the request came in. */
    ZoneId zone;
};

/**
 * Chooses an engine to read a prompt: the one that is expected to be done first. Shared parts that
 * some engine has are fetched from there. Parts that nobody has are read at a home engine, which is
 * the same for all entries without talk, so that they are read once.
 * Prompts are read by the rank of their routes, and within a rank the short ones first; one that
 * is expected to be late gives way to all others.
 * @param readers engines that may get the prompt.
 * @param holders engines that other engines may fetch parts from; also those that are leaving.
 */
PromptPlacement placePrompt(std::span<TargetState* const> readers,
    std::span<TargetState* const> holders, const fleet::Prompt& prompt, const PromptGoal& goal,
    const CacheLedger& ledger, const ReadSpeed& speed, const std::set<TargetId>& tried,
    SteadyTime now);

/**
 * Chooses an engine to make tokens: the one with the most free memory, near the reader.
 * @param zone of the engine that has read the prompt.
 */
TargetState* chooseTokenMaker(std::span<TargetState* const> makers, const std::set<TargetId>& tried,
    const ZoneId& zone, SteadyTime now);

/**
 * This entry's part of the retries that all entries together may make: a share of its own requests
 * and an even part of the fixed allowance, within a sliding window.
 */
class RetryAllowance {
public:
    struct Limits {
        double share = 0;
        double fixedPart = 0;
        Milliseconds window { 10000 };
    };

    /** @param start of this process; a process before it may have spent the fixed part just now. */
    RetryAllowance(const Limits& limits, SteadyTime start);
    void updateEntries(uint32_t entries);
    void updateLimits(const Limits& limits);
    void noteRequest(const PoolId& pool, SteadyTime now);
    /**
     * @param sends that the retry makes.
     * @return false when the allowance of that pool does not cover them; the retry must not be
     * made.
     */
    bool trySpend(const PoolId& pool, uint32_t sends, SteadyTime now);

private:
    struct History {
        std::deque<SteadyTime> requests;
        std::deque<SteadyTime> retries;
    };
    void dropOld(History& history, SteadyTime now) const;

    double allowed(const History& history, SteadyTime now) const;

    Limits m_limits;
    SteadyTime m_start;
    uint32_t m_entries = 0;
    std::map<PoolId, History> m_pools;
};

/** Divides the engines of a pool between reading prompts and making tokens. */
struct RolePlan {
    /** Engines that make tokens, for each engine of the pool. */
    double makersShare = 1.0 / 6;
    uint32_t fewestMakers = 1;

    uint32_t makers(size_t engines) const;
};

/** Roles that engines were ordered to take; they may still be on their way. */
using OrderedRoles = std::map<TargetId, EngineRole>;

/** @return the engine with the role that it has or was ordered to take. */
fleet::TargetEntry withOrderedRole(const fleet::TargetEntry& engine, const OrderedRoles& ordered);

/**
 * Chooses the engines that should make tokens; the others read prompts. All processes that know the
 * same engines choose the same ones.
 * @param engines of one pool, in any order; leaving ones and those without a role take no part.
 */
std::set<TargetId> planMakers(const RolePlan& plan, std::span<const fleet::TargetEntry> engines);

/** @return the role that an engine should change to; none when its role should stay as it is. */
std::optional<EngineRole> plannedChange(
    const std::set<TargetId>& makers, const fleet::TargetEntry& engine);

} // namespace citronspoke::dispatch

#pragma once

#include "model/Model.h"

#include <array>

/** The operators' declaration and the targets' records and reports, in types of our own. */
namespace citronspoke::fleet {

/** Position of a target's registration in the store; a later one compares greater. */
struct Registration {
    /** Rises when the store is restored from an older copy; numbers are then given out again. */
    int64_t storeEra = 0;
    int64_t number = 0;
    auto operator<=>(const Registration&) const = default;
};

/** How far the contents of the store may differ from what was written to it. */
struct StoreRecovery {
    /** Until then a key may be missing only because its lease expired during an outage, or its
     * write was lost in a restore, and its owner has not written it again yet. */
    SteadyTime mayReturnUntil {};
    /** Until then an item may come from the copy that the store was restored from, without its
     * owner having written or removed it since. */
    SteadyTime mayBeOutdatedUntil {};
};

/** Where a target or store listens. */
struct Address {
    std::string ip;
    uint16_t port = 0;

    auto operator<=>(const Address&) const = default;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/** Parses "IP:PORT"; the port is 1 to 65535. @return none when the text has another form. */
std::optional<Address> parseAddress(std::string_view text);
/** Parses text that was validated before. @throws PreconditionViolated when it is not "IP:PORT". */
Address requireAddress(std::string_view text);

/** Whether and how a request may be retried once a target may have run it. */
enum class Repeatability : uint8_t { Idempotent, AtMostOnce, Stream };

/** A pool's share of a route's traffic. */
struct PoolShare {
    PoolId pool;
    /** Relative to the other pools of the route. */
    double weight = 1;
};

/** A declared route: which requests it matches and how they are served. */
struct Route {
    std::string name;
    std::string host;
    /** Prefix of the request paths that the route serves. */
    std::string prefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /** Longest time that a caller waits. */
    Milliseconds timeout { 0 };
    /** Target for the time to the response or, for streams, to the first event. */
    Milliseconds latencyObjective { 0 };
    /** Target for the longest time between two events of a stream. */
    Milliseconds eventGapObjective { 0 };
    /** 0 is the most urgent. */
    uint32_t priority = 0;
    /** Most targets that may run one attempt of a caller, the first included. */
    uint32_t maxTargets = 1;
    /** Whether the route's requests declare their prompts. */
    bool carriesPrompts = false;
    /** Whether a broken stream may be resumed at another target. */
    bool isResumable = false;
    /** Whether callers need no key of an organisation. */
    bool isPublic = false;
    std::vector<PoolShare> pools;

    /** @return whether a request may be sent again after a target may have run it. */
    bool mayRepeat() const noexcept
    {
        return repeatability == Repeatability::Idempotent || isResumable;
    }
};

/** Properties shared by all model engines of a pool. */
struct EngineTraits {
    /** Requests that an engine runs at the same time. */
    uint32_t slots = 1;
    /** Capacity of the KV cache, in tokens. */
    uint64_t cacheTokens = 0;
    uint64_t cacheBytesPerToken = 0;
    /** How long a prefill engine holds the KV cache of a prompt for a decode engine to fetch. */
    Milliseconds handleLifetime { 0 };
    /** How long an engine is unavailable during a change of role. */
    Milliseconds roleChangeTime { 0 };
};

/** Limits on the number of engines that a pool may be ordered to have in each availability zone. */
struct Scaling {
    uint32_t minEngines = 0;
    uint32_t maxEngines = 0;
    /** Time from an order until a new engine serves. */
    Milliseconds bootTime { 0 };
};

/** A declared pool of targets. */
struct PoolTraits {
    PoolId id;
    /** Path of the health check at each target. */
    std::string healthPath;
    /** Connections that one target accepts from all callers together. */
    uint32_t connectionLimit = 0;
    /** Set for pools of model engines. */
    std::optional<EngineTraits> engine;
    /** Set for pools whose number of engines this system orders. */
    std::optional<Scaling> scaling;
};

/** SHA-256 of a caller's key; the keys themselves are not kept. */
using KeyDigest = std::array<uint8_t, 32>;

/** A declared organisation, whose callers identify themselves by keys. */
struct Organisation {
    OrganisationId id;
    std::vector<KeyDigest> keyDigests;
    /** Takes precedence over the priority of the route; 0 is the most urgent. */
    std::optional<uint32_t> priority;
};

/** Limits on the requests and connections of callers. */
struct CallerLimits {
    /** Largest request head. */
    size_t headBytes = 16384;
    size_t bodyBytes = 4 << 20;
    Milliseconds headTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    bool operator==(const CallerLimits&) const = default;
};

/** @return for each limit the wider one of two. */
CallerLimits widest(const CallerLimits& left, const CallerLimits& right);

/** The operators' declaration as a whole. */
struct Declaration {
    ConfigRevision revision;
    std::vector<Route> routes;
    std::vector<PoolTraits> pools;
    /** None where callers need no keys. */
    std::optional<std::vector<Organisation>> organisations;
    /** Positions, from 0, of the organisations that were skipped because they are malformed. */
    std::vector<size_t> malformedOrganisations;
    CallerLimits limits;

    /** @return null when no such pool is declared. */
    const PoolTraits* pool(const PoolId& id) const;
};

/** One run of a target, from its start to its end. */
struct Incarnation {
    TargetId target;
    /** Not stated (0) by targets that start with another id each time. */
    UnixMillis startedAt;

    bool operator==(const Incarnation&) const = default;
};

/** The record that a target keeps of itself in the store. */
struct TargetRecord {
    TargetId id;
    PoolId pool;
    Address address;
    ZoneId zone;
    /** Requests that the target runs at the same time. */
    uint32_t slots = 1;
    /** Whether the target drains: it finishes its work and takes no more. */
    bool isLeaving = false;
    /** Set for model engines that separate prefill from decode. */
    std::optional<EngineRole> role;
    /** Empty when the record does not state it. Versions have no order. */
    SoftwareVersion version;
    /** When the target started; with the id it identifies an incarnation of the target. */
    UnixMillis startedAt;
    Registration registration;
    /** Never falls while this incarnation runs; 0 when the record does not state it. */
    int64_t sequence = 0;

    Incarnation incarnation() const { return { id, startedAt }; }
    bool operator==(const TargetRecord&) const = default;
};

/** A part of a prompt that other prompts may share. */
struct PromptPart {
    std::string id;
    uint32_t tokens = 0;
};

/** The prompt of a request, as its headers declare it. */
struct Prompt {
    std::string model;
    /** Length of the whole prompt. */
    uint32_t tokens = 0;
    /** Most output tokens; 0 when not declared. */
    uint32_t outputLimit = 0;
    /** In prompt order; the last part is specific to the request or its session. */
    std::vector<PromptPart> parts;
};

/** A status report of a model engine. */
struct EngineReport {
    std::optional<EngineRole> role;
    UnixMillis startedAt;
    /** Whether a change of role is in progress. */
    bool isChangingRole = false;
    /** Orders accepted in this incarnation of the engine. */
    OrderSequence acceptedOrders;
    /** Requests in the engine's queue. */
    uint32_t queuedRequests = 0;
    /** Requests that the engine is running. */
    uint32_t runningRequests = 0;
    /** Used part of the KV cache, in tokens. */
    uint64_t cacheTokensUsed = 0;
    /** Capacity of the KV cache, in tokens. */
    uint64_t cacheTokens = 0;
};

} // namespace citronspoke::fleet

#pragma once

#include "model/Model.h"

/** What the operators declare and what the targets say of themselves, in our own types. */
namespace citronspoke::fleet {

/** The order in which targets came to the store. */
using Registration = Number<struct RegistrationTag>;

/** Where a target or store listens. */
struct Address {
    std::string ip;
    uint16_t port = 0;

    auto operator<=>(const Address&) const = default;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/** @return the address in "IP:PORT"; none when it is not one. */
std::optional<Address> parseAddress(std::string_view text);
/** The same for text that was checked before. @throws PreconditionViolated */
Address requireAddress(std::string_view text);

/** Whether, and how, a request may be repeated. */
enum class Repeatability : uint8_t { Idempotent, AtMostOnce, Stream };

/** A pool's part of a route's traffic. */
struct PoolShare {
    PoolId pool;
    double weight = 1;
};

/** One declared route. */
struct Route {
    std::string name;
    std::string host;
    /** The start of the paths that the route serves. */
    std::string prefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /** The longest time that a caller is kept waiting. */
    Milliseconds timeout { 0 };
    /** The time to the answer, or to the first event, that is on time. */
    Milliseconds latencyObjective { 0 };
    /** The longest pause between events of a stream that is on time. */
    Milliseconds gapObjective { 0 };
    /** Rank; 0 is the most urgent. */
    uint32_t priority = 0;
    /** Targets that may run one attempt of a caller. */
    uint32_t targetLimit = 1;
    /** Its requests declare their prompts. */
    bool carriesPrompts = false;
    /** A broken stream may go on at another target. */
    bool isResumable = false;
    std::vector<PoolShare> pools;

    bool mayRepeat() const noexcept
    {
        return repeatability == Repeatability::Idempotent || isResumable;
    }
};

/** What all model engines of a pool have in common. */
struct EngineTraits {
    uint32_t slots = 1;
    uint64_t cacheTokens = 0;
    uint64_t cacheBytesPerToken = 0;
    /** How long an engine keeps the cache of a prompt that was read for another engine. */
    Milliseconds handleLifetime { 0 };
    /** How long a change of role takes an engine away. */
    Milliseconds roleChangeTime { 0 };
};

/** One declared pool of targets. */
struct PoolTraits {
    PoolId id;
    std::string healthPath;
    /** Connections that one target accepts from all callers together. */
    uint32_t connectionLimit = 0;
    /** Set for pools of model engines. */
    std::optional<EngineTraits> engine;
};

/** What callers may send. */
struct CallerLimits {
    size_t headBytes = 16384;
    size_t bodyBytes = 4 << 20;
    Milliseconds headTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };
};

/** The operators' declaration as a whole. */
struct Declaration {
    ConfigRevision revision;
    std::vector<Route> routes;
    std::vector<PoolTraits> pools;
    CallerLimits limits;

    /** @return null when no such pool is declared. */
    const PoolTraits* pool(const PoolId& id) const;
};

/** What a target says of itself in the store. */
struct TargetEntry {
    TargetId id;
    PoolId pool;
    Address address;
    ZoneId zone;
    uint32_t slots = 1;
    bool isLeaving = false;
    /** Set for model engines that read prompts and make tokens apart. */
    std::optional<EngineRole> role;
    /** When the target started; with the id it names one life of the target. */
    UnixMillis startedAt;
    /** Grows from one registration in the store to the next. */
    Registration registration;

    bool operator==(const TargetEntry&) const = default;
};

/** A part of a prompt that other prompts may share. */
struct PromptPart {
    std::string id;
    uint32_t tokens = 0;
};

/** What a request declares of its prompt. */
struct Prompt {
    std::string model;
    uint32_t tokens = 0;
    uint32_t outputLimit = 0;
    /** In the order of the prompt; the last part belongs to the request or its session. */
    std::vector<PromptPart> parts;
};

/** What a model engine reports of itself. */
struct EngineReport {
    std::optional<EngineRole> role;
    UnixMillis startedAt;
    bool isChanging = false;
    /** Orders accepted in this life of the engine. */
    OrderSequence orders;
    uint32_t waiting = 0;
    uint32_t running = 0;
    uint64_t cacheTokensUsed = 0;
    uint64_t cacheTokens = 0;
};

} // namespace citronspoke::fleet

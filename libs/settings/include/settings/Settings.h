#pragma once

#include "model/Model.h"

#include <map>
#include <span>

/**
 * Settings of processes and the operators' configuration of a deployment. Both are TOML, and
 * every key is checked: unknown keys, types, units, ranges and references.
 */
namespace citronspoke::settings {

/** One thing that is wrong, and where. */
struct Problem {
    std::string file;
    uint32_t line = 0;
    /** The dotted key, such as "tier.gold.worth". */
    std::string key;
    /** What was expected there. */
    std::string expected;
};

/** One or more files hold values that are not accepted. */
class SettingsInvalid final : public Error {
public:
    explicit SettingsInvalid(std::vector<Problem> problems)
        : m_problems(std::move(problems))
    {
    }
    std::string_view kind() const noexcept override { return "settings_invalid"; }
    std::string describe() const override;
    std::span<const Problem> problems() const noexcept { return m_problems; }

private:
    std::vector<Problem> m_problems;
};

/** A settings file or folder could not be read. */
class SettingsUnreadable final : public Error {
public:
    explicit SettingsUnreadable(std::string_view path)
        : m_path(path)
    {
    }
    std::string_view kind() const noexcept override { return "settings_unreadable"; }
    std::string describe() const override { return "Cannot read " + m_path + "."; }

private:
    std::string m_path;
};

/** The text of one file and the name that problems show. */
struct SourceFile {
    std::string name;
    std::string text;
};

struct Zone {
    ZoneId id;
    std::string region;
};

struct Model {
    ModelId id;
    uint32_t contextTokens = 0;
    std::vector<std::string> adapters;
    std::vector<std::string> versions;
};

struct Tier {
    TierId id;
    WorkClass workClass = WorkClass::Standard;
    /** Worth of one completed request, for ordering and goodput. */
    double worth = 1;
    std::vector<ModelId> models;
    std::vector<PoolId> services;
    /** Over all entries together. */
    uint32_t concurrentRequests = 0;
    /** Over all entries together. */
    uint64_t tokensPerMinute = 0;
    /** The deadline of requests that name none. */
    Milliseconds deadline { 0 };
};

struct Organisation {
    OrganisationId id;
    TierId tier;
    /** SHA-256 of each bearer key, in hexadecimal. */
    std::vector<std::string> keyHashes;
};

/** Targets that can stand in for each other; one control shard. */
struct Pool {
    PoolId id;
    TargetKind kind = TargetKind::ModelEngine;
    /** For model engines. */
    ModelId model;
    /** Requests that a target runs at once. */
    uint32_t slots = 1;
    /** For applications: path prefixes whose calls may be repeated. */
    std::vector<std::string> idempotentPaths;
    /** For applications: shards of the at-most-once journal. */
    uint32_t journalShards = 8;
};

struct Target {
    TargetId id;
    PoolId pool;
    ZoneId zone;
    /** Where its agent receives messages. */
    PeerAddress mailbox;
    /** Where its agent answers operators, "IP:PORT". */
    std::string operatorAddress;
    /** The operator has asked for it to be drained. */
    bool isDrained = false;
    /** The role that the operator declares; none leaves it to the planner. */
    std::optional<EngineRole> role;
};

enum class RoutingKind : uint8_t { EstimatedFinish, RoundRobin, LeastOutstanding, TwoChoices };

struct RoutingSettings {
    RoutingKind kind = RoutingKind::EstimatedFinish;
    /** Targets of one pool that an entry keeps an eye on. */
    uint32_t subset = 48;
    /** Added to the estimate for a target in another zone. */
    Milliseconds otherZoneCost { 2 };
    /** Share of the prompt that a warm prefix is taken to save. */
    double prefixSaving = 0.5;
};

struct RoleSettings {
    bool isEnabled = false;
    /** Gain in goodput share below which a change is not worth its price. */
    double changePrice = 0.1;
    Milliseconds horizon { 20000 };
    Milliseconds shortestInterval { 30000 };
    uint32_t floorPerRole = 1;
};

struct LimitSettings {
    uint64_t bodyBytes = 1 << 20;
    /** Retries allowed for each admitted request, over time. */
    double retryShare = 0.1;
    /** Retries that are always allowed in a burst. */
    uint32_t retryBurst = 10;
    uint32_t attemptsPerRequest = 4;

    bool operator==(const LimitSettings&) const = default;
};

struct JournalSettings {
    Milliseconds commitInterval { 5 };
    std::chrono::seconds retention { 86400 };
};

/** The operators' configuration, checked as a whole. */
struct Deployment {
    ConfigRevision revision;
    std::map<ZoneId, Zone> zones;
    std::map<ModelId, Model> models;
    std::map<TierId, Tier> tiers;
    std::map<OrganisationId, Organisation> organisations;
    std::map<PoolId, Pool> pools;
    std::map<TargetId, Target> targets;
    RoutingSettings routing;
    RoleSettings roles;
    LimitSettings limits;
    JournalSettings journal;

    /** Looks up the organisation of a bearer key. @return null when no key matches. */
    const Organisation* organisationOfKey(std::string_view bearerKey) const;
    /** @return the pool that serves a model; null when there is none. */
    const Pool* poolOfModel(const ModelId& model) const;

    /** Organisations by key hash; filled by parseDeployment. */
    std::map<std::string, OrganisationId, std::less<>> organisationsByKeyHash;
};

using DeploymentPointer = std::shared_ptr<const Deployment>;

/**
 * Merges the files in the order given, later over earlier, and checks the whole.
 * @throws SettingsInvalid with every problem found.
 */
Deployment parseDeployment(std::span<const SourceFile> files);

/** @return the .toml files of a folder in the order of their names. @throws SettingsUnreadable */
std::vector<SourceFile> readFolder(const std::string& path);
/** @throws SettingsUnreadable */
SourceFile readFile(const std::string& path);

/** The form in which a set of files is stored and sent. */
std::string toDocument(std::span<const SourceFile> files);
/** @throws SettingsInvalid when @p document is not one that toDocument made. */
std::vector<SourceFile> fromDocument(std::string_view document);

/** What every server process is told about its surroundings. */
struct ProcessSettings {
    std::string id;
    ZoneId zone;
    /** Where peers send messages, "tcp://IP:PORT". */
    PeerAddress mailbox;
    /** Where operators are answered, "IP:PORT". */
    std::string operatorAddress;
    /** The platform's key-value store, "http://IP:PORT". */
    std::string store;
    /** The platform's list of VMs, "http://IP:PORT". */
    std::string vmList;
};

struct EntrySettings {
    ProcessSettings process;
    /** Where callers connect, "IP:PORT". */
    std::string callerAddress;
    uint32_t httpThreads = 2;
    /** Agents to say Hello to before any configuration is known. */
    std::vector<std::string> seeds;
};

struct AgentSettings {
    ProcessSettings process;
    TargetKind kind = TargetKind::ModelEngine;
    /** The target beside this agent, "http://IP:PORT". */
    std::string target;
    /** The engine refuses orders with an old fencing number by itself. */
    bool engineChecksFencing = true;
};

/** What the retries of all entries together may add to a pool's requests. */
struct RetryLimits {
    /** For each request of callers. */
    double share = 0.1;
    /** In each window, whatever the requests. */
    double fixedPart = 0;
    Milliseconds window { 10000 };
};

/** Settings of the gateway on an entry VM. */
struct GatewaySettings {
    std::string id;
    ZoneId zone;
    /** Where callers connect, "IP:PORT". */
    std::string callers;
    /** Where the balancer asks whether new connections may come, "IP:PORT". */
    std::string readiness;
    /** Where operators are answered and, over UDP, the other gateways; "IP:PORT". */
    std::string operatorAddress;
    /** The platform's store, "IP:PORT". */
    std::string store;
    /** From the signal to stop until the process is killed. */
    Milliseconds stopGrace { 8000 };
    RetryLimits retries;
    /** The whole system starts for the first time, so that no engine has any work behind it. */
    bool isFirstStart = false;
};

/** Settings of the sidecar beside a model engine. */
struct SidecarSettings {
    std::string id;
    ZoneId zone;
    /** The engine on this VM, "IP:PORT". */
    std::string engine;
    std::string operatorAddress;
    std::string store;
};

/** @return @p flag or, when it is empty, what CITRONSPOKE_SETTINGS names. */
std::string settingsPath(std::string_view flag);
/** @throws SettingsInvalid */
GatewaySettings parseGatewaySettings(const SourceFile& file);
/** @throws SettingsInvalid */
SidecarSettings parseSidecarSettings(const SourceFile& file);
/** @throws SettingsInvalid */
EntrySettings parseEntrySettings(const SourceFile& file);
/** @throws SettingsInvalid */
AgentSettings parseAgentSettings(const SourceFile& file);

/** @return the hexadecimal SHA-256 of a bearer key, as stored in the configuration. */
std::string hashKey(std::string_view bearerKey);

} // namespace citronspoke::settings

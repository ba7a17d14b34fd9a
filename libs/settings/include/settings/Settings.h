#pragma once

#include "model/Model.h"

#include <map>
#include <set>
#include <span>

/**
 * Parses and validates the settings of each process and the operators' configuration of a
 * deployment. Both are TOML. Unknown keys, wrong types, units and ranges and dangling references
 * are reported.
 */
namespace citronspoke::settings {

/** One invalid value and its position. */
struct Problem {
    std::string file;
    /** Counted from 1; 0 when the position is unknown. */
    uint32_t line = 0;
    /** The dotted key, such as "tier.gold.worth"; empty for the whole file. */
    std::string key;
    /** What is valid there, as a phrase that follows "expected". */
    std::string expected;
};

/** One or more settings files contain invalid values. */
class SettingsInvalid final : public Error {
public:
    explicit SettingsInvalid(std::vector<Problem> problems)
        : m_problems(std::move(problems))
    {
    }
    std::string_view kind() const noexcept override { return "settings_invalid"; }
    /** @return one line for each problem: "FILE:LINE: KEY: expected ...". */
    std::string describe() const override;
    std::span<const Problem> problems() const noexcept { return m_problems; }

private:
    std::vector<Problem> m_problems;
};

/** A settings file could not be read, or a folder has no .toml files. */
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

/** The text of one file and the name under which its problems are reported. */
struct SourceFile {
    std::string name;
    std::string text;
};

/** An availability zone. */
struct Zone {
    ZoneId id;
    std::string region;
};

/** A model that pools of engines can serve. */
struct Model {
    ModelId id;
    /** The most tokens that a prompt may have and, separately, that a request may ask for. */
    uint32_t contextTokens = 0;
    std::vector<std::string> adapters;
    std::vector<std::string> versions;
};

/** What the organisations of a tier may use, and how their requests rank. */
struct Tier {
    TierId id;
    WorkClass workClass = WorkClass::Standard;
    /** Worth of one completed request, used to order requests and to compute goodput. */
    double worth = 1;
    std::vector<ModelId> models;
    /** Pools of applications that the tier may call. */
    std::vector<PoolId> services;
    /** Limit over all entries together. */
    uint32_t concurrentRequests = 0;
    /** Limit over all entries together. */
    uint64_t tokensPerMinute = 0;
    /** Deadline of requests that set none. */
    Milliseconds deadline { 0 };
};

/** A customer and the keys that authenticate its callers. */
struct Organisation {
    OrganisationId id;
    TierId tier;
    /** SHA-256 of each bearer key, in lower-case hexadecimal. */
    std::vector<std::string> keyHashes;
};

/** Interchangeable targets; the unit of control that one shard owns. */
struct Pool {
    PoolId id;
    TargetKind kind = TargetKind::ModelEngine;
    /** Only for model engines. */
    ModelId model;
    /** Requests that one target runs concurrently. */
    uint32_t slots = 1;
    /** Only for applications: prefixes of paths whose calls may be retried. */
    std::vector<std::string> idempotentPaths;
    /** Only for applications: shards of the at-most-once journal. */
    uint32_t journalShards = 8;
};

/** A target VM: a model engine or an application, with its agent. */
struct Target {
    TargetId id;
    PoolId pool;
    ZoneId zone;
    /** Where its agent receives messages, "tcp://IP:PORT". */
    PeerAddress mailbox;
    /** Where its agent serves operators over HTTP, "IP:PORT". */
    std::string operatorAddress;
    /** An operator has requested that the target be drained. */
    bool isDrained = false;
    /** The role set by the operator; none lets the planner choose. */
    std::optional<EngineRole> role;
};

/** The policy that selects a target for a request. */
enum class RoutingKind : uint8_t { EstimatedFinish, RoundRobin, LeastOutstanding, TwoChoices };

/** How entries select targets. */
struct RoutingSettings {
    RoutingKind kind = RoutingKind::EstimatedFinish;
    /** Targets of one pool that an entry tracks and considers. */
    uint32_t subset = 48;
    /** Added to the estimated finish time of a target in another zone. */
    Milliseconds otherZoneCost { 2 };
    /** Assumed share of the prefill, from 0 to 1, that a cached prefix saves. */
    double prefixSaving = 0.5;
};

/** How the planner changes the roles of model engines. */
struct RoleSettings {
    bool isEnabled = false;
    /** Cost of a role change as a share of goodput, from 0 to 1; the gain must exceed it. */
    double changePrice = 0.1;
    /** The period whose measured demand predicts the coming demand. */
    Milliseconds horizon { 20000 };
    /** The shortest time between two role changes. */
    Milliseconds shortestInterval { 30000 };
    /** Engines that each role keeps at least. */
    uint32_t floorPerRole = 1;
};

/** Limits on requests and their retries. */
struct LimitSettings {
    /** The largest request body. */
    uint64_t bodyBytes = 1 << 20;
    /** Retries allowed for each admitted request, on average over time. */
    double retryShare = 0.1;
    /** Retries allowed in a burst, independent of the request rate. */
    uint32_t retryBurst = 10;
    /** Counts the first attempt too. */
    uint32_t attemptsPerRequest = 4;

    bool operator==(const LimitSettings&) const = default;
};

/** Settings of the at-most-once journal. */
struct JournalSettings {
    /** Calls that arrive within this time share one write. */
    Milliseconds commitInterval { 5 };
    /** How long the results of finished calls are kept. */
    std::chrono::seconds retention { 86400 };
};

/** The operators' configuration, validated as a whole. */
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

    /** @return the organisation that a bearer key belongs to; null when no key matches. */
    const Organisation* organisationOfKey(std::string_view bearerKey) const;
    /** @return the first pool of engines that serves a model; null when there is none. */
    const Pool* poolOfModel(const ModelId& model) const;

    /** Index of organisations by key hash, built by parseDeployment. */
    std::map<std::string, OrganisationId, std::less<>> organisationsByKeyHash;
};

using DeploymentPointer = std::shared_ptr<const Deployment>;

/**
 * Merges the files in the given order, where later files override single keys of earlier ones, and
 * validates the result.
 * @throws SettingsInvalid with every problem found.
 */
Deployment parseDeployment(std::span<const SourceFile> files);

/** @return the .toml files of a folder, sorted by name. @throws SettingsUnreadable */
std::vector<SourceFile> readFolder(const std::string& path);
/** @throws SettingsUnreadable */
SourceFile readFile(const std::string& path);

/** @return the files as one JSON document, the form in which they are stored and sent. */
std::string toDocument(std::span<const SourceFile> files);
/** Reverses toDocument. @throws SettingsInvalid when @p document does not have its format. */
std::vector<SourceFile> fromDocument(std::string_view document);

/** Settings that entries and agents have in common. */
struct ProcessSettings {
    std::string id;
    ZoneId zone;
    /** Where this process receives messages of its peers, "tcp://IP:PORT". */
    PeerAddress mailbox;
    /** Where operators are served over HTTP, "IP:PORT". */
    std::string operatorAddress;
    /** The platform's key-value store, "http://IP:PORT". */
    std::string store;
    /** The platform's list of VMs, "http://IP:PORT". */
    std::string vmList;
};

/** Settings of an entry. */
struct EntrySettings {
    ProcessSettings process;
    /** Where callers connect, "IP:PORT". */
    std::string callerAddress;
    uint32_t httpThreads = 2;
    /** Mailboxes of agents that are contacted before any configuration is known. */
    std::vector<std::string> seeds;
};

/** Settings of the agent on a target VM. */
struct AgentSettings {
    ProcessSettings process;
    TargetKind kind = TargetKind::ModelEngine;
    /** The target on this VM, "http://IP:PORT". */
    std::string target;
    /** The engine itself refuses orders with an outdated fencing number. */
    bool engineChecksFencing = true;
};

/** How many retries all entry VMs together may add to a pool's requests. */
struct RetryLimits {
    /** Retries for each request of a caller. */
    double share = 0.1;
    /** Retries in each window, independent of the number of requests. */
    double fixedPart = 0;
    Milliseconds window { 10000 };
};

/** What the machine grants a process. */
struct ProcessLimits {
    /** Memory, in MB (2^20 bytes); a process that exceeds it is ended. */
    size_t memoryMb = 256;
    /** Descriptors that may be open, those of files included. */
    size_t descriptors = 4096;

    size_t memoryBytes() const noexcept { return memoryMb << 20; }
    bool operator==(const ProcessLimits&) const = default;
};

/** Settings of the duties that one gateway at a time fulfils for the platform. */
struct DutySettings {
    /** The platform's API, "IP:PORT"; empty where it has none. */
    std::string platformApi;
    /** Names of the duties in force. */
    std::set<std::string> duties;
    /** Calls of duties that the platform accepts from all processes in a second. */
    double callsPerSecond = 50;
    /** Two processes must not act in the order A, B, A within this time. */
    Milliseconds leaseTime { 3000 };
    Milliseconds usageWindow { 5000 };
    /** A usage report is due this long after the end of its window. */
    Milliseconds usageDelay { 10000 };
    /** Clocks differ from true time by up to this. */
    Milliseconds clockSkew { 6000 };

    bool reportsUsage() const { return !platformApi.empty() && duties.contains("usage_reporting"); }
};

/** Settings of the gateway on an entry VM. */
struct GatewaySettings {
    std::string id;
    ZoneId zone;
    /** Where callers connect, "IP:PORT". */
    std::string callers;
    /** Where the load balancer checks readiness for new connections, "IP:PORT". */
    std::string readiness;
    /** Serves operators over HTTP and the other gateways over UDP, "IP:PORT". */
    std::string operatorAddress;
    /** The platform's store, "IP:PORT". */
    std::string store;
    /** Port at which each sidecar receives requests, on the VM of its engine. */
    uint16_t sidecarPort = 0;
    /** Time from the stop signal until the process is killed. */
    Milliseconds stopGrace { 8000 };
    /** Within this time a new declaration must be in force. */
    Milliseconds applyTime { 2000 };
    /** Within this time a leaving target must cease to get new work. */
    Milliseconds drainTime { 2000 };
    /** From this time after a target first stated a request limit, the limit must be kept. */
    Milliseconds limitNoticeTime { 3000 };
    RetryLimits retries;
    /** Keys are no longer accepted once the declaration was not confirmed for revokeTime. */
    bool refusesUnconfirmedKeys = false;
    Milliseconds revokeTime { 5000 };
    /** The whole system starts for the first time, so no engine has cached prompt parts yet. */
    bool isFirstStart = false;
    DutySettings duties;
    /** Spread requests evenly although reports of other gateways are old. */
    bool hasEvenLoad = false;
    ProcessLimits process;
};

/** Settings of the sidecar beside a model engine. */
struct SidecarSettings {
    std::string id;
    ZoneId zone;
    /** The engine on this VM, "IP:PORT". */
    std::string engine;
    /** Serves operators over HTTP and the gateways over UDP, "IP:PORT". */
    std::string operatorAddress;
    ProcessLimits process;
};

/**
 * @return the path of the settings file: @p flag or, when it is empty, the value of
 * CITRONSPOKE_SETTINGS, else the default path under /etc.
 */
std::string settingsPath(std::string_view flag);
/** @throws SettingsInvalid */
GatewaySettings parseGatewaySettings(const SourceFile& file);
/** @throws SettingsInvalid */
SidecarSettings parseSidecarSettings(const SourceFile& file);
/** @throws SettingsInvalid */
EntrySettings parseEntrySettings(const SourceFile& file);
/** @throws SettingsInvalid */
AgentSettings parseAgentSettings(const SourceFile& file);

/** @return the SHA-256 of a bearer key in hexadecimal, as the configuration stores it. */
std::string hashKey(std::string_view bearerKey);

} // namespace citronspoke::settings

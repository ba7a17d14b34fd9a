#pragma once

#include "conditions/Conditions.h"
#include "dispatch/Dispatch.h"
#include "duties/Duties.h"
#include "quarantine/Quarantine.h"
#include "roles/Roles.h"
#include "shares/Shares.h"
#include "streams/Streams.h"

#include <variant>

/**
 * Datagrams between the processes of the system. Gateways exchange updates: work in flight, cached
 * prompt parts, crash reports, lost, replaced and leaving targets, request limits that targets
 * state, roles and the demand for them. They request role changes from sidecars, which report roles
 * in updates of their own. The origins of streams are sent to single gateways and sidecars, reports
 * of duties and of the engine time of organisations to single gateways, in messages of their own.
 */
namespace citronspoke::peers {

/** Thrown when a datagram from a peer cannot be decoded. */
class UpdateUnreadable final : public Error {
public:
    std::string_view kind() const noexcept override { return "update_unreadable"; }
    std::string describe() const override { return "A peer sent an unreadable update."; }
};

/** The sender's work in flight at one target; it replaces the sender's previous report. */
struct LoadReport {
    TargetId target;
    dispatch::Load load;
};

/** Parts of a prompt that an engine has prefilled and now holds in its prefix cache. */
struct CachedPartsReport {
    TargetId engine;
    std::vector<fleet::PromptPart> parts;
};

/** Crashes that happened while a request was running at the crashed targets. */
struct CrashReport {
    /** Identifies the request; the same for every attempt of a caller. */
    uint64_t fingerprint = 0;
    /** Identifiers of all such crashes that the sender knows of. */
    std::vector<uint64_t> crashes;
};

/** The demand of the sender's requests; it replaces the sender's previous report for the pool. */
struct DemandReport {
    PoolId pool;
    roles::Demand demand;
};

/** The content of one datagram. */
struct Update {
    EntryId sender;
    /** Identifies the incarnation of the sender; sequence numbers restart with each. Not ordered,
     * because the sender's clock may have been set back between two starts. */
    UnixMillis senderStartedAt;
    /** Grows by one with each update of an incarnation; the first is 1. */
    uint64_t sequenceNumber = 0;
    std::vector<LoadReport> loads;
    std::vector<CachedPartsReport> parts;
    /** Targets whose addresses now belong to other targets, as the sender has detected. */
    std::vector<TargetId> replaced;
    std::vector<CrashReport> crashes;
    /** Fingerprints of suspected requests that were served after all. */
    std::vector<uint64_t> cleared;
    /** Targets that the sender could not reach. */
    std::vector<TargetId> unreachable;
    std::vector<roles::RoleReport> roles;
    std::vector<DemandReport> demands;
    std::vector<conditions::LimitReport> limits;
    /** Targets that have announced in a response that they are leaving. */
    std::vector<fleet::Incarnation> leaving;
    std::vector<quarantine::PartCrashReport> partCrashes;
    /** Prompt parts that the sender has seen served although another gateway suspected them. */
    std::vector<quarantine::PromptPartId> servedParts;
    /** Crashes that did not happen: the engines have responded since. */
    std::vector<quarantine::CrashKey> withdrawnCrashes;
};

/** @return the update as a MessagePack array. */
std::string encode(const Update& update);
/** @throws UpdateUnreadable when the datagram is not an encoded update. */
Update decode(std::string_view datagram);

/** What a gateway may receive from another process. */
using Message = std::variant<Update, streams::OriginNote, streams::OriginQuery,
    streams::OriginReply, duties::CountsMessage, duties::DutyStatus, shares::UseReport>;
/** @throws UpdateUnreadable when the datagram is not an encoded message. */
Message decodeMessage(std::string_view datagram);

/** @return the message as a MessagePack array. */
std::string encode(const streams::OriginNote& note);
std::string encode(const streams::OriginQuery& query);
std::string encode(const streams::OriginReply& reply);
std::string encode(const duties::CountsMessage& message);
std::string encode(const duties::DutyStatus& status);
/** @return the message as datagrams that fit into one network packet each; at least one. */
std::vector<std::string> encodeInParts(const duties::CountsMessage& message);

/** The origins of streams that began within a short time, for a sidecar that holds them. */
struct OriginBatch {
    std::vector<streams::OriginNote> notes;
};
/** @return the batch as a MessagePack array. */
std::string encode(const OriginBatch& batch);

/** What a sidecar may receive from a gateway. */
using SidecarMessage = std::variant<roles::RoleRequest, OriginBatch, streams::OriginQuery>;
/** @throws UpdateUnreadable when the datagram is not an encoded message. */
SidecarMessage decodeSidecarMessage(std::string_view datagram);
std::string encode(const shares::UseReport& report);

/** @return the request as a MessagePack array. */
std::string encode(const roles::RoleRequest& request);
/** @throws UpdateUnreadable when the datagram is not an encoded request. */
roles::RoleRequest decodeRoleRequest(std::string_view datagram);

/** Batches reports until they are sent; a later load report for a target replaces an earlier one.
 */
class Outbox {
public:
    void add(const LoadReport& report);
    void add(CachedPartsReport report);
    void addReplaced(const TargetId& target) { m_replaced.push_back(target); }
    void add(CrashReport report);
    void addCleared(uint64_t fingerprint) { m_cleared.push_back(fingerprint); }
    void addUnreachable(const TargetId& target) { m_unreachable.insert(target); }
    void add(const roles::RoleReport& report) { m_roles.push_back(report); }
    void add(const DemandReport& report) { m_demands[report.pool] = report.demand; }
    void add(const conditions::LimitReport& report) { m_limits.push_back(report); }
    void addLeaving(const fleet::Incarnation& incarnation) { m_leaving.push_back(incarnation); }
    void add(quarantine::PartCrashReport report) { m_partCrashes.push_back(std::move(report)); }
    void addServed(const quarantine::PromptPartId& part) { m_servedParts.insert(part); }
    void addWithdrawn(quarantine::CrashKey crash) { m_withdrawnCrashes.push_back(crash); }
    bool empty() const noexcept;
    /** Removes all reports. @return them as datagrams that fit into one network packet each. */
    std::vector<std::string> takeDatagrams(const EntryId& sender, UnixMillis startedAt);

private:
    std::map<TargetId, dispatch::Load> m_loads;
    std::vector<CachedPartsReport> m_parts;
    std::vector<TargetId> m_replaced;
    std::vector<CrashReport> m_crashes;
    std::vector<uint64_t> m_cleared;
    std::set<TargetId> m_unreachable;
    std::vector<roles::RoleReport> m_roles;
    std::map<PoolId, roles::Demand> m_demands;
    std::vector<conditions::LimitReport> m_limits;
    std::vector<fleet::Incarnation> m_leaving;
    std::vector<quarantine::PartCrashReport> m_partCrashes;
    std::set<quarantine::PromptPartId> m_servedParts;
    std::vector<quarantine::CrashKey> m_withdrawnCrashes;
    uint64_t m_lastSequenceNumber = 0;
};

/**
 * Rejects stale and duplicate updates, so that a datagram that arrives late cannot undo a newer
 * one. Follows each sender by its incarnation and sequence number.
 */
class StaleUpdateFilter {
public:
    /** @return false when this update or a newer one of its sender was accepted before. */
    bool accept(const Update& update);

private:
    struct LastAccepted {
        UnixMillis startedAt;
        uint64_t sequenceNumber = 0;
        /** Recent earlier incarnations, whose datagrams may still arrive; the latest first. */
        std::deque<UnixMillis> ended;
    };
    std::map<EntryId, LastAccepted> m_lastAccepted;
};

} // namespace citronspoke::peers

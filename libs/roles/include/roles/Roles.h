#pragma once

#include "conditions/Conditions.h"
#include "fleet/Fleet.h"

#include <deque>
#include <map>
#include <set>
#include <span>

/**
 * Decides which engines of a pool prefill and which decode, as a control loop: gateways measure the
 * demand, plan the roles and request changes from the sidecars; sidecars order their engines and
 * report back. Pure code: the caller passes state and time; no input or output, threads, locks or
 * clock.
 */
namespace citronspoke::roles {

/** The engines of a pool that requests keep busy. Demands of several gateways add up. */
struct Demand {
    double decodeEngines = 0;
    double prefillEngines = 0;
    /** Prompts that arrive, also those that are refused. */
    conditions::RequestsPerSecond prompts = 0;

    Demand& operator+=(const Demand& other);
};

/** Measures the demand of one gateway's requests over the last seconds. */
class DemandMeter {
public:
    /** A prompt arrived, which may be refused. */
    void noteArrival(SteadyTime now);
    /** A prompt is prefilled. @param prefillTime on an idle engine. */
    void notePrompt(Milliseconds prefillTime, SteadyTime now);
    /**
     * A decode engine began its response.
     * @param took from sending the request.
     * @param requestsAtEngine work in flight there, including this request.
     */
    void noteDecodeBegun(Milliseconds took, uint32_t requestsAtEngine);
    /**
     * A decode engine finished a response.
     * @param took from the beginning of the response.
     * @param cacheTokens size of the request's KV cache.
     */
    void noteDecodeFinished(
        Milliseconds took, uint64_t cacheTokens, const fleet::EngineTraits& engine, SteadyTime now);
    /** @return the mean over the last seconds. */
    Demand demand(SteadyTime now) const;

private:
    /** Sums over a part of the measured time. */
    struct Bucket {
        SteadyTime start;
        uint32_t arrivals = 0;
        uint32_t prompts = 0;
        double prefillMs = 0;
        /** Time for which decodes occupied slots, and KV cache, as shares of one engine. */
        double slotsMs = 0;
        double cacheMs = 0;
    };
    Bucket& currentBucket(SteadyTime now);

    std::deque<Bucket> m_buckets;
    /** Time until a decode engine with little work begins its response; mostly the transfer. */
    double m_decodeStartMs = 0;
};

/** An engine as the planner sees it. */
struct PlannedEngine {
    /** With the role that the engine has, or takes when a change is in progress. */
    fleet::TargetRecord record;
    /** It no longer responds, although its record is still in the store. */
    bool isLost = false;
    /** The request limit that it states, if any. */
    std::optional<conditions::StatedLimits::Limit> limit;
    /** It is taking its role and accepts no work yet. */
    bool isChanging = false;
};

/** A role that an engine should take. */
struct RoleChange {
    TargetId engine;
    /** The incarnation of the engine that is meant. */
    UnixMillis engineStartedAt;
    EngineRole role = EngineRole::Prefill;

    bool operator==(const RoleChange&) const = default;
};

/** How many engines of a pool should decode. */
struct DecodeTarget {
    /** In engines without a request limit. */
    uint32_t engines = 0;
    /** Prompts that they decode together. */
    conditions::RequestsPerSecond prompts = 0;
    /** Most engines, when their limits require more. */
    uint32_t most = 0;
};

/**
 * Chooses the engines that should decode; the others should prefill. All processes that know the
 * same engines choose the same ones. Engines that decode already come first, then the zone with
 * the fewest decode engines. A decode engine whose request limit has left requests unserved counts
 * as the part of an engine that its limit allows; others are chosen in addition, those without
 * limits first, as long as the limits of both roles allow more prompts together. Where several
 * software versions serve, each version that decodes gets two decode engines if it can, before any
 * zone or age counts; one more engine may be chosen until that holds.
 * @param engines of one pool, in any order; leaving and lost ones and those without a role are
 *        ignored.
 * @param passedOver engines that are not newly chosen.
 */
std::set<TargetId> chooseDecodeEngines(std::span<const PlannedEngine> engines,
    const DecodeTarget& target, const std::set<TargetId>& passedOver = {});

/** How a demand divides the engines of a pool. */
struct RoleSplit {
    /** With two or more engines, at least one prefills. */
    uint32_t decodeEngines = 0;
    /** There are too few engines for the demand. */
    bool isShort = false;
};
/** @param engines usable engines of a pool. */
RoleSplit splitRoles(size_t engines, const Demand& demand);

/**
 * @param engines usable engines of a pool.
 * @return how many may decode when their request limits require many.
 */
uint32_t mostDecodeEngines(size_t engines, const Demand& demand);

/** Plans the roles of the engines of one pool. */
class RolePlanner {
public:
    /** @param isFirstStart the whole system starts, and no engine has work yet. */
    RolePlanner(SteadyTime start, bool isFirstStart);

    /**
     * Updates the plan; to be called several times a second.
     * @param engines all engines of the pool.
     * @return changes that should be requested now. A change is returned until it has begun; an
     *         engine that does not begin it in time is passed over, so that another one is chosen.
     */
    std::vector<RoleChange> update(
        std::span<const PlannedEngine> engines, const Demand& demand, SteadyTime now);
    /** @return how many engines should decode. */
    uint32_t decodeEngines() const noexcept { return m_decodeEngines; }

private:
    struct WantedChange {
        RoleChange change;
        SteadyTime since;
        std::optional<SteadyTime> requestedAt;
    };
    struct BegunChange {
        RoleChange change;
        SteadyTime at;
    };
    void updateDecodeEngines(
        std::span<const PlannedEngine> engines, const Demand& demand, SteadyTime now);
    uint32_t heldDecodeEngines(const RoleSplit& split, SteadyTime now);
    /** @return whether to request the change now; an engine that ignores it is passed over. */
    bool isDue(WantedChange& wanted, SteadyTime now);
    /** An engine that has returned to its former role is not chosen again for some time. */
    void passOverIfFailed(const fleet::TargetRecord& record, SteadyTime now);
    std::set<TargetId> passedOver(SteadyTime now);
    Milliseconds delayBefore(EngineRole role, SteadyTime now) const;

    SteadyTime m_start;
    bool m_isFirstStart;
    uint32_t m_decodeEngines = 0;
    uint32_t m_mostDecodeEngines = 0;
    /** Recent wanted numbers of decode engines; the largest one counts. */
    std::deque<std::pair<SteadyTime, uint32_t>> m_recentWanted;
    std::map<TargetId, WantedChange> m_wantedChanges;
    std::map<TargetId, BegunChange> m_begunChanges;
    std::map<TargetId, SteadyTime> m_passedOverUntil;
};

/** A sidecar's report of its engine's role. */
struct RoleReport {
    TargetId engine;
    UnixMillis engineStartedAt;
    EngineRole role = EngineRole::Prefill;
    /** The engine is taking the role and accepts no new work meanwhile. */
    bool isChanging = false;

    bool operator==(const RoleReport&) const = default;
};

/**
 * Roles as reported by the sidecars. They are known within milliseconds and during store outages,
 * whereas the engines' records in the store follow later.
 */
class ReportedRoles {
public:
    /** @return false when the report repeats what is known. */
    bool note(const RoleReport& report, SteadyTime now);
    /** A record that changed in the store is newer than any report before it. */
    void noteRecordChanged(const TargetId& engine) { m_reports.erase(engine); }
    /** @return the record with the role that the engine has or is taking. */
    fleet::TargetRecord withReportedRole(fleet::TargetRecord record, SteadyTime now) const;
    /** @return since when the engine is changing its role and accepts no new work, if it is. */
    std::optional<SteadyTime> changingSince(
        const fleet::TargetRecord& record, SteadyTime now) const;
    /** @return whether the engine is changing its role. */
    bool isChanging(const fleet::TargetRecord& record, SteadyTime now) const
    {
        return changingSince(record, now).has_value();
    }

private:
    struct Received {
        RoleReport report;
        SteadyTime at;
    };
    const Received* find(const fleet::TargetRecord& record, SteadyTime now) const;

    std::map<TargetId, Received> m_reports;
};

/** A gateway's request to a sidecar. */
struct RoleRequest {
    EntryId gateway;
    /** Where the gateway receives the sidecar's reports. */
    fleet::Address replyTo;
    RoleChange change;
    /** Number of gateways that plan the role of this engine. */
    uint32_t planners = 1;
};

/**
 * @param gateways all gateways.
 * @return those that plan the role of an engine; all gateways find the same ones without
 *         communication.
 */
std::vector<EntryId> plannersOf(const TargetId& engine, std::span<const EntryId> gateways);

/** Collects requests at a sidecar: a change counts once half of the planning gateways want it. */
class RequestQuorum {
public:
    void add(const RoleRequest& request, SteadyTime now);
    /** @return the change that is agreed on now. */
    std::optional<RoleChange> agreedChange(SteadyTime now) const;
    /** @return where the gateways that sent requests recently receive reports. */
    std::vector<fleet::Address> replyAddresses(SteadyTime now) const;

private:
    struct Received {
        RoleRequest request;
        SteadyTime at;
    };
    std::map<EntryId, Received> m_requests;
};

/**
 * @return the fencing number of an engine's next order. It grows with each order that the engine
 *         accepts and with each start of the engine, so that it needs no stored counter; one order
 *         that is sent again keeps its number.
 */
FencingNumber nextFencingNumber(const fleet::EngineReport& report);

} // namespace citronspoke::roles

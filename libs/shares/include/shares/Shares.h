#pragma once

#include "fleet/Fleet.h"

#include <array>
#include <map>
#include <set>
#include <span>
#include <unordered_map>

/**
 * Fair shares of engine time for organisations, and admission of requests while capacity is
 * insufficient. Pure code: the caller passes state and time; no input or output, threads, locks or
 * clock.
 */
namespace citronspoke::shares {

/** Engine time in milliseconds: time to prefill prompts and to generate output. */
using EngineMilliseconds = double;

/** Time over which engine time is added up. */
inline constexpr Milliseconds UseWindow { 5000 };
/** Four times the interval of the reports. */
inline constexpr Milliseconds UseReportLifetime { 2000 };
inline constexpr Milliseconds UseReportInterval { 500 };
/** Organisations in one report; the others are added up. */
inline constexpr size_t MaxReportedOrganisations = 16;

/** Engine time of one organisation in the window. */
struct EngineTime {
    /** Of the requests that were sent to engines. */
    EngineMilliseconds used = 0;
    /** Of all requests, also those that were refused; at least as much as was used. */
    EngineMilliseconds wanted = 0;

    EngineTime& operator+=(const EngineTime& other);
    bool operator==(const EngineTime&) const = default;
};

/** Engine time by organisation, in a pool. */
struct UseSummary {
    std::map<OrganisationId, EngineTime> heaviest;
    /** The sum of the organisations that are not among the heaviest. */
    EngineTime others;

    UseSummary& operator+=(const UseSummary& other);
    bool operator==(const UseSummary&) const = default;
    /** Adds all but the heaviest organisations, by what they want, to the others. */
    void truncate(size_t organisations);
};

/** The engine time of the organisations whose requests this gateway sends to a pool. */
class EngineTimeUse {
public:
    /** A request arrived, or was sent again after a caller's or a target's failure. */
    void noteWanted(
        const OrganisationId& organisation, EngineMilliseconds engineTime, SteadyTime now);
    /** Work was sent to an engine. */
    void noteUsed(
        const OrganisationId& organisation, EngineMilliseconds engineTime, SteadyTime now);
    /** Work that was counted as used has certainly not run. */
    void noteNotRun(
        const OrganisationId& organisation, EngineMilliseconds engineTime, SteadyTime now);
    /** @return the engine time in the window, by organisation. */
    UseSummary summary(SteadyTime now);

private:
    static constexpr size_t SlotCount = 20;
    static constexpr Milliseconds SlotTime = UseWindow / static_cast<int64_t>(SlotCount);
    /** Engine time of an organisation by parts of the window. */
    struct History {
        std::array<EngineTime, SlotCount> slots {};
        int64_t latestSlot = 0;
    };
    static int64_t slotAt(SteadyTime time) { return time.time_since_epoch() / SlotTime; }
    EngineTime& currentSlot(const OrganisationId& organisation, SteadyTime now);
    static void advance(History& history, int64_t slot);

    std::map<OrganisationId, History> m_histories;
};

/** What a report adds up. */
enum class UseScope : uint8_t { Gateway, Group, All };

/** A gateway's report of engine time; it replaces the sender's previous one for pool and scope. */
struct UseReport {
    EntryId sender;
    PoolId pool;
    UseScope scope = UseScope::Gateway;
    UseSummary use;
};

/**
 * The exchange of engine time between gateways, for one pool. The gateways form groups. Each
 * gateway reports to the collector of its group, the collectors report the sums of their groups to
 * each other, and each collector reports the sum of all groups to its own group. Groups and
 * collectors are found by rendezvous hashing, so that gateways that know the same gateways agree.
 */
class UseExchange {
public:
    UseExchange(EntryId own, PoolId pool);
    void updateGateways(std::span<const EntryId> gateways);
    void onReport(const UseReport& report, SteadyTime now);
    /** A report and the gateways that it is for. */
    struct Outgoing {
        UseReport report;
        std::vector<EntryId> recipients;
    };
    /** @return the reports that are due; to be called at the interval of the reports. */
    std::vector<Outgoing> takeReports(const UseSummary& own, SteadyTime now);
    /** @return the engine time of all gateways as far as it is known. @param own as of now. */
    UseSummary total(const UseSummary& own, SteadyTime now) const;
    bool isCollector() const;
    /** @return whether a gateway of the own group has reported lately; a collector answers it also
     * when it has not detected a shortage itself. */
    bool hasMemberReports(SteadyTime now) const;

private:
    struct Received {
        UseSummary use;
        SteadyTime receivedAt;
    };
    using ReceivedReports = std::map<EntryId, Received>;

    static UseSummary sumOf(const ReceivedReports& reports, SteadyTime now);
    const EntryId& collector(SteadyTime now) const;
    void expire(SteadyTime now);

    EntryId m_own;
    PoolId m_pool;
    /** One for each group. */
    std::vector<EntryId> m_collectors;
    size_t m_ownGroup = 0;
    ReceivedReports m_members;
    ReceivedReports m_groups;
    ReceivedReports m_totals;
    /** Part of the last total that is this gateway's own. */
    UseSummary m_lastReported;
    /** When reports to the present collector began. */
    std::optional<SteadyTime> m_reportingSince;
};

/** What a gateway knows of the load of a pool. */
struct PoolState {
    uint32_t slots = 0;
    uint32_t usedSlots = 0;
    /** Expected wait of a request of the least urgent kind. */
    Milliseconds backlog { 0 };

    /** @return whether half of the slots are free and nothing waits. */
    bool isIdle() const { return usedSlots * 2 <= slots && backlog <= Milliseconds(0); }
};

/**
 * The shares of a pool's engine time, by max-min fairness: organisations that want less than an
 * equal part get what they want, and what they leave is divided among the others. The capacity is
 * what the engines have run in the window.
 */
class FairShares {
public:
    /** Follows the load of the pool. */
    void noteState(const PoolState& state, SteadyTime now);
    /** A request was refused because it could not be served in time. */
    void noteRefused(SteadyTime now) { m_shortUntil = now + ShortageHold; }
    bool isShort(SteadyTime now) const { return now < m_shortUntil; }

    /**
     * Computes the shares.
     * @param use of all gateways.
     * @param engines of the pool. While queues grow, more work is sent than the engines can run.
     */
    void update(const UseSummary& use, uint32_t engines, SteadyTime now);
    /** @return the engine time that the organisation may use in a window; none: no limit. */
    std::optional<EngineMilliseconds> share(
        const OrganisationId& organisation, SteadyTime now) const;
    /** @return whether the organisation wants more than its share of a pool short of capacity. */
    bool isOverShare(const OrganisationId& organisation, SteadyTime now) const;
    /** @return the organisations that want more than their shares. */
    size_t organisationsOverShare(SteadyTime now) const;
    /** @return the engine time of the organisation in the window, as of the last update. */
    EngineTime use(const OrganisationId& organisation) const;
    /**
     * Decides for one request whether it is above its organisation's share. Each request brings
     * credit for the part of what its organisation wants that the share allows, and all work that
     * this gateway sends uses credit up. Comparing the use of all gateways with the share instead
     * would let all of them send too much until the next reports.
     */
    bool classifyOver(
        const OrganisationId& organisation, EngineMilliseconds engineTime, SteadyTime now);
    /** Work was sent to an engine; a negative time: sent work has certainly not run. */
    void noteUsed(const OrganisationId& organisation, EngineMilliseconds engineTime);

private:
    /** Reports come every 500 ms; a pool whose shortage ends and begins again stays short. */
    static constexpr Milliseconds ShortageHold { 2000 };

    double fractionWithinShare(const OrganisationId& organisation) const;

    SteadyTime m_shortUntil {};
    std::map<OrganisationId, EngineTime> m_use;
    std::optional<EngineMilliseconds> m_level;
    /** Engine time within the share that requests have not used yet, or have used too much. */
    std::map<OrganisationId, EngineMilliseconds> m_credits;
    SteadyTime m_updatedAt {};
};

/** @return the level at which the sum of min(wanted, level) is the capacity; none when all of what
 * is wanted fits. */
std::optional<EngineMilliseconds> maxMinLevel(
    std::vector<EngineMilliseconds> wanted, EngineMilliseconds capacity);

/** A request for whose admission is to be decided. */
struct AdmissionRequest {
    /** The same for each attempt of the caller. */
    uint64_t fingerprint = 0;
    uint32_t priority = 0;
    /** Until it would begin to run. */
    Milliseconds wait { 0 };
    /** Of the run itself, to the end of the response. */
    Milliseconds duration { 0 };
    /** Until the caller's time limit. */
    Milliseconds timeLeft { 0 };
    bool isOverShare = false;
};

/**
 * Refuses requests that can no longer be served within their callers' time limits, and spreads the
 * return of their callers. The places that returning callers are expected to need are kept from new
 * callers of the same or a less urgent priority.
 */
class Admission {
public:
    /** @param engines that serve the pool's requests of this step, at least 1.
     *  @param draw random, uniform in [0, 1).
     *  @return none when the request is admitted; else the time after which the caller may return.
     */
    std::optional<Milliseconds> refusal(const AdmissionRequest& request, const PoolState& state,
        uint32_t engines, double draw, SteadyTime now);
    /** @return whether the caller was refused and has waited as long as it was told to. */
    bool isReturning(uint64_t fingerprint, SteadyTime now) const;
    /**
     * A request that was admitted began to run, or ended without having begun.
     * @param expected wait at its admission; more urgent requests that arrive later prolong it.
     */
    void noteWaited(
        uint32_t priority, bool isOverShare, Milliseconds expected, Milliseconds waited);
    size_t expectedReturns() const noexcept { return m_returns.size(); }

private:
    struct ExpectedReturn {
        SteadyTime at;
        uint32_t priority = 0;
        Milliseconds duration { 0 };
    };
    void expire(SteadyTime now);
    /** @return the time that returning callers will need before a new caller's turn. */
    Milliseconds reservedTime(
        const AdmissionRequest& request, uint32_t engines, SteadyTime now) const;

    static constexpr size_t Ranks = 6;
    static size_t rankOf(uint32_t priority, bool isOverShare);
    /** Waits by priority and share, relative to what was expected. */
    std::array<double, Ranks> m_waitFactors { 1, 1, 1, 1, 1, 1 };
    std::unordered_map<uint64_t, ExpectedReturn> m_returns;
    SteadyTime m_expiredAt {};
};

} // namespace citronspoke::shares

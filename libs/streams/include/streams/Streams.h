#pragma once

#include "fleet/Fleet.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <unordered_map>

/**
 * Decides at which software version a stream goes on when its caller resumes it at another gateway.
 * Targets of several versions serve in one pool, and a stream may go on only at the version that
 * began it, its origin. Pure code: the caller passes state and time; no input or output, threads,
 * locks or clock.
 */
namespace citronspoke::streams {

/** Where a stream began. */
struct OriginRecord {
    /** Of the target; empty when its record states none. */
    SoftwareVersion version;
    /** That of the target. A route may lead to several pools, each with versions of its own. */
    PoolId pool;

    bool operator==(const OriginRecord&) const = default;
};

/** A gateway's record that a stream has begun, for the gateways that hold a copy. */
struct OriginNote {
    /** The caller's attempt that began the stream; callers that resume it name this one. */
    RequestId attempt;
    OriginRecord origin;
};

/** What a gateway knows of the versions of the targets in one or more pools. */
struct VersionView {
    /** Versions of the targets within the window that the view was made for. */
    std::set<SoftwareVersion> versions;
    /** The gateway has followed the targets without a gap for the whole window. */
    bool coversWindow = false;
    /** The gateway is in contact with the store, so that it would have learned of a new version. */
    bool isCurrent = false;
};

/** A gateway asks another one where a stream began. */
struct OriginQuery {
    /** Chosen by the asking gateway, to match the reply. */
    uint64_t number = 0;
    RequestId attempt;
    /** Those in which the stream may have begun; the reply tells their versions. */
    std::vector<PoolId> pools;
    fleet::Address replyTo;
};

/** The reply to an OriginQuery. */
struct OriginReply {
    /** Those of the query; the number alone may be that of an earlier run of the gateway. */
    uint64_t number = 0;
    RequestId attempt;
    /** The gateway that replies. */
    EntryId gateway;
    /** None when the gateway has no record of the stream. */
    std::optional<OriginRecord> origin;
    VersionView view;
};

/** Callers' ids are random numbers of 16 digits; nothing is kept of much longer ones. */
inline constexpr size_t MaxAttemptLength = 64;
/** Number of other gateways to which a gateway sends the origin of a stream. */
inline constexpr size_t HoldersPerStream = 3;
/** Number of gateways that are asked: the holders, the gateway at which the stream began, and one
 * more, since gateways may have been added meanwhile. */
inline constexpr size_t QueriedGateways = 5;

/**
 * @param gateways all gateways.
 * @param self is left out.
 * @param count most gateways to return.
 * @return the gateways that hold the origin of a stream, the first ones first; all gateways find
 *         the same ones without communication.
 */
std::vector<EntryId> holdersOf(
    const RequestId& attempt, std::span<const EntryId> gateways, const EntryId& self, size_t count);

/** Number of sidecars to which a gateway sends the origin of a stream as well: all gateways may be
 * killed at once. */
inline constexpr size_t SidecarsPerStream = 2;
/** Number of sidecars that are asked: engines, and their machines with them, may have been added
 * since the stream began. */
inline constexpr size_t QueriedSidecars = 4;

/**
 * @param machines those of the engines of the stream's pool; repeated ones count once.
 * @return the machines whose sidecars hold the origin of a stream, the first ones first. A gateway
 *         that has just started finds the same ones from the list of targets.
 */
std::vector<EntryId> sidecarsOf(
    const RequestId& attempt, std::vector<EntryId> machines, size_t count);

/** The origins of streams that a process holds. */
class StreamOrigins {
public:
    /** @param capacity most streams; the oldest are dropped first. */
    explicit StreamOrigins(size_t capacity);
    /** The first note of a stream counts. */
    void note(const OriginNote& note, SteadyTime now);
    std::optional<OriginRecord> find(const RequestId& attempt) const;
    /** Drops streams that were noted longer ago than @p retention. */
    void expire(SteadyTime now, Milliseconds retention);
    size_t size() const noexcept { return m_origins.size(); }

private:
    void dropOldest();

    size_t m_capacity;
    std::unordered_map<std::string, OriginRecord> m_origins;
    /** Oldest first. */
    std::deque<std::pair<SteadyTime, RequestId>> m_order;
};

/** How a gateway has followed the targets in the store. */
struct TargetContact {
    /**
     * Since when the gateway has received every change of the targets; none before it has read
     * them. Which versions served earlier is not known: the store's records may be missing, late or
     * restored, and name versions that have served but do not show that no other one has.
     */
    std::optional<SteadyTime> followedSince;
    /** The gateway is in contact with the store. */
    bool isCurrent = false;
};

/** The versions of a pool's targets over time, as one gateway sees them. */
class VersionHistory {
public:
    /** @param present versions of the targets that the pool has now. */
    void note(std::set<SoftwareVersion> present, SteadyTime now);
    /** The pool has a target of this version, or had one for a moment. */
    void noteSeen(const SoftwareVersion& version, SteadyTime now);
    /** @param recorded versions that the store's record of the pool names. */
    void noteRecorded(const std::set<SoftwareVersion>& recorded, SteadyTime now);
    bool isPresent(const SoftwareVersion& version) const { return m_present.contains(version); }
    /** @param window how far the view reaches back. */
    VersionView view(SteadyTime now, Milliseconds window, const TargetContact& contact) const;
    /** Forgets versions that were last present, or recorded, longer ago than @p window. */
    void expire(SteadyTime now, Milliseconds window);

private:
    std::set<SoftwareVersion> m_present;
    /** When each version was last present; for one that the gateway knows from the record only,
     * when it learned of it. */
    std::map<SoftwareVersion, SteadyTime> m_lastPresent;
};

/**
 * @param views one for each pool; none for no pool.
 * @return the view of all pools together. It covers the window, and is current, when each of them
 *         does and is.
 */
VersionView combine(std::span<const VersionView> views);

/** What is known of the origin of a stream, and why. */
struct Origin {
    enum class Basis : uint8_t {
        /** A gateway has a record of the stream. */
        Record,
        /** No other version has served while the stream may have begun. */
        OnlyVersion,
        /** The version cannot be told. */
        Unknown,
    };
    Basis basis = Basis::Unknown;
    /** Empty when it cannot be told, or when no target of the pools states one. */
    SoftwareVersion version;
    /** Empty without a record. */
    PoolId pool;
};

/** @return the name of the basis in log lines and metrics. */
std::string_view toText(Origin::Basis);

/** Collects what the gateways know of the origin of one stream. */
class OriginSearch {
public:
    /** Numbers of processes that are asked. */
    struct Asked {
        size_t gateways = 0;
        size_t sidecars = 0;
    };
    /** @param own view of the gateway that searches; it has no record of the stream. */
    OriginSearch(VersionView own, const Asked& asked);
    void add(const OriginReply& reply);
    /** Sidecars may have a record, but no view of the versions. */
    void addFromSidecar(const OriginReply& reply);
    /** @return whether further replies cannot change the result. */
    bool isComplete() const noexcept;
    size_t replies() const noexcept { return m_replied.size() + m_sidecarsReplied.size(); }
    /**
     * Without a record, a stream began at the only version when the views together show no other
     * one: a view that covers the window, confirmed by all gateways that were asked, or by most of
     * them and contact with the store. A gateway that knows no other one needs contact only.
     */
    Origin result() const;

private:
    bool haveGatewaysReplied() const noexcept { return m_replied.size() >= m_asked.gateways; }
    bool isConfirmed() const noexcept;

    Asked m_asked;
    std::set<EntryId> m_replied;
    std::set<EntryId> m_sidecarsReplied;
    std::optional<OriginRecord> m_recorded;
    std::set<SoftwareVersion> m_versions;
    bool m_coversWindow;
    /** A view covers the window and is current. */
    bool m_isConfirmed;
};

} // namespace citronspoke::streams

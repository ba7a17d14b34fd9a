#pragma once

#include "fleet/Fleet.h"

#include <map>
#include <set>
#include <span>

/**
 * Conditions under which targets take requests, as they state them in their responses. Pure code:
 * the caller passes state and time; no input or output, threads, locks or clock.
 */
namespace citronspoke::conditions {

/** A number of requests a second. */
using RequestsPerSecond = double;

/** A gateway's report of what a target states, for the other gateways. */
struct LimitReport {
    TargetId target;
    UnixMillis targetStartedAt;
    /** None when the target states no limit any more. */
    std::optional<RequestsPerSecond> limit;
    /** Time since the response that stated it. */
    Milliseconds age { 0 };
    /** Time since the target first stated a limit; 0 without a limit. */
    Milliseconds ageOfFirst { 0 };
    /** A gateway had to refuse requests because of the limit. */
    bool isShort = false;
};

/**
 * The request limits that targets state: each takes so many requests from all gateways together.
 * The latest statement counts, whichever gateway received it.
 */
class StatedLimits {
public:
    /**
     * A response of a target was received.
     * @param target its record when the request was sent; another incarnation has no limit yet.
     * @param limit as the response states it; none when it states no limit.
     * @param sentAt when the request was sent. A response without a limit ends a limit only when
     *        its request was sent after the limit was last stated: responses may overtake others.
     * @return whether the limit of the target has begun, changed or ended.
     */
    bool noteResponse(const fleet::TargetRecord& target, std::optional<RequestsPerSecond> limit,
        SteadyTime sentAt, SteadyTime now);
    /**
     * Another gateway reports what a target states.
     * @return whether the limit of the target has begun, changed or ended.
     */
    bool merge(const LimitReport& report, SteadyTime now);
    /**
     * A request was refused, because this target and the others take no more in time.
     * @return whether that is new for the limit of the target; false without a limit.
     */
    bool noteShortage(const fleet::TargetRecord& target);
    /**
     * @return what is new since the last call, for the other gateways, and now and then again what
     *         own responses have stated last.
     */
    std::vector<LimitReport> takeReports(SteadyTime now);
    /** Drops limits that no gateway has seen stated for a long time. @return their targets. */
    std::vector<TargetId> expire(SteadyTime now);

    /** What an incarnation of a target states. */
    struct Limit {
        RequestsPerSecond requestsPerSecond = 0;
        SteadyTime firstStatedAt;
        /** A gateway has refused requests because of it. */
        bool isShort = false;
    };
    /** @return none when this incarnation of the target states no limit. */
    std::optional<Limit> limit(const fleet::TargetRecord& target) const;

private:
    struct Statement {
        UnixMillis targetStartedAt;
        /** None once the limit has ended; kept to reject reports that are older. */
        std::optional<Limit> limit;
        SteadyTime statedAt;
        /** In a response to this gateway; the others report theirs. */
        bool isOwn = true;
        /** None when the other gateways do not know the statement yet. */
        std::optional<SteadyTime> reportedAt;
    };
    std::map<TargetId, Statement> m_statements;
};

/**
 * The pauses that targets request of this gateway when they refuse its requests. A pause concerns
 * only the gateway that receives the refusal. After it the gateway probes the target with one
 * request at a time, until one is accepted.
 */
class RequestedPauses {
public:
    /**
     * A target refused a request and requests a pause. Of several pauses the latest end counts.
     * @param target its record when the request was sent; another incarnation has no pause yet.
     * @return whether the pause has begun or becomes longer.
     */
    bool noteRequested(const fleet::TargetRecord& target, Milliseconds pause, SteadyTime now);
    /**
     * A target accepted a request.
     * @param sentAt when the request was sent. Only one that was sent after the pause counts.
     * @return whether this ends the probing after a pause.
     */
    bool noteAccepted(const fleet::TargetRecord& target, SteadyTime sentAt);
    /** Drops pauses that ended long ago. */
    void expire(SteadyTime now);

    /** @return the end of the pause, also while the target is probed; none without a pause. */
    std::optional<SteadyTime> pausedUntil(const fleet::TargetRecord& target) const;

private:
    struct Pause {
        UnixMillis targetStartedAt;
        SteadyTime until;
    };
    std::map<TargetId, Pause> m_pauses;
};

/**
 * Paces a gateway's requests to targets with a limit, so that those of all gateways together stay
 * within it. The limit is split evenly among as many gateways as get a useful rate each; all
 * gateways find the same ones by rendezvous hashing, without communication. Also paces the
 * probes of targets after a pause.
 */
class RequestPacer {
public:
    /** Targets count the requests of a sliding window of this length. */
    static constexpr Milliseconds Window { 4000 };

    /**
     * @param self the id of this gateway.
     * @param noticeTime time from the first statement of a limit until it has to be kept.
     */
    RequestPacer(EntryId self, Milliseconds noticeTime);
    /**
     * Replaces the gateways that are announced. One that is not announced any more keeps its share
     * for some seconds: it may be running, and only its announcement is lost.
     */
    void updateGateways(std::span<const EntryId> gateways, SteadyTime now);

    /**
     * @param limit as the target states it; none for a target without a limit.
     * @return when this gateway may send the next request to the target, not before @p now; none
     *         when it may send none, because the limit is split among other gateways.
     */
    std::optional<SteadyTime> nextTurn(
        const TargetId& target, const std::optional<StatedLimits::Limit>& limit, SteadyTime now);
    /**
     * @param pausedUntil end of the pause that the target requested of this gateway.
     * @return when this gateway may send the next request to the target, not before @p now.
     */
    SteadyTime nextTurnAfterPause(
        const TargetId& target, SteadyTime pausedUntil, SteadyTime now) const;
    /** A request is sent at that time, which may be in the future. */
    void book(const TargetId& target, SteadyTime turn);
    /** A booked request is not sent. */
    void cancel(const TargetId& target, SteadyTime turn);
    /** Drops what no longer delays a request. */
    void expire(SteadyTime now);

private:
    struct Target {
        /** When requests of the last window were sent, and those that are booked. */
        std::multiset<SteadyTime> turns;
        /** Gateways that come before this one when a limit is split; none until needed. */
        std::optional<size_t> position;
    };
    size_t positionOf(const TargetId& target) const;

    EntryId m_self;
    Milliseconds m_noticeTime;
    /** With the time since which they are not announced any more, if any. */
    std::map<EntryId, std::optional<SteadyTime>> m_otherGateways;
    std::map<TargetId, Target> m_targets;
};

} // namespace citronspoke::conditions

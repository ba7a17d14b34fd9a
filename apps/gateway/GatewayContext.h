#pragma once

#include "CallerBuffers.h"
#include "CrashQuarantine.h"
#include "EvenLoads.h"
#include "PartQuarantine.h"
#include "PoolShares.h"
#include "capacity/Capacity.h"
#include "conditions/Conditions.h"
#include "dispatch/Dispatch.h"
#include "duties/Duties.h"
#include "organisations/Organisations.h"
#include "roles/Roles.h"
#include "settings/Settings.h"
#include "storefeed/StoreFeed.h"

#include <random>

namespace citronspoke::gateway {

class PeerGroup;
class StreamRegistry;
class UsageExchange;

/** The clocks of the machine; tests replace them. */
struct Clocks {
    /** Goes on while the process or the machine is suspended. */
    std::function<duties::BootTime()> boot = bootNow;
    std::function<UnixMillis()> wall = unixNow;

    static duties::BootTime bootNow();
};

/** The times of a planned stop. */
struct StopPlan {
    /** From then on callers that are refused reach other gateways. */
    SteadyTime leavesLoadBalancerAt;
    /** Requests that are still open are ended then. */
    SteadyTime endsRequestsAt;
};

/** State that all requests of a gateway share. Used by the event loop's thread only. */
struct GatewayContext {
    GatewayContext(
        channels::EventLoop& loop, const settings::GatewaySettings& settings, Clocks clocks = {});

    channels::EventLoop& loop;
    Clocks clocks;
    const settings::GatewaySettings& settings;
    ZoneId zone;
    capacity::CallerCapacity capacity;
    std::shared_ptr<capacity::RequestMemory> requestMemory;
    channels::ConnectionPool targetConnections;
    dispatch::TargetDirectory directory;
    dispatch::PrefixCacheIndex prefixCacheIndex;
    /** The mean over the engines of each pool; the directory has those of single engines. */
    std::map<PoolId, dispatch::PrefillSpeed> prefillSpeeds;
    EvenLoads evenLoads;
    /** The demand of this gateway's requests. */
    std::map<PoolId, roles::DemandMeter> demandMeters;
    roles::ReportedRoles reportedRoles;
    /** The request limits that targets state, and this gateway's part of them. */
    conditions::StatedLimits statedLimits;
    conditions::RequestedPauses requestedPauses;
    conditions::RequestPacer pacer;
    dispatch::RetryBudget retryBudget;
    CallerBuffers callerBuffers;
    /** Shares of organisations; empty where the declaration has none. */
    std::map<PoolId, PoolShares> poolShares;
    /** Requests that may crash the targets that run them. */
    CrashQuarantine crashQuarantine;
    /** Prompt parts that crash the engines that decode prompts with them. */
    PartQuarantine partQuarantine;
    /** Null until the operators' declaration is known. */
    std::shared_ptr<const dispatch::RouteTable> routes;
    /** The keys of the same declaration; null where it has no organisations. */
    std::shared_ptr<const organisations::KeyDirectory> keys;
    /** @return whether the store responded to the last request. */
    std::function<bool()> isStoreServing;
    /** Time since the store last responded; an hour when it never has. */
    std::function<Milliseconds()> storeAge;
    /** Time since the store, or another gateway in contact with it, last confirmed the declaration;
     * an hour when none has. */
    std::function<Milliseconds()> declarationAge;
    /** None while the gateway is not being stopped. */
    std::optional<StopPlan> stop;
    /** The other gateways; null until reports can be sent to them. */
    PeerGroup* peers = nullptr;
    /** Null until the gateway is constructed. */
    StreamRegistry* streams = nullptr;
    /** Null where the deployment reports no usage. */
    UsageExchange* usage = nullptr;

    /**
     * A target has begun to run a caller's attempt; called once for each attempt.
     * @param organisation empty where the deployment declares none.
     */
    void noteRunBegun(const OrganisationId& organisation);
    /** Another gateway sent its counts, or what it knows of the duties. */
    void onCounts(const duties::CountsMessage& message);
    void onDutyStatus(const duties::DutyStatus& status);
    /** An engine has prefilled a prompt. @see PrefillSpeed::notePrefilled() */
    void notePrefilled(const fleet::TargetRecord& engine, uint64_t tokens, uint64_t tokensAhead,
        Milliseconds took);
    /** @return the state of a target while it is the same incarnation; else null. */
    dispatch::TargetState* sameIncarnation(const fleet::TargetRecord& target);
    /** Work at a target begins or ends; the new load is published to the other gateways. */
    void noteStarted(const TargetId& target, const dispatch::Load& load);
    void noteFinished(const TargetId& target, const dispatch::Load& load);
    /**
     * The request limit of a target has begun, changed or ended.
     * @param source how this gateway learned of it, for the log.
     * @param request the request whose response stated it, if any.
     */
    void noteLimitChanged(
        const TargetId& target, std::string_view source, const RequestId& request = {});
    /**
     * Follows what a target states about itself in any response, to a request or to a call.
     * @param target its record when the request was sent.
     * @param request the request that the response belongs to, if any, for the log.
     */
    void noteNotice(const fleet::TargetRecord& target, const adapter::TargetNotice& notice,
        const RequestId& request = {});
    /**
     * A target is leaving.
     * @param source how this gateway learned of it, for the log.
     * @param request the request whose response announced it, if any.
     * @return whether that is new.
     */
    bool noteLeaving(const fleet::Incarnation& incarnation, std::string_view source,
        const RequestId& request = {});
    /** @return when the target takes the next request from this gateway; none: not at all. */
    std::optional<SteadyTime> nextTurn(const fleet::TargetRecord& target, SteadyTime now);
    /** @return whether a pause that the target has requested is not over at that time. */
    bool isPaused(const fleet::TargetRecord& target, SteadyTime at) const;
    /** @return whether the target has a request limit or is paused or probed. */
    bool takesTurns(const fleet::TargetRecord& target) const;
    /** An engine has these prompt parts in its cache. */
    void noteCachedParts(const TargetId& engine, std::span<const fleet::PromptPart> parts);

    /**
     * @return the engines of a pool that are in a role; not those that are changing it, because
     *         they refuse work for seconds.
     */
    std::vector<dispatch::TargetState*> enginesInRole(const PoolId& pool, EngineRole role);

    /** @return null where the declaration has no organisations. */
    PoolShares* sharesOf(const PoolId& pool);

    /** @return uniform in [0, 1). */
    double randomFraction();

private:
    void publishLoad(const TargetId& target);

    std::mt19937_64 m_random;
};

} // namespace citronspoke::gateway

#pragma once

#include "AnswerAssembly.h"
#include "decisions/Decisions.h"
#include "protocol/Protocol.h"
#include "settings/Settings.h"
#include "transport/Transport.h"

#include <set>

namespace citronspoke::entry {

/** A validated request of a caller, ready to be routed. */
struct CallerRequest {
    transport::HttpExchangePointer exchange;
    settings::DeploymentPointer deployment;
    PoolId pool;
    ModelId model;
    settings::Tier tier;
    bool isStreaming = false;
    /** Every attempt sends a copy with its own attempt, resumeFrom, configRevision and crashes. */
    protocol::Submit submit;
    /**
     * One hash for each block of 1000 prompt tokens (estimated from the text's length). A hash
     * covers its block and all blocks before it, so it identifies a prefix of the prompt.
     */
    std::vector<uint64_t> prefixHashes;
};

/** A caller that reconnects to a stream which this or another entry began. */
struct AttachRequest {
    transport::HttpExchangePointer exchange;
    OrganisationId organisation;
    RequestId request;
    TargetId target;
    /** The first token wanted, counted from the start of the answer. */
    uint32_t fromOffset = 0;
    bool isChat = false;
};

/** The state of a request from its arrival at this entry until its response has ended. */
struct Request {
    CallerRequest caller;
    /** Created by an AttachRequest: neither routed nor retried here, and counted in no limit. */
    bool isAttached = false;
    /** Target and incarnation of the current attempt, or of the last one. */
    TargetId target;
    Incarnation incarnation;
    AttemptNumber attempt;
    uint32_t attemptsMade = 0;
    /** Submit messages sent for the current attempt after the first. */
    uint32_t resends = 0;
    /** The current attempt counts as outstanding at its target. */
    bool isAttemptOutstanding = false;
    /** The agent has acknowledged the current attempt, or sent part of its answer. */
    bool isAccepted = false;
    /** Attempts that were sent and for which no agent has reported that they did not run. */
    std::set<AttemptNumber> possiblyRunAttempts;
    SteadyTime sentAt;
    /** When to choose a target again; none while an attempt is outstanding. */
    std::optional<SteadyTime> retryAt;
    /** The owner of a call's journal shard, as named by a NotOwner refusal. */
    std::optional<TargetId> preferredTarget;
    /**
     * Targets that failed, were lost or are leaving, and are left out of the next choice. Cleared
     * when no target is left.
     */
    std::set<TargetId> excludedTargets;
    std::optional<RefusalReason> lastRefusal;

    bool isStreamBegun = false;
    AnswerAssembly answer;
    std::optional<protocol::Final> final;
    /** The text received so far of an answer that is not streamed. */
    std::string text;
    SteadyTime receivedAt;
    SteadyTime firstTokenAt;

    const RequestId& id() const noexcept { return caller.submit.request; }
    bool isIdempotent() const noexcept { return caller.submit.key.empty(); }
    bool isTrial() const noexcept { return caller.submit.workClass == WorkClass::Trial; }
    bool isServiceCall() const noexcept
    {
        return caller.submit.kind == protocol::WorkKind::ServiceCall;
    }
    ExecutionState execution() const noexcept
    {
        return possiblyRunAttempts.empty() ? ExecutionState::NotRun : ExecutionState::MayHaveRun;
    }
};

} // namespace citronspoke::entry

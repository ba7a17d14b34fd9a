#pragma once

#include "AnswerAssembly.h"
#include "decisions/Decisions.h"
#include "protocol/Protocol.h"
#include "settings/Settings.h"
#include "transport/Transport.h"

#include <set>

namespace citronspoke::entry {

/** A caller's request, checked and ready to be routed. */
struct CallerRequest {
    transport::HttpExchangePointer exchange;
    settings::DeploymentPointer deployment;
    PoolId pool;
    ModelId model;
    settings::Tier tier;
    bool isStreaming = false;
    /** All but attempt, resumeFrom and config is final. */
    protocol::Submit submit;
    /** Chained hashes of the prompt's pieces. */
    std::vector<uint64_t> prefixHashes;
};

/** A caller that comes back for a stream that another entry, or this one, had begun. */
struct AttachRequest {
    transport::HttpExchangePointer exchange;
    OrganisationId organisation;
    RequestId request;
    TargetId target;
    uint32_t fromOffset = 0;
    bool isChat = false;
};

/** One request while this entry holds it. */
struct Request {
    CallerRequest caller;
    bool isAttached = false;
    TargetId target;
    Incarnation incarnation;
    AttemptNumber attempt;
    uint32_t attemptsMade = 0;
    uint32_t resends = 0;
    /** The present attempt counts as outstanding at its target. */
    bool isAttemptOutstanding = false;
    bool isAccepted = false;
    /** Attempts that were sent and not proved to be not run. */
    std::set<AttemptNumber> possiblyRunAttempts;
    SteadyTime sentAt;
    /** When to send again after a refusal; none while an attempt is out. */
    std::optional<SteadyTime> retryAt;
    std::optional<TargetId> preferredTarget;
    std::set<TargetId> excludedTargets;
    std::optional<RefusalReason> lastRefusal;

    bool isStreamBegun = false;
    AnswerAssembly answer;
    std::optional<protocol::Final> final;
    /** What has come of an answer that is not streamed. */
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

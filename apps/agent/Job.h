#pragma once

#include "protocol/Protocol.h"
#include "transport/Transport.h"

namespace citronspoke::agent {

/** Where a job stands. */
enum class JobState : uint8_t { Queued, Journaling, Running, Storing, Done };

/** One request at this agent, with the tokens that its engine has produced. */
struct Job {
    protocol::Submit submit;
    JobState state = JobState::Queued;
    transport::StreamId stream;
    /** Texts of the tokens from submit.resumeFrom on. */
    std::vector<std::string> tokens;
    SteadyTime arrived;
    SteadyTime started;
    SteadyTime lastToken;
    SteadyTime ended;
    /** Set when the answer is complete, for callers that attach again. */
    std::optional<protocol::Final> answer;
    /** Set when the attempt was not served, for its entry to be told again. */
    std::optional<protocol::Refusal> refusal;

    bool isTrial() const noexcept { return submit.workClass == WorkClass::Trial; }
    bool isServiceCall() const noexcept { return submit.kind == protocol::WorkKind::ServiceCall; }
    bool isActive() const noexcept
    {
        return state == JobState::Running || state == JobState::Journaling
            || state == JobState::Storing;
    }
    /** @return NotRun only while the target has never been given the job. */
    ExecutionState execution() const noexcept
    {
        return started == SteadyTime {} ? ExecutionState::NotRun : ExecutionState::MayHaveRun;
    }
    uint32_t nextOffset() const noexcept
    {
        return submit.resumeFrom + static_cast<uint32_t>(tokens.size());
    }
};

} // namespace citronspoke::agent

#pragma once

#include "protocol/Protocol.h"
#include "transport/Transport.h"

namespace citronspoke::agent {

/**
 * Progress of a job. A job that is not idempotent is Journaling while the journal commits its start
 * and Storing while the journal commits its result.
 */
enum class JobState : uint8_t { Queued, Journaling, Running, Storing, Done };

/** A request at this agent, with the output tokens generated so far. */
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
    /** Set when the answer is complete; sent again to entries that attach or retry. */
    std::optional<protocol::Final> answer;
    /** Set when the attempt was refused; sent again when its entry retries it. */
    std::optional<protocol::Refusal> refusal;

    bool isTrial() const noexcept { return submit.workClass == WorkClass::Trial; }
    bool isServiceCall() const noexcept { return submit.kind == protocol::WorkKind::ServiceCall; }
    bool isActive() const noexcept
    {
        return state == JobState::Running || state == JobState::Journaling
            || state == JobState::Storing;
    }
    /** @return NotRun only as long as the job has never been sent to the target. */
    ExecutionState execution() const noexcept
    {
        return started == SteadyTime {} ? ExecutionState::NotRun : ExecutionState::MayHaveRun;
    }
    /** @return the position in the answer of the next token. */
    uint32_t nextOffset() const noexcept
    {
        return submit.resumeFrom + static_cast<uint32_t>(tokens.size());
    }
};

} // namespace citronspoke::agent

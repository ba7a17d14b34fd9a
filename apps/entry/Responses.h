#pragma once

#include "Request.h"

/** The answers that callers see, in the shape of the OpenAI API. */
namespace citronspoke::entry {

/** Everything that an error answer says. */
struct Problem {
    RefusalReason reason = RefusalReason::None;
    ExecutionState execution = ExecutionState::NotRun;
    Milliseconds retryAfter { 0 };
    std::string detail;
};

/** @return the HTTP answer for a refusal. */
transport::HttpResponse errorResponse(const Problem& problem, const RequestId& request);
/** @return the error as the last event of a stream that has begun. */
std::string errorEvent(const Problem& problem, const RequestId& request);
/** @return one token as a server-sent event; its id names the target and the next offset. */
std::string tokenEvent(const Request& request, uint32_t offset, std::string_view text);
/** @return the events that end a whole stream. */
std::string finalEvents(const Request& request);
/** @return the whole answer of a request that is not streamed. */
transport::HttpResponse completeResponse(const Request& request);
/** @return the list of models that a tier may use. */
transport::HttpResponse modelListResponse(const settings::Tier& tier);

} // namespace citronspoke::entry

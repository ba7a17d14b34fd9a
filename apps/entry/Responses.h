#pragma once

#include "Request.h"

/** HTTP responses and server-sent events for callers, in the format of the OpenAI API. */
namespace citronspoke::entry {

/** The contents of an error response. */
struct Problem {
    RefusalReason reason = RefusalReason::None;
    ExecutionState execution = ExecutionState::NotRun;
    /** When the caller may retry; zero leaves it out of the response. */
    Milliseconds retryAfter { 0 };
    /** Appended to the message of the reason; may be empty. */
    std::string detail;
};

/** @param request may be empty. @return the HTTP response for a request that was not served. */
transport::HttpResponse errorResponse(const Problem& problem, const RequestId& request);
/** @return the error as the last event of a stream whose response head was sent already. */
std::string errorEvent(const Problem& problem, const RequestId& request);
/** @return one token as a server-sent event; its id is "REQUEST/TARGET/NEXT_OFFSET". */
std::string tokenEvent(const Request& request, uint32_t offset, std::string_view text);
/** @return the events that end a complete stream: finish reason, token counts and [DONE]. */
std::string finalEvents(const Request& request);
/** @return the response for a completed request that is not streamed. */
transport::HttpResponse completeResponse(const Request& request);
/** @return the response that lists the models which a tier may use. */
transport::HttpResponse modelListResponse(const settings::Tier& tier);

} // namespace citronspoke::entry

#pragma once

#include "http1/Http1.h"

#include <http_parser.h>
#include <limits>

namespace citronspoke::http1 {

/** Message fields collected from the callbacks of http_parser. */
struct MessageState {
    http_parser parser {};
    /** The RequestParser::State or ResponseParser::State that the callbacks belong to. */
    void* owner = nullptr;
    Headers headers;
    std::string requestTarget;
    std::string reason;
    /** Name and value of the header field being parsed. */
    std::string name;
    std::string value;
    bool isInValue = false;
    bool isHeadComplete = false;
    bool isComplete = false;
    /** Header fields above this number are malformed. */
    size_t maxFields = std::numeric_limits<size_t>::max();

    /** Prepares for the next message. */
    void resetFor(http_parser_type type);
    /** Appends the header field being parsed to the headers. */
    void finishHeader();
};

/** @return settings with callbacks that fill the MessageState to which the parser's data points. */
http_parser_settings baseSettings();

/** Appends bytes of a body to the part that the events end with, or as a new part. */
template <typename Event> void appendBody(std::vector<Event>& events, std::string_view bytes)
{
    if (events.empty() || !std::holds_alternative<BodyPart>(events.back()))
        events.push_back(BodyPart {});
    std::get<BodyPart>(events.back()).bytes.append(bytes);
}

/**
 * Checks line ends and field names, for which http_parser is too lenient.
 * @param head including the empty line at its end.
 * @throws MessageRejected when a line or a field name is malformed.
 */
void checkHead(std::string_view head);

} // namespace citronspoke::http1

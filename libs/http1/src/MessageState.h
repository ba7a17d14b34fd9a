#pragma once

#include "http1/Http1.h"

#include <http_parser.h>

namespace citronspoke::http1 {

/** Collects what http_parser reports of one message. */
struct MessageState {
    http_parser parser {};
    /** The parser that the callbacks belong to. */
    void* owner = nullptr;
    Headers headers;
    std::string start;
    std::string reason;
    std::string name;
    std::string value;
    bool isInValue = false;
    bool isHeadDone = false;
    bool isDone = false;

    void resetFor(http_parser_type type);
    void finishHeader();
};

/** Adds callbacks that fill a MessageState; the parser's data points to it. */
http_parser_settings baseSettings();

/**
 * Checks line ends and field names, which http_parser takes loosely.
 * @param head with its empty line.
 * @throws MessageRejected
 */
void checkHead(std::string_view head);

} // namespace citronspoke::http1

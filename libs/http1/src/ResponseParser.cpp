#include "MessageState.h"

namespace citronspoke::http1 {

namespace {

    /** Largest head of a response. A field takes at least 64 bytes in memory, so that their number
     * is limited too. */
    constexpr size_t MaxHeadBytes = 16384;
    constexpr size_t MaxFields = 128;
    constexpr unsigned short MajorVersion = 1;
    constexpr uint32_t FirstStatus = 100;
    constexpr uint32_t SwitchingProtocols = 101;
    constexpr uint32_t FirstFinalStatus = 200;
    constexpr uint32_t NoContent = 204;
    constexpr uint32_t NotModified = 304;
    constexpr uint32_t LastStatus = 599;
    /** Return values of http_parser's callback at the end of a head. */
    constexpr int SkipBody = 1;
    constexpr int Reject = -1;

    bool mayHaveBody(uint32_t status)
    {
        return status >= FirstFinalStatus && status != NoContent && status != NotModified;
    }

    bool announcesBody(const http_parser& parser)
    {
        const bool hasLength = parser.content_length != std::numeric_limits<uint64_t>::max();
        return (parser.flags & F_CHUNKED) != 0 || (hasLength && parser.content_length > 0);
    }

    /** @return whether HTTP/1 has a response with such a head (RFC 9110, 15; RFC 9112, 6.3). */
    bool isResponse(const http_parser& parser)
    {
        const uint32_t status = parser.status_code;
        if (parser.http_major != MajorVersion || status < FirstStatus || status > LastStatus)
            return false;
        // No request asks for another protocol.
        if (status == SwitchingProtocols)
            return false;
        // What follows such a head would be taken for the next response. A 304 states the length of
        // the body that it does not have.
        return mayHaveBody(status) || status == NotModified || !announcesBody(parser);
    }

} // namespace

struct ResponseParser::State {
    State()
    {
        message.owner = this;
        message.maxFields = MaxFields;
        message.resetFor(HTTP_RESPONSE);
        settings = baseSettings();
        settings.on_message_begin = onMessageBegin;
        settings.on_headers_complete = onHeadersComplete;
        settings.on_body = onBody;
        settings.on_message_complete = onMessageComplete;
    }

    static State& of(http_parser* parser)
    {
        return *static_cast<State*>(static_cast<MessageState*>(parser->data)->owner);
    }

    static int onMessageBegin(http_parser* parser)
    {
        of(parser).hasBegun = true;
        return 0;
    }

    static int onHeadersComplete(http_parser* parser)
    {
        State& state = of(parser);
        MessageState& message = state.message;
        message.finishHeader();
        if (!isResponse(*parser))
            return Reject;
        state.isInterim = parser->status_code < FirstFinalStatus;
        if (state.isInterim)
            return 0;
        message.isHeadComplete = true;
        ResponseHead head;
        head.status = parser->status_code;
        head.reason = message.reason;
        head.headers = std::move(message.headers);
        head.isPersistent = http_should_keep_alive(parser) != 0;
        const bool hasLength = parser->content_length != std::numeric_limits<uint64_t>::max();
        if (head.status == NotModified) {
            state.events->push_back(std::move(head));
            return SkipBody;
        }
        if ((parser->flags & F_CHUNKED) != 0) {
            head.framing = BodyFraming::Chunked;
        } else if (hasLength) {
            head.framing = BodyFraming::Length;
            head.length = parser->content_length;
        } else if (mayHaveBody(parser->status_code)) {
            head.framing = BodyFraming::UntilClose;
            state.endsWithConnection = true;
        }
        state.events->push_back(std::move(head));
        return 0;
    }

    static int onBody(http_parser* parser, const char* bytes, size_t size)
    {
        appendBody(*of(parser).events, { bytes, size });
        return 0;
    }

    static int onMessageComplete(http_parser* parser)
    {
        State& state = of(parser);
        state.message.isComplete = true;
        if (!state.isInterim)
            state.events->push_back(MessageEnd {});
        http_parser_pause(parser, 1);
        return 0;
    }

    void reset()
    {
        message.resetFor(HTTP_RESPONSE);
        headBytes = 0;
        hasBegun = isInterim = endsWithConnection = false;
    }

    /** @return the part of the bytes that may be parsed at once. */
    std::string_view nextPart(std::string_view bytes) const
    {
        return message.isHeadComplete ? bytes : bytes.substr(0, MaxHeadBytes - headBytes);
    }

    size_t execute(std::string_view bytes)
    {
        const bool wasInHead = !message.isHeadComplete;
        const size_t used
            = http_parser_execute(&message.parser, &settings, bytes.data(), bytes.size());
        const http_errno fault = HTTP_PARSER_ERRNO(&message.parser);
        if (fault != HPE_OK && fault != HPE_PAUSED)
            throw MessageRejected(ParseFault::Malformed);
        if (wasInHead && !message.isHeadComplete && !message.isComplete) {
            headBytes += used;
            if (headBytes >= MaxHeadBytes)
                throw MessageRejected(ParseFault::HeadTooLarge);
        }
        return used;
    }

    MessageState message;
    http_parser_settings settings {};
    /** Of a head that has been received in part. */
    size_t headBytes = 0;
    bool hasBegun = false;
    bool isInterim = false;
    bool endsWithConnection = false;
    std::vector<ResponseEvent>* events = nullptr;
};

ResponseParser::ResponseParser()
    : m_state(std::make_unique<State>())
{
}

ResponseParser::~ResponseParser() = default;

size_t ResponseParser::feed(std::string_view bytes, std::vector<ResponseEvent>& events)
{
    State& state = *m_state;
    state.events = &events;
    size_t used = 0;
    while (used < bytes.size()) {
        used += state.execute(state.nextPart(bytes.substr(used)));
        if (!state.message.isComplete)
            continue;
        const bool wasInterim = state.isInterim;
        state.reset();
        if (!wasInterim)
            break;
    }
    return used;
}

bool ResponseParser::finish(std::vector<ResponseEvent>& events)
{
    State& state = *m_state;
    if (!state.message.isHeadComplete || !state.endsWithConnection)
        return false;
    events.push_back(MessageEnd {});
    state.reset();
    return true;
}

bool ResponseParser::isBetweenMessages() const noexcept { return !m_state->hasBegun; }

} // namespace citronspoke::http1

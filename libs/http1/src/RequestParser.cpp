#include "MessageState.h"

#include <algorithm>

namespace citronspoke::http1 {

namespace {

    constexpr std::string_view HeadEnd = "\r\n\r\n";
    constexpr std::string_view LineEnd = "\r\n";

} // namespace

struct RequestParser::State {
    explicit State(const MessageLimits& messageLimits)
        : limits(messageLimits)
    {
        message.owner = this;
        message.resetFor(HTTP_REQUEST);
        settings = baseSettings();
        settings.on_headers_complete = onHeadersComplete;
        settings.on_chunk_header = onChunkHeader;
        settings.on_body = onBody;
        settings.on_message_complete = onMessageComplete;
    }

    static State& of(http_parser* parser)
    {
        return *static_cast<State*>(static_cast<MessageState*>(parser->data)->owner);
    }

    static int onHeadersComplete(http_parser* parser)
    {
        State& state = of(parser);
        MessageState& message = state.message;
        message.finishHeader();
        message.isHeadComplete = true;
        RequestHead head;
        head.method = http_method_str(static_cast<http_method>(parser->method));
        head.target = std::move(message.requestTarget);
        head.headers = std::move(message.headers);
        head.isPersistent = http_should_keep_alive(parser) != 0;
        const std::optional<std::string_view> expected = head.headers.find("expect");
        head.expectsContinue = expected && equalsIgnoringCase(*expected, "100-continue");
        if (head.headers.count("host") != 1 || head.headers.count("content-length") > 1)
            return -1;
        const bool hasLength = parser->content_length != std::numeric_limits<uint64_t>::max();
        if (hasLength && parser->content_length > state.limits.bodyBytes)
            state.isBodyTooLarge = true;
        state.events->push_back(std::move(head));
        return 0;
    }

    static int onChunkHeader(http_parser* parser)
    {
        // http_parser states the size of the chunk that follows as the content length.
        State& state = of(parser);
        // The limit may have been lowered within the body.
        const size_t used = std::min(state.bodyBytes, state.limits.bodyBytes);
        if (parser->content_length > state.limits.bodyBytes - used)
            state.isBodyTooLarge = true;
        return state.isBodyTooLarge ? -1 : 0;
    }

    static int onBody(http_parser* parser, const char* bytes, size_t size)
    {
        State& state = of(parser);
        state.bodyBytes += size;
        if (state.bodyBytes > state.limits.bodyBytes)
            state.isBodyTooLarge = true;
        else
            appendBody(*state.events, { bytes, size });
        return 0;
    }

    static int onMessageComplete(http_parser* parser)
    {
        State& state = of(parser);
        state.message.isComplete = true;
        state.events->push_back(MessageEnd {});
        http_parser_pause(parser, 1);
        return 0;
    }

    /** Appends bytes to the head up to its end. @return number of bytes consumed. */
    size_t collectHead(std::string_view bytes)
    {
        const size_t sizeBefore = head.size();
        size_t used = 0;
        if (sizeBefore == 0) {
            while (bytes.substr(used).starts_with(LineEnd))
                used += LineEnd.size();
        }
        const size_t remainingBytes
            = limits.headBytes + HeadEnd.size() - std::min(sizeBefore, limits.headBytes);
        head.append(bytes.substr(used, remainingBytes));
        const size_t searchFrom = sizeBefore < HeadEnd.size() ? 0 : sizeBefore - HeadEnd.size();
        const size_t end = head.find(HeadEnd, searchFrom);
        if (end == std::string::npos) {
            if (head.size() > limits.headBytes)
                throw MessageRejected(ParseFault::HeadTooLarge);
            return bytes.size();
        }
        head.resize(end + HeadEnd.size());
        return used + head.size() - sizeBefore;
    }

    size_t execute(std::string_view bytes)
    {
        const size_t used
            = http_parser_execute(&message.parser, &settings, bytes.data(), bytes.size());
        const http_errno fault = HTTP_PARSER_ERRNO(&message.parser);
        if (isBodyTooLarge)
            throw MessageRejected(ParseFault::BodyTooLarge);
        if (fault != HPE_OK && fault != HPE_PAUSED)
            throw MessageRejected(ParseFault::Malformed);
        return used;
    }

    MessageState message;
    MessageLimits limits;
    http_parser_settings settings {};
    std::string head;
    size_t bodyBytes = 0;
    bool isBodyTooLarge = false;
    std::vector<RequestEvent>* events = nullptr;
};

RequestParser::RequestParser(const MessageLimits& limits)
    : m_state(std::make_unique<State>(limits))
{
}

RequestParser::~RequestParser() = default;

size_t RequestParser::feed(std::string_view bytes, std::vector<RequestEvent>& events)
{
    State& state = *m_state;
    state.events = &events;
    size_t used = 0;
    if (!state.message.isHeadComplete) {
        used = state.collectHead(bytes);
        if (!state.head.ends_with(HeadEnd))
            return used;
        checkHead(state.head);
        const std::string head = std::exchange(state.head, {});
        state.execute(head);
    }
    if (!state.message.isComplete && used < bytes.size())
        used += state.execute(bytes.substr(used));
    if (state.message.isComplete) {
        state.message.resetFor(HTTP_REQUEST);
        state.bodyBytes = 0;
    }
    return used;
}

void RequestParser::setLimits(const MessageLimits& limits) noexcept { m_state->limits = limits; }

size_t RequestParser::heldBytes() const noexcept { return m_state->head.capacity(); }

bool RequestParser::isBetweenMessages() const noexcept
{
    return m_state->head.empty() && !m_state->message.isHeadComplete;
}

} // namespace citronspoke::http1

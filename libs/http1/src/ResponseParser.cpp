#include "MessageState.h"

namespace citronspoke::http1 {

namespace {

    constexpr uint32_t FirstFinalStatus = 200;
    constexpr uint32_t NoContent = 204;
    constexpr uint32_t NotModified = 304;

    bool mayHaveBody(uint32_t status)
    {
        return status >= FirstFinalStatus && status != NoContent && status != NotModified;
    }

} // namespace

struct ResponseParser::State {
    State()
    {
        message.owner = this;
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
        hasBegun = isInterim = endsWithConnection = false;
    }

    MessageState message;
    http_parser_settings settings {};
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
        used += http_parser_execute(
            &state.message.parser, &state.settings, bytes.data() + used, bytes.size() - used);
        const http_errno fault = HTTP_PARSER_ERRNO(&state.message.parser);
        if (fault != HPE_OK && fault != HPE_PAUSED)
            throw MessageRejected(ParseFault::Malformed);
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

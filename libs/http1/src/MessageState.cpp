#include "MessageState.h"

#include <cctype>

namespace citronspoke::http1 {

namespace {

    constexpr std::string_view LineEnd = "\r\n";
    constexpr std::string_view FieldNameSymbols = "!#$%&'*+-.^_`|~";

    MessageState& stateOf(http_parser* parser) { return *static_cast<MessageState*>(parser->data); }

    int onUrl(http_parser* parser, const char* bytes, size_t size)
    {
        stateOf(parser).requestTarget.append(bytes, size);
        return 0;
    }

    int onReason(http_parser* parser, const char* bytes, size_t size)
    {
        stateOf(parser).reason.append(bytes, size);
        return 0;
    }

    int onHeaderName(http_parser* parser, const char* bytes, size_t size)
    {
        MessageState& state = stateOf(parser);
        // Trailers are not forwarded, so they are not kept.
        if (state.isHeadComplete)
            return 0;
        if (state.isInValue)
            state.finishHeader();
        state.name.append(bytes, size);
        return state.headers.entries().size() < state.maxFields ? 0 : -1;
    }

    int onHeaderValue(http_parser* parser, const char* bytes, size_t size)
    {
        MessageState& state = stateOf(parser);
        if (state.isHeadComplete)
            return 0;
        state.isInValue = true;
        state.value.append(bytes, size);
        return 0;
    }

    bool isFieldNameSymbol(char symbol)
    {
        return std::isalnum(static_cast<unsigned char>(symbol)) != 0
            || FieldNameSymbols.find(symbol) != std::string_view::npos;
    }

    void checkField(std::string_view line)
    {
        const size_t colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            throw MessageRejected(ParseFault::Malformed);
        for (const char symbol : line.substr(0, colon)) {
            if (!isFieldNameSymbol(symbol))
                throw MessageRejected(ParseFault::Malformed);
        }
    }

} // namespace

void MessageState::resetFor(http_parser_type type)
{
    http_parser_init(&parser, type);
    parser.data = this;
    headers = {};
    requestTarget.clear();
    reason.clear();
    name.clear();
    value.clear();
    isInValue = isHeadComplete = isComplete = false;
}

void MessageState::finishHeader()
{
    if (!name.empty())
        headers.add(name, value);
    name.clear();
    value.clear();
    isInValue = false;
}

http_parser_settings baseSettings()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = onUrl;
    settings.on_status = onReason;
    settings.on_header_field = onHeaderName;
    settings.on_header_value = onHeaderValue;
    return settings;
}

void checkHead(std::string_view head)
{
    bool isFirstLine = true;
    while (!head.empty()) {
        const size_t end = head.find(LineEnd);
        if (end == std::string_view::npos)
            throw MessageRejected(ParseFault::Malformed);
        const std::string_view line = head.substr(0, end);
        if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
            throw MessageRejected(ParseFault::Malformed);
        if (!isFirstLine && !line.empty())
            checkField(line);
        isFirstLine = false;
        head.remove_prefix(end + LineEnd.size());
    }
}

} // namespace citronspoke::http1

#include "MessageState.h"

#include <cctype>

namespace citronspoke::http1 {

namespace {

    constexpr std::string_view LineEnd = "\r\n";
    constexpr std::string_view NameSymbols = "!#$%&'*+-.^_`|~";

    MessageState& stateOf(http_parser* parser) { return *static_cast<MessageState*>(parser->data); }

    int onStart(http_parser* parser, const char* bytes, size_t size)
    {
        stateOf(parser).start.append(bytes, size);
        return 0;
    }

    int onReason(http_parser* parser, const char* bytes, size_t size)
    {
        stateOf(parser).reason.append(bytes, size);
        return 0;
    }

    int onName(http_parser* parser, const char* bytes, size_t size)
    {
        MessageState& state = stateOf(parser);
        if (state.isInValue)
            state.finishHeader();
        state.name.append(bytes, size);
        return 0;
    }

    int onValue(http_parser* parser, const char* bytes, size_t size)
    {
        MessageState& state = stateOf(parser);
        state.isInValue = true;
        state.value.append(bytes, size);
        return 0;
    }

    bool isNameSymbol(char symbol)
    {
        return std::isalnum(static_cast<unsigned char>(symbol)) != 0
            || NameSymbols.find(symbol) != std::string_view::npos;
    }

    void checkField(std::string_view line)
    {
        const size_t colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            throw MessageRejected(ParseFault::Malformed);
        for (const char symbol : line.substr(0, colon)) {
            if (!isNameSymbol(symbol))
                throw MessageRejected(ParseFault::Malformed);
        }
    }

} // namespace

void MessageState::resetFor(http_parser_type type)
{
    http_parser_init(&parser, type);
    parser.data = this;
    headers = {};
    start.clear();
    reason.clear();
    name.clear();
    value.clear();
    isInValue = isHeadDone = isDone = false;
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
    settings.on_url = onStart;
    settings.on_status = onReason;
    settings.on_header_field = onName;
    settings.on_header_value = onValue;
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

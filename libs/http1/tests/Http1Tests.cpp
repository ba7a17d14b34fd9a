#include "http1/Http1.h"

#include <criterion/criterion.h>

using namespace citronspoke::http1;

namespace {

std::vector<RequestEvent> parseRequest(std::string_view bytes)
{
    RequestParser parser(MessageLimits { 256, 64 });
    std::vector<RequestEvent> events;
    cr_assert_eq(parser.feed(bytes, events), bytes.size());
    return events;
}

bool isRejected(std::string_view bytes, ParseFault fault)
{
    RequestParser parser(MessageLimits { 256, 64 });
    std::vector<RequestEvent> events;
    try {
        parser.feed(bytes, events);
    } catch (const MessageRejected& rejected) {
        return rejected.fault() == fault;
    }
    return false;
}

std::string bodyOf(const std::vector<RequestEvent>& events)
{
    std::string body;
    for (const RequestEvent& event : events) {
        if (const BodyPart* part = std::get_if<BodyPart>(&event))
            body += part->bytes;
    }
    return body;
}

} // namespace

Test(requests, accept_bodies_by_length_and_by_chunks)
{
    cr_assert(bodyOf(parseRequest("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
        == "abc");
    cr_assert(
        bodyOf(parseRequest("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"))
        == "abc");
}

// Guards against bodies that are collected up to the limit although they announce more.
Test(requests, a_chunk_above_the_limit_is_rejected_before_its_bytes)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    cr_expect(isRejected(head + "41\r\n", ParseFault::BodyTooLarge));
    cr_expect(isRejected(head + "80000000\r\n", ParseFault::BodyTooLarge));
    cr_expect(isRejected(head + "1\r\na\r\n40\r\n", ParseFault::BodyTooLarge));
    cr_expect(bodyOf(parseRequest(head + "40\r\n")).empty());
}

// Guards against trailers that pile up.
// Guards against a parser that goes by limits which have changed since its connection began.
Test(requests, are_held_to_the_limits_that_were_set_last)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto isAccepted = [&head](size_t limitWithinBody, std::string_view rest) {
        RequestParser parser(MessageLimits { 256, 64 });
        std::vector<RequestEvent> events;
        parser.feed(head + "20\r\n" + std::string(32, 'x') + "\r\n", events);
        parser.setLimits({ 256, limitWithinBody });
        try {
            parser.feed(rest, events);
        } catch (const MessageRejected& rejected) {
            cr_assert(rejected.fault() == ParseFault::BodyTooLarge);
            return false;
        }
        return true;
    };
    cr_expect(isAccepted(128, "60\r\n"));
    cr_expect_not(isAccepted(128, "61\r\n"));
    cr_expect_not(isAccepted(16, "1\r\n"));
    cr_expect(isAccepted(16, "0\r\n\r\n"));
}

Test(requests, trailers_are_dropped)
{
    RequestParser parser(MessageLimits {});
    std::vector<RequestEvent> events;
    const std::string chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "1\r\nc\r\n0\r\nTrailer: t\r\n\r\n";
    cr_assert_eq(parser.feed(chunked, events), chunked.size());
    cr_assert_eq(parser.feed("GET /b HTTP/1.1\r\nHost: h\r\n\r\n", events), 28U);
    cr_assert_eq(events.size(), 5U);
    cr_assert_eq(std::get<RequestHead>(events[0]).headers.count("Trailer"), 0U);
    cr_assert_eq(std::get<RequestHead>(events[3]).headers.entries().size(), 1U);
}

Test(requests, fed_byte_by_byte_are_parsed)
{
    RequestParser parser(MessageLimits {});
    std::vector<RequestEvent> events;
    const std::string text = "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy";
    for (const char letter : text)
        cr_assert_eq(parser.feed(std::string_view(&letter, 1), events), 1U);
    cr_assert(std::get<RequestHead>(events.front()).target == "/a?b");
    cr_assert(std::holds_alternative<MessageEnd>(events.back()));
    cr_assert(parser.isBetweenMessages());
}

Test(requests, pipelined_ones_are_separated)
{
    RequestParser parser(MessageLimits {});
    std::vector<RequestEvent> events;
    const std::string first = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string both = first + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    cr_assert_eq(parser.feed(both, events), first.size());
    cr_assert_eq(events.size(), 2U);
    cr_assert_eq(parser.feed(std::string_view(both).substr(first.size()), events), first.size());
    cr_assert(std::get<RequestHead>(events[2]).target == "/b");
}

Test(requests, that_could_smuggle_another_are_rejected)
{
    const std::string_view head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    for (const std::string_view rest : {
             "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "Transfer-Encoding: xchunked\r\n\r\nabc",
             "Content-Length : 3\r\n\r\nabc",
             "X: a\n b\r\n\r\n",
             "X: a\r\n b\r\n\r\n",
             "X: a\nContent-Length: 3\r\n\r\nabc",
             "Host: other\r\n\r\n",
             "Content-Length: +3\r\n\r\nabc",
         }) {
        cr_expect(isRejected(std::string(head).append(rest), ParseFault::Malformed), "%.*s",
            static_cast<int>(rest.size()), rest.data());
    }
    cr_expect(isRejected("GET /a HTTP/1.1\r\n\r\n", ParseFault::Malformed));
}

Test(requests, larger_than_the_limits_are_rejected)
{
    const std::string filler(300, 'x');
    cr_expect(isRejected(
        "GET /a HTTP/1.1\r\nHost: h\r\nX: " + filler + "\r\n\r\n", ParseFault::HeadTooLarge));
    cr_expect(isRejected(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", ParseFault::BodyTooLarge));
    cr_expect(isRejected("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"
            + std::string(65, 'x') + "\r\n",
        ParseFault::BodyTooLarge));
}

Test(responses, end_by_length_or_by_connection_close)
{
    ResponseParser parser;
    std::vector<ResponseEvent> events;
    const std::string_view byLength = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    cr_assert_eq(parser.feed(std::string(byLength) + "extra", events), byLength.size());
    cr_assert(std::holds_alternative<MessageEnd>(events.back()));
    events.clear();
    parser.feed("HTTP/1.1 200 OK\r\n\r\npart", events);
    cr_assert(std::get<ResponseHead>(events.front()).framing == BodyFraming::UntilClose);
    cr_assert(parser.finish(events));
    cr_assert(std::holds_alternative<MessageEnd>(events.back()));
    events.clear();
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", events);
    cr_assert_not(parser.finish(events), "A truncated body must not be reported as complete.");
}

Test(responses, skip_interim_ones_and_reject_malformed_bytes)
{
    ResponseParser parser;
    std::vector<ResponseEvent> events;
    parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", events);
    cr_assert_eq(events.size(), 2U);
    cr_assert_eq(std::get<ResponseHead>(events.front()).status, 204U);
    bool isRejectedBytes = false;
    try {
        parser.feed("\x01\x02 not an answer", events);
    } catch (const MessageRejected&) {
        isRejectedBytes = true;
    }
    cr_assert(isRejectedBytes);
}

// Guards against bytes that are taken for a response, or for a part of the next one, although HTTP
// has no such message.
Test(responses, that_http_does_not_have_are_rejected)
{
    const auto isAccepted = [](std::string_view bytes) {
        ResponseParser parser;
        std::vector<ResponseEvent> events;
        try {
            parser.feed(bytes, events);
        } catch (const MessageRejected&) {
            return false;
        }
        return true;
    };
    for (const std::string_view bytes : {
             "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\n",
             "HTTP/1.1 099 Odd\r\n\r\n",
             "HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\n",
             "HTTP/1.1 999 Odd\r\n\r\n",
             "HTTP/1.1 2000 Odd\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n",
             "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
             "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
             "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
             "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n",
         })
        cr_expect_not(isAccepted(bytes), "%s", bytes.data());
    for (const std::string_view bytes : {
             "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
             "HTTP/1.1 199 Odd\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 499 Odd\r\nContent-Length: 2\r\n\r\nno",
             "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nno",
             "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
         })
        cr_expect(isAccepted(bytes), "%s", bytes.data());
}

// Guards against heads without end, and against many short fields, which take several times their
// size in memory.
Test(responses, with_a_large_head_are_rejected)
{
    constexpr size_t MaxBytes = 16384;
    constexpr int MaxFields = 128;
    const auto isAccepted = [](std::string_view head, size_t pieceBytes) {
        ResponseParser parser;
        std::vector<ResponseEvent> events;
        try {
            for (; !head.empty(); head.remove_prefix(std::min(pieceBytes, head.size())))
                parser.feed(head.substr(0, pieceBytes), events);
        } catch (const MessageRejected&) {
            return false;
        }
        return true;
    };
    const auto withFields = [](int count) {
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (int field = 0; field < count; ++field)
            head += "a:b\r\n";
        return head + "\r\n";
    };
    const auto withBytes = [](size_t bytes) {
        std::string head = "HTTP/1.1 200 OK\r\na: ";
        return head.append(bytes - head.size() - 4, 'x') + "\r\n\r\n";
    };
    for (const size_t pieceBytes : { size_t { 1 }, size_t { 1000 }, MaxBytes }) {
        cr_expect(isAccepted(withFields(MaxFields), pieceBytes));
        cr_expect_not(isAccepted(withFields(MaxFields + 1), pieceBytes));
        cr_expect(isAccepted(withBytes(MaxBytes), pieceBytes));
        cr_expect_not(isAccepted(withBytes(MaxBytes + 1), pieceBytes));
    }
    std::string interim;
    for (int count = 0; count < 2000; ++count)
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    cr_expect(isAccepted(interim, 1000), "Interim responses count one by one.");
}

// Guards against a wait for the body of a response that has none, whatever length it states.
Test(responses, not_modified_ones_have_no_body)
{
    ResponseParser parser;
    std::vector<ResponseEvent> events;
    const std::string_view head = "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n";
    cr_assert_eq(parser.feed(head, events), head.size());
    cr_assert(std::holds_alternative<MessageEnd>(events.back()));
    cr_assert(std::get<ResponseHead>(events.front()).framing == BodyFraming::None);
}

Test(fields, specific_to_one_connection_are_removed)
{
    Headers headers;
    for (const std::string_view name : { "Connection", "X-Private", "Keep-Alive", "X-Kept" })
        headers.add(name, "x-private, close");
    removeConnectionFields(headers);
    cr_assert_eq(headers.entries().size(), 1U);
    cr_assert(headers.find("x-kept").has_value());
}

Test(events, are_split_whole_with_their_ids)
{
    EventSplitter splitter;
    cr_assert(splitter.feed("id: 1\ndata: a\n").empty());
    cr_assert(splitter.hasPartialEvent());
    const std::vector<StreamEvent> events = splitter.feed("\nid: 2\ndata: b\n\nid: 3");
    cr_assert_eq(events.size(), 2U);
    cr_assert_eq(events[1].id.value_or(0), 2U);
    cr_assert(splitter.hasPartialEvent());
}

// Guards against a stream whose small events keep the memory of a large one that came before.
Test(events, that_are_small_take_little_memory_after_a_large_one)
{
    constexpr size_t Large = size_t { 1 } << 20;
    EventSplitter splitter;
    splitter.feed("id: 1\ndata: " + std::string(Large, 'x'));
    cr_assert_geq(splitter.memoryBytes(), Large);
    cr_assert_eq(splitter.feed("\n\nid: 2").size(), 1U);
    cr_assert_lt(splitter.memoryBytes(), 100U);
}

// Guards against bodies that take a multiple of their size while they grow.
Test(bodies, take_little_more_memory_than_their_size)
{
    constexpr size_t Size = size_t { 1 } << 20;
    for (const size_t pieceBytes : { size_t { 1 }, size_t { 1000 }, size_t { 16384 }, Size }) {
        Body body;
        std::string whole;
        while (whole.size() < Size) {
            const std::string piece(pieceBytes, static_cast<char>('a' + whole.size() % 26));
            body.append(piece);
            whole += piece;
        }
        cr_expect(body.text() == whole);
        cr_expect_eq(body.size(), whole.size());
        cr_expect_leq(body.memoryBytes(), whole.size() + whole.size() / 8);
    }
}

Test(bodies, small_ones_take_one_block)
{
    Body body;
    body.append("ab");
    cr_expect_eq(body.blocks().size(), 1U);
    cr_expect_leq(body.memoryBytes(), 100U);
}

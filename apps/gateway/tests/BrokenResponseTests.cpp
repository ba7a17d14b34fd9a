// Responses that break off, and what callers get of them.
#include "GatewayFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

/** The head of a signed success, up to its last field. */
std::string headText(const FakeRequest& request, std::string_view lastField)
{
    std::string text = "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nX-Attempt-Id: ";
    return text.append(request.field("X-Attempt-Id"))
        .append("\r\n")
        .append(lastField)
        .append("\r\n");
}

void startOneTarget(
    GatewayFixture& fixture, const RouteOptions& options, GatewayFixture::Script script)
{
    fixture.addRoute("/a/", options);
    fixture.declare(1);
    fixture.addTarget("one", "app", std::move(script));
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
}

/** Asserts that a caller gets no success from a target that closes after a part of its head. */
void assertNoSuccessFromPartsOf(std::string_view lastField)
{
    GatewayFixture fixture;
    std::atomic<size_t> size { 0 };
    std::atomic<size_t> wholeSize { 1 };
    startOneTarget(
        fixture, AtMostOnce, [&](const FakeRequest& request, FakeConnection& connection) {
            const std::string head = headText(request, lastField) + "\r\n";
            wholeSize = head.size();
            connection.send(std::string_view(head).substr(0, size));
            connection.close();
        });
    for (; size < wholeSize; ++size) {
        // Identical requests would be quarantined, because they seem to crash the target.
        const std::string number = std::to_string(size);
        const CallerResponse response
            = sendRequest(fixture, requestText("POST", "/a/" + number, "a" + number));
        cr_assert_eq(response.status, 502U, "after %s bytes", number.c_str());
    }
}

/**
 * Asserts that a caller gets two events of a stream and then a visible end.
 * @param second what an engine does at which the stream goes on; the first one breaks it off.
 */
void assertBrokenAfterTwoEvents(const GatewayFixture::Script& second)
{
    GatewayFixture fixture;
    std::atomic<bool> hasBegun { false };
    std::atomic<bool> hasCallerReceivedTwo { false };
    const GatewayFixture::Script decode
        = [&, second](const FakeRequest& request, FakeConnection& connection) {
              if (hasBegun.exchange(true)) {
                  // The gateway's reset discards what the caller has not read.
                  GatewayFixture::waitUntil([&] { return hasCallerReceivedTwo.load(); });
                  second(request, connection);
                  return;
              }
              sendEvents(request, connection, 1, 2);
              connection.close();
          };
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 2, true, true });
    fixture.declare(1);
    fixture.addTarget("prefill", "llm", prefillPrompt, "prefill");
    fixture.addTarget("decode-1", "llm", decode, "decode");
    fixture.addTarget("decode-2", "llm", decode, "decode");
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    Caller caller(fixture.callers());
    caller.send(requestText("POST", "/s/x", "a1", PromptLines, "prompt"));
    std::string bytes = caller.receiveUntil(eventText(2) + "\r\n");
    hasCallerReceivedTwo = true;
    bytes += caller.receiveRest();
    const CallerResponse response = parseResponse(bytes);
    cr_expect(response.body == eventText(1) + eventText(2), "%s", response.body.c_str());
    cr_expect_not(response.isComplete);
    cr_expect_geq(fixture.seenBy("decode-1") + fixture.seenBy("decode-2"), 2U);
}

/** @return a script that responds with a failure which has a body. */
GatewayFixture::Script failWith(uint32_t status, bool isNotExecuted)
{
    return [status, isNotExecuted](const FakeRequest& request, FakeConnection& connection) {
        http1::Headers headers;
        headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
        headers.add("X-Server-Stamp", "stamp");
        if (isNotExecuted)
            headers.add("X-Not-Executed", "1");
        connection.answer(status, headers, "the text of a failure");
    };
}

} // namespace

// Guards against a success that the gateway makes up from a part of a head.

Test(heads, that_break_off_before_a_body_with_a_length_are_no_success)
{
    assertNoSuccessFromPartsOf("Content-Length: 20");
}

Test(heads, that_break_off_before_an_empty_body_are_no_success)
{
    assertNoSuccessFromPartsOf("Content-Length: 0");
}

Test(heads, that_break_off_before_a_body_in_chunks_are_no_success)
{
    assertNoSuccessFromPartsOf("Transfer-Encoding: chunked");
}

Test(heads, that_break_off_before_a_body_without_length_are_no_success)
{
    assertNoSuccessFromPartsOf("Content-Type: text/plain");
}

// Guards against a target that ends before its body, whose response looks whole without a length.
Test(responses, without_length_and_body_are_no_success)
{
    for (const RouteOptions& options : { AtMostOnce, Repeatable }) {
        GatewayFixture fixture;
        startOneTarget(
            fixture, options, [](const FakeRequest& request, FakeConnection& connection) {
                connection.send(headText(request, "Content-Type: text/plain") + "\r\n");
                connection.close();
            });
        cr_expect_eq(sendRequest(fixture, requestText("POST", "/a/x", "a1")).status, 502U);
    }
}

Test(responses, without_length_are_whole_at_the_end_of_the_connection)
{
    GatewayFixture fixture;
    startOneTarget(fixture, AtMostOnce, [](const FakeRequest& request, FakeConnection& connection) {
        connection.send(headText(request, "Content-Type: text/plain") + "\r\nbody");
        connection.close();
    });
    const CallerResponse response = sendRequest(fixture, requestText("POST", "/a/x", "a1"));
    cr_assert_eq(response.status, 200U);
    cr_assert(response.isComplete && response.body == "body");
}

// Guards against bytes that callers get as an answer although they are none: a status that HTTP
// does not have, or the body of an interim response, joined with the response that follows.
Test(responses, that_http_does_not_have_reach_no_caller)
{
    struct Case {
        std::string_view statusLine;
        std::string_view fields;
        std::string_view body;
        uint32_t expected = 0;
    };
    const std::vector<Case> cases {
        { "HTTP/1.1 000 Odd", "Content-Length: 5", "wrong", 502 },
        { "HTTP/1.1 099 Odd", "Content-Length: 5", "wrong", 502 },
        { "HTTP/1.1 600 Odd", "Content-Length: 5", "wrong", 502 },
        { "HTTP/1.1 999 Odd", "Content-Length: 5", "wrong", 502 },
        { "HTTP/1.1 103 Early Hints", "Content-Length: 5", "wrong", 502 },
        { "HTTP/1.1 101 Switching Protocols", "Upgrade: x\r\nConnection: upgrade", "", 502 },
        { "HTTP/1.1 204 No Content", "Content-Length: 5", "wrong", 502 },
        { "HTTP/1.1 103 Early Hints", "Link: x", "", 200 },
        { "HTTP/1.1 499 Odd", "Content-Length: 5", "sound", 499 },
        { "HTTP/1.1 599 Odd", "Content-Length: 5", "sound", 599 },
        { "HTTP/1.0 200 OK", "Content-Length: 5", "sound", 200 },
    };
    for (const Case& item : cases) {
        GatewayFixture fixture;
        startOneTarget(
            fixture, AtMostOnce, [&item](const FakeRequest& request, FakeConnection& connection) {
                std::string text(item.statusLine);
                text.append("\r\nX-Server-Stamp: stamp\r\nX-Attempt-Id: ")
                    .append(request.field("X-Attempt-Id"))
                    .append("\r\n")
                    .append(item.fields)
                    .append("\r\n\r\n")
                    .append(item.body);
                connection.send(text);
                // To an interim response, this is the final one.
                connection.send(headText(request, "Content-Length: 5") + "\r\nsound");
            });
        const SteadyTime start = steadyNow();
        const CallerResponse response = sendRequest(fixture, requestText("POST", "/a/x", "a1"));
        cr_expect_eq(
            response.status, item.expected, "%s: %u", item.statusLine.data(), response.status);
        cr_expect(response.body == (item.expected == 502 ? "" : "sound"), "%s: %s",
            item.statusLine.data(), response.body.c_str());
        cr_expect(steadyNow() - start < Milliseconds(AtMostOnce.timeoutMs / 2), "%s",
            item.statusLine.data());
    }
}

// Guards against the text of a failure, or a false end, in a stream that has begun.

Test(resumed_streams, that_meet_a_failure_break_off)
{
    assertBrokenAfterTwoEvents(failWith(500, false));
}

Test(resumed_streams, that_meet_a_failure_of_the_request_break_off)
{
    assertBrokenAfterTwoEvents(failWith(400, false));
}

Test(resumed_streams, that_are_refused_break_off)
{
    assertBrokenAfterTwoEvents(failWith(503, true));
}

Test(resumed_streams, that_meet_an_unsigned_success_break_off)
{
    assertBrokenAfterTwoEvents([](const FakeRequest& request, FakeConnection& connection) {
        http1::Headers headers;
        headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
        connection.answer(200, headers, "the text of a failure");
    });
}

Test(resumed_streams, that_meet_a_success_without_events_break_off)
{
    assertBrokenAfterTwoEvents([](const FakeRequest& request, FakeConnection& connection) {
        http1::Headers headers;
        headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
        headers.add("X-Server-Stamp", "stamp");
        connection.answer(200, headers, "the text of a failure");
    });
}

Test(resumed_streams, that_meet_a_part_of_a_head_break_off)
{
    assertBrokenAfterTwoEvents([](const FakeRequest& request, FakeConnection& connection) {
        connection.send(headText(request, "Transfer-Encoding: chun"));
        connection.close();
    });
}

Test(resumed_streams, that_meet_a_failure_without_length_break_off)
{
    assertBrokenAfterTwoEvents([](const FakeRequest& request, FakeConnection& connection) {
        connection.send(
            "HTTP/1.1 500 Internal Server Error\r\nX-Server-Stamp: stamp\r\nX-Attempt-Id: "
            + request.field("X-Attempt-Id") + "\r\n\r\nthe text of a failure\n\n");
        connection.close();
    });
}

// Targets that send bytes without end: nothing but closing the connection stops them.
#include "GatewayFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

/** More than any response of these tests' targets; a gateway has some hundred MB. */
constexpr size_t ByteLimit = size_t { 32 } << 20;

std::string headText(const std::string& attempt, const std::string& type)
{
    http1::Headers headers;
    headers.add("X-Attempt-Id", attempt);
    headers.add("X-Server-Stamp", "stamp");
    headers.add("Content-Type", type);
    headers.add("Transfer-Encoding", "chunked");
    return http1::composeResponse(200, "OK", headers);
}

/** What a target sends once, and then over and over. */
struct EndlessResponse {
    std::string_view name;
    std::string route;
    std::function<std::string(const std::string& attempt)> start;
    std::string repeated;
};

const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
const std::string LargeChunk = http1::composeChunk(std::string(16000, 'x'));

std::vector<EndlessResponse> endlessResponses()
{
    return {
        { "header lines", "/a/", [](const std::string&) { return StatusLine; },
            "Field: value\r\n" },
        { "one header line", "/a/", [](const std::string&) { return StatusLine + "Field: "; },
            "value" },
        { "interim responses", "/a/", [](const std::string&) { return std::string(); },
            "HTTP/1.1 100 Continue\r\n\r\n" },
        { "a body", "/a/",
            [](const std::string& attempt) { return headText(attempt, "text/plain"); },
            LargeChunk },
        { "a body without a frame", "/a/",
            [](const std::string& attempt) {
                return StatusLine + "X-Server-Stamp: s\r\nX-Attempt-Id: " + attempt + "\r\n\r\n";
            },
            std::string(16000, 'x') },
        { "a response to an earlier request", "/a/",
            [](const std::string&) { return headText("earlier", "text/plain"); }, LargeChunk },
        { "an event", "/s/",
            [](const std::string& attempt) {
                return headText(attempt, "text/event-stream")
                    + http1::composeChunk("id: 1\ndata: ");
            },
            LargeChunk },
    };
}

} // namespace

// Guards against a gateway that takes in what a target sends until its memory or the deadline ends.
Test(endless_bytes, end_with_the_connection_and_the_request_goes_to_another_target)
{
    for (const EndlessResponse& endless : endlessResponses()) {
        GatewayFixture fixture;
        std::atomic<bool> hasSent { false };
        std::atomic<size_t> sent { 0 };
        fixture.addRoute("/a/", { "idempotent", "app", 10000 });
        fixture.addRoute("/s/", { "streaming", "app", 10000, 2, true });
        fixture.declare(1);
        const GatewayFixture::Script script
            = [&](const FakeRequest& request, FakeConnection& connection) {
                  if (hasSent.exchange(true)) {
                      if (request.head.target.starts_with("/s/")) {
                          sendEvents(request, connection, 1, 2);
                          connection.send(http1::LastChunk);
                      } else {
                          answerOk(request, connection);
                      }
                      return;
                  }
                  connection.send(endless.start(request.field("X-Attempt-Id")));
                  std::string repeated;
                  while (repeated.size() < 16000)
                      repeated += endless.repeated;
                  while (connection.isOpen() && sent < ByteLimit) {
                      connection.send(repeated);
                      sent += repeated.size();
                  }
                  connection.reset();
              };
        fixture.addTarget("one", "app", script);
        fixture.addTarget("two", "app", script);
        fixture.start();
        GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
        const CallerResponse response
            = sendRequest(fixture, requestText("GET", endless.route + "x", "a1"));
        cr_expect_eq(response.status, 200U, "%s", endless.name.data());
        cr_expect(response.isComplete, "%s", endless.name.data());
        cr_expect_lt(sent.load(), ByteLimit, "%s", endless.name.data());
    }
}

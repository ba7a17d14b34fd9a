// Targets that write an earlier response once more on a persistent connection.
#include "GatewayFixture.h"

#include <criterion/criterion.h>
#include <netinet/in.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

/** Serves requests; from the second one on, a refusal precedes the response. */
GatewayFixture::Script refusalBeforeLaterResponses(std::function<void(http1::Headers&)> addFields)
{
    const std::shared_ptr<std::atomic<int>> requests = std::make_shared<std::atomic<int>>(0);
    return [requests, addFields = std::move(addFields)](
               const FakeRequest& request, FakeConnection& connection) {
        if ((*requests)++ > 0) {
            http1::Headers headers;
            headers.add("X-Not-Executed", "1");
            addFields(headers);
            connection.answer(503, headers, "");
        }
        answerSigned(request, connection);
    };
}

void assertServedOnce(const GatewayFixture::Script& script)
{
    GatewayFixture fixture;
    fixture.addRoute("/a/", Repeatable);
    fixture.declare(1);
    fixture.addTarget("only", "app", script);
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    Caller caller(fixture.callers());
    for (const char* attempt : { "a1", "a2", "a3" }) {
        caller.send(requestText("GET", "/a/x", attempt));
        cr_assert_eq(caller.receive().status, 200U, "%s", attempt);
    }
    cr_assert_eq(fixture.seen().size(), 3U);
    cr_assert_eq(fixture.connectionsOfFirst(), 1U);
}

/** @return the peer's port, which no other open connection has. */
int peerPort(const FakeConnection& connection)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getpeername(connection.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

// Guards against requests that are refused as "not run", or run again elsewhere, because of a
// refusal that belongs to an earlier request.

Test(repeated_refusals, of_another_request_are_skipped)
{
    assertServedOnce(refusalBeforeLaterResponses(
        [](http1::Headers& headers) { headers.add("X-Attempt-Id", "earlier"); }));
}

Test(repeated_refusals, that_name_no_request_are_skipped_on_reused_connections)
{
    assertServedOnce(refusalBeforeLaterResponses([](http1::Headers&) {}));
}

Test(repeated_refusals, of_an_earlier_attempt_of_the_same_request_are_not_taken_for_the_next_ones)
{
    GatewayFixture fixture;
    std::atomic<int> decodes { 0 };
    std::atomic<int> refusingPort { 0 };
    const GatewayFixture::Script script
        = [&](const FakeRequest& request, FakeConnection& connection) {
              switch (decodes++) {
              case 0:
                  refusingPort = peerPort(connection);
                  refuseNotExecuted(request, connection);
                  return;
              case 1: {
                  // The prompt is prefilled again, and only the first engine is left.
                  http1::Headers headers;
                  headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
                  headers.add("X-Server-Stamp", "stamp");
                  headers.add("Server-Leaving", "1");
                  connection.answer(500, headers, "");
                  return;
              }
              default:
                  if (peerPort(connection) == refusingPort)
                      refuseNotExecuted(request, connection);
                  sendEvents(request, connection, 1, 4);
                  connection.send(http1::LastChunk);
              }
          };
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
    fixture.declare(1);
    fixture.addTarget("prefill", "llm", prefillPrompt, "prefill");
    fixture.addTarget("decode-1", "llm", script, "decode");
    fixture.addTarget("decode-2", "llm", script, "decode");
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    const CallerResponse response
        = sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines, "prompt"));
    cr_assert_eq(response.status, 200U);
    cr_assert(response.isComplete);
    cr_assert_eq(decodes, 3);
}

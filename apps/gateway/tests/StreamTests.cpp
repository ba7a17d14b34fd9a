#include "GatewayFixture.h"
#include "telemetry/Telemetry.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

std::string eventsText(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += eventText(id);
    return text;
}

void streamAllEvents(const FakeRequest& request, FakeConnection& connection)
{
    const std::string last = request.field("Last-Event-Id");
    sendEvents(request, connection, last.empty() ? 1 : std::stoi(last) + 1, 4);
    connection.send(http1::LastChunk);
}

void startEngines(GatewayFixture& fixture, bool isResumable,
    const GatewayFixture::Script& prefillEngine, const GatewayFixture::Script& decodeEngine,
    const GatewayFixture::Script& otherDecodeEngine)
{
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 2, isResumable, true });
    fixture.declare(1);
    fixture.addTarget("reader", "llm", prefillEngine, "prefill");
    fixture.addTarget("maker-1", "llm", decodeEngine, "decode");
    fixture.addTarget("maker-2", "llm", otherDecodeEngine, "decode");
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
}

} // namespace

Test(streams, are_prefilled_by_one_engine_and_decoded_by_another)
{
    GatewayFixture fixture;
    startEngines(fixture, true, prefillPrompt, streamAllEvents, streamAllEvents);
    const CallerResponse response
        = sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines, "prompt"));
    cr_assert_eq(response.status, 200U);
    cr_assert(response.isComplete);
    cr_assert(response.body == eventsText(1, 4));
    const std::vector<SeenRequest> seen = fixture.seen();
    cr_assert_eq(seen.size(), 2U);
    cr_assert(seen[0].target == "reader" && seen[0].request.field("X-Phase") == "prefill");
    cr_assert(seen[1].request.field("X-Kv-Source").ends_with("/h1"));
    cr_assert(seen[1].request.field("X-Phase").empty());
    for (const SeenRequest& request : seen)
        cr_assert(request.request.body == "prompt");
}

Test(streams, that_break_resume_at_another_engine_with_each_event_once)
{
    GatewayFixture fixture;
    std::atomic<int> runs { 0 };
    std::atomic<bool> hasCallerReceivedTwo { false };
    const GatewayFixture::Script script
        = [&](const FakeRequest& request, FakeConnection& connection) {
              if (runs++ > 0) {
                  streamAllEvents(request, connection);
                  return;
              }
              sendEvents(request, connection, 1, 2);
              // A reset discards bytes that the peer has not read yet.
              GatewayFixture::waitUntil([&] { return hasCallerReceivedTwo.load(); });
              // Cut off in the middle of an event.
              connection.send(http1::composeChunk("id: 3\ndata: to"));
              connection.reset();
          };
    startEngines(fixture, true, prefillPrompt, script, script);
    Caller caller(fixture.callers());
    caller.send(requestText("POST", "/s/x", "a1", PromptLines));
    std::string bytes = caller.receiveUntil(eventText(2) + "\r\n");
    hasCallerReceivedTwo = true;
    bytes += caller.receiveUntil(http1::LastChunk);
    const CallerResponse response = parseResponse(bytes);
    cr_assert(response.isComplete);
    cr_assert(response.body == eventsText(1, 4));
    // The first prompt's handle is released concurrently, so only the decodes have a fixed order.
    std::vector<std::string> lastEvents;
    for (const SeenRequest& seen : fixture.seen()) {
        if (!seen.request.field("X-Kv-Source").empty())
            lastEvents.push_back(seen.request.field("Last-Event-Id"));
    }
    cr_assert(lastEvents == std::vector<std::string>({ "", "2" }));
}

Test(streams, that_may_not_be_resumed_break_visibly)
{
    GatewayFixture fixture;
    const GatewayFixture::Script script
        = [](const FakeRequest& request, FakeConnection& connection) {
              sendEvents(request, connection, 1, 2);
              connection.reset();
          };
    startEngines(fixture, false, prefillPrompt, script, script);
    const CallerResponse response
        = sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines));
    cr_assert_not(response.isComplete, "A response that ends early must not look complete.");
    GatewayFixture::waitUntil(
        [] { return telemetry::metricsText().find("outcome=\"broken\"") != std::string::npos; });
    cr_assert(telemetry::metricsText().find("outcome=\"caller_left\"") == std::string::npos,
        "A request is counted once.");
    cr_assert_eq(fixture.seenBy("maker-1") + fixture.seenBy("maker-2"), 1U);
}

Test(streams, a_caller_that_resumes_gets_the_remaining_events)
{
    GatewayFixture fixture;
    startEngines(fixture, true, prefillPrompt, streamAllEvents, streamAllEvents);
    cr_assert(sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines)).body
        == eventsText(1, 4));
    const std::string lines = PromptLines + "Last-Event-Id: 2\r\n";
    const CallerResponse same = sendRequest(fixture, requestText("POST", "/s/x", "a1", lines));
    cr_assert(same.body == eventsText(3, 4));
    const CallerResponse resumed
        = sendRequest(fixture, requestText("POST", "/s/x", "a2", lines + "Resumes: a1\r\n"));
    cr_assert(resumed.body == eventsText(3, 4));
}

Test(streams, a_prompt_that_nobody_takes_is_freed)
{
    GatewayFixture fixture;
    std::atomic<bool> isReleased { false };
    const GatewayFixture::Script prefillEngine
        = [&isReleased](const FakeRequest& request, FakeConnection& connection) {
              if (request.head.method == "DELETE")
                  isReleased = request.head.target == "/kv-handle/h1";
              prefillPrompt(request, connection);
          };
    const GatewayFixture::Script decodeEngine
        = [](const FakeRequest&, FakeConnection& connection) { connection.waitForClose(); };
    startEngines(fixture, true, prefillEngine, decodeEngine, decodeEngine);
    Caller caller(fixture.callers());
    caller.send(requestText("POST", "/s/x", "a1", PromptLines));
    GatewayFixture::waitUntil([&] { return fixture.seen().size() == 2; });
    caller.close();
    GatewayFixture::waitUntil([&] { return isReleased.load(); });
}

Test(streams, a_decode_engine_that_refuses_leaves_the_prompt_for_another)
{
    GatewayFixture fixture;
    std::atomic<int> refusals { 0 };
    const GatewayFixture::Script script
        = [&refusals](const FakeRequest& request, FakeConnection& connection) {
              if (refusals++ == 0)
                  refuseNotExecuted(request, connection);
              else
                  streamAllEvents(request, connection);
          };
    startEngines(fixture, false, prefillPrompt, script, script);
    cr_assert(sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines)).isComplete);
    cr_assert_eq(fixture.seenBy("reader"), 1U);
}

Test(streams, a_prefill_whose_response_is_lost_is_retried_at_the_same_engine)
{
    GatewayFixture fixture;
    std::atomic<int> prefills { 0 };
    const GatewayFixture::Script prefillEngine
        = [&prefills](const FakeRequest& request, FakeConnection& connection) {
              if (prefills++ == 0)
                  connection.reset();
              else
                  prefillPrompt(request, connection);
          };
    startEngines(fixture, false, prefillEngine, streamAllEvents, streamAllEvents);
    cr_assert(sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines)).isComplete);
    cr_assert_eq(prefills, 2);
}

Test(streams, engines_that_change_their_role_get_no_work)
{
    GatewayFixture fixture;
    startEngines(fixture, false, prefillPrompt, streamAllEvents, streamAllEvents);
    fixture.reportRole("maker-1", EngineRole::Prefill, true);
    // The report arrives on the gateway's loop before the requests that follow.
    std::this_thread::sleep_for(Milliseconds(50));
    for (const char* attempt : { "a1", "a2", "a3", "a4" })
        cr_assert(
            sendRequest(fixture, requestText("POST", "/s/x", attempt, PromptLines)).isComplete);
    cr_assert_eq(fixture.seenBy("maker-1"), 0U);
    cr_assert_eq(fixture.seenBy("maker-2"), 4U);
}

Test(load_pattern, a_gateway_that_starts_beside_warm_engines_has_nothing_shared_read_again)
{
    GatewayFixture fixture;
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 2, true, true });
    fixture.declare(1);
    for (const char* id : { "warm", "cold-1", "cold-2" })
        fixture.addTarget(id, "llm", prefillPrompt, "prefill");
    fixture.addTarget("maker", "llm", streamAllEvents, "decode");
    std::map<std::string, int> parts;
    for (int part = 0; part < 8; ++part)
        parts["part" + std::to_string(part)] = 8000;
    fixture.setCachedParts("warm", parts);
    fixture.start();
    for (const char* id : { "warm", "cold-1", "cold-2", "maker" })
        GatewayFixture::waitUntil([&] { return fixture.wasCacheQueried(id); });
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    for (const auto& [part, tokens] : parts) {
        std::string lines = "X-Model: m\r\nX-Token-Counts: 8100,8\r\nX-Prefix-Hash: ";
        lines.append(part).append(":8000,own").append(part).append(":100\r\n");
        cr_assert(
            sendRequest(fixture, requestText("POST", "/s/x", part, lines, "prompt")).isComplete);
    }
    size_t prefillCount = 0;
    for (const SeenRequest& seen : fixture.seen()) {
        if (seen.request.field("X-Phase") != "prefill")
            continue;
        prefillCount += 1;
        cr_expect(seen.target == "warm" || !seen.request.field("Kv-Fetch").empty(), "%s at %s",
            seen.request.field("X-Attempt-Id").c_str(), seen.target.c_str());
    }
    cr_assert_eq(prefillCount, 8U);
}

namespace {

/** Sends a stream without length or chunks, which ends with its connection. */
void streamUntilClose(
    const FakeRequest& request, FakeConnection& connection, const std::string& events)
{
    http1::Headers headers;
    headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
    headers.add("X-Server-Stamp", "stamp");
    headers.add("Content-Type", "text/event-stream");
    connection.send(http1::composeResponse(200, "OK", headers));
    connection.send(events);
    connection.close();
}

CallerResponse responseToStreamUntilClose(const std::string& events)
{
    GatewayFixture fixture;
    const GatewayFixture::Script script
        = [events](const FakeRequest& request, FakeConnection& connection) {
              streamUntilClose(request, connection, events);
          };
    startEngines(fixture, false, prefillPrompt, script, script);
    return sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines));
}

} // namespace

Test(streams, without_length_are_complete_at_the_end_of_the_connection)
{
    const CallerResponse response = responseToStreamUntilClose(eventsText(1, 3));
    cr_assert(response.isComplete);
    cr_assert(response.body == eventsText(1, 3));
}

Test(streams, without_length_that_end_inside_an_event_break_visibly)
{
    const CallerResponse response
        = responseToStreamUntilClose(eventsText(1, 2) + "id: 3\ndata: to");
    cr_assert_not(response.isComplete);
    cr_assert(response.body == eventsText(1, 2));
}

Test(streams, without_length_or_events_break_visibly)
{
    cr_assert_not(responseToStreamUntilClose("").isComplete);
}

// Streams while engines of several software versions serve in one pool.
#include "VersionFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

// Guards against events of two software versions in one response after an engine is lost.
Test(versions, a_stream_whose_engine_is_lost_goes_on_at_the_version_that_began_it)
{
    VersionFixture fixture;
    fixture.startWithFirstEngine(1);
    Caller caller(fixture.callers());
    std::string bytes = beginStream(caller, "a1");
    fixture.addDecodeEngine("another-v2", "v2");
    fixture.addDecodeEngine("second-v1", "v1");
    fixture.isLost = true;
    bytes += caller.receiveUntil(http1::LastChunk);
    cr_assert(parseResponse(bytes).body == eventsText(1, 4));
    cr_assert_eq(fixture.seenBy("another-v2"), 0U);
    cr_assert_eq(fixture.seenBy("second-v1"), 1U);
}

// Guards against the same when no engine of the first version is left.
Test(versions, a_stream_breaks_visibly_when_its_version_is_gone)
{
    VersionFixture fixture;
    fixture.startWithFirstEngine(1);
    Caller caller(fixture.callers());
    caller.send(requestText("POST", "/s/x", "a1", PromptLines));
    GatewayFixture::waitUntil([&] { return fixture.hasBegun.load(); });
    fixture.addDecodeEngine("another-v2", "v2");
    fixture.isLost = true;
    const CallerResponse response = caller.receive();
    cr_assert_not(response.isComplete);
    cr_assert(response.body == eventsText(1, 2));
    cr_assert_eq(fixture.seenBy("another-v2"), 0U);
}

// Guards against events of two software versions over a caller's tries at two gateways.
Test(versions, a_caller_that_resumes_at_another_gateway_stays_at_the_version)
{
    VersionFixture fixture;
    fixture.startWithFirstEngine(3);
    Caller caller(fixture.callers(0));
    beginStream(caller, "a1");
    fixture.addDecodeEngine("another-v2", "v2");
    fixture.killGateway(0);
    for (const size_t gateway : { 1, 2 }) {
        Caller resuming(fixture.callers(gateway));
        resuming.send(resumeText("a2-" + std::to_string(gateway), "a1"));
        const CallerResponse response = resuming.receive();
        cr_assert_eq(response.status, 200U);
        cr_assert(response.isComplete && response.body == eventsText(3, 4));
    }
    cr_assert_eq(fixture.seenBy("another-v2"), 0U);
    cr_assert_eq(fixture.seenBy("first-v1"), 3U);
}

// Guards against a guess: what no gateway knows may have begun at any version.
Test(versions, a_caller_that_resumes_an_unknown_stream_is_refused_while_two_versions_serve)
{
    VersionFixture fixture;
    fixture.startWithFirstEngine(2);
    fixture.addDecodeEngine("another-v2", "v2");
    Caller caller(fixture.callers(0));
    caller.send(resumeText("a2", "never-seen"));
    const CallerResponse response = caller.receive();
    cr_assert_eq(response.status, 503U);
    cr_assert(response.headers.find("Retry-After").has_value());
    cr_assert_eq(fixture.seenBy("another-v2") + fixture.seenBy("first-v1"), 0U);
}

// Guards against a gateway that starts after a version has left and takes the other for the only
// one.
Test(versions, a_gateway_that_starts_anew_knows_the_versions_that_have_left)
{
    VersionFixture fixture;
    fixture.store().put("citronspoke/versions/llm", "v0\nv1\n");
    fixture.startWithFirstEngine(1);
    Caller caller(fixture.callers(0));
    caller.send(resumeText("a2", "never-seen"));
    cr_assert_eq(caller.receive().status, 503U);
    cr_assert_eq(fixture.seenBy("first-v1"), 0U);
}

Test(versions, are_recorded_in_the_store_once_targets_have_them)
{
    VersionFixture fixture;
    fixture.startWithFirstEngine(2);
    const auto recorded = [&fixture](const std::string& versions) {
        const std::map<std::string, std::string> contents = fixture.store().contents();
        const auto found = contents.find("citronspoke/versions/llm");
        return found != contents.end() && found->second == versions;
    };
    GatewayFixture::waitUntil([&] { return recorded("v1\n"); });
    fixture.addDecodeEngine("another-v2", "v2");
    GatewayFixture::waitUntil([&] { return recorded("v1\nv2\n"); });
    fixture.store().remove("servers/another-v2");
    // Callers may still come back to a stream of that version.
    std::this_thread::sleep_for(Milliseconds(1200));
    cr_assert(recorded("v1\nv2\n"));
}

// Guards against a version whose engines have left and which a restore of the store has lost.
Test(versions, are_recorded_again_after_the_store_has_lost_the_record)
{
    VersionFixture fixture;
    const std::shared_ptr<const fakes::FakeFleetStore::Copy> copy = fixture.store().copy();
    fixture.startWithFirstEngine(2);
    fixture.addDecodeEngine("another-v2", "v2");
    const auto isRecorded = [&fixture] {
        const std::map<std::string, std::string> contents = fixture.store().contents();
        const auto found = contents.find("citronspoke/versions/llm");
        return found != contents.end() && found->second == "v1\nv2\n";
    };
    GatewayFixture::waitUntil(isRecorded);
    const std::map<std::string, std::string> before = fixture.store().contents();
    fixture.store().remove("servers/another-v2");
    std::this_thread::sleep_for(Milliseconds(700));
    fixture.store().restore(*copy);
    // The operator and the engine that is left write again.
    fixture.store().put("op/config", before.at("op/config"));
    fixture.store().put("servers/first-v1", before.at("servers/first-v1"));
    GatewayFixture::waitUntil(isRecorded);
}

// Guards against a resume that is refused for its version although there is only one, and against
// a gateway that knows the versions of a shorter time than callers may come back in.
Test(versions, a_stream_that_is_unknown_goes_on_when_there_is_only_one_version)
{
    constexpr std::chrono::seconds Window { 15 };
    VersionFixture fixture;
    fixture.startWithFirstEngine(2);
    fixture.hasBegun = true;
    Caller early(fixture.callers(0));
    early.send(resumeText("a0", "never-seen"));
    cr_assert_eq(early.receive().status, 503U);
    std::this_thread::sleep_for(Window + SettleTime);
    for (const std::string first : { "Resumes: never-seen\r\n", "" }) {
        std::string lines = PromptLines;
        lines.append("Last-Event-Id: 2\r\n").append(first);
        Caller caller(fixture.callers(0));
        caller.send(requestText("POST", "/s/x", "a" + std::to_string(first.size()), lines));
        cr_assert(caller.receive().body == eventsText(3, 4));
    }
}

// Guards against a gateway that is cut off from the others while a version begins to serve, and
// takes the one that it knows for the only one.
Test(versions, a_gateway_without_replies_does_not_resume_an_unknown_stream)
{
    constexpr std::chrono::seconds Window { 15 };
    VersionFixture fixture;
    fixture.startWithFirstEngine(2);
    fixture.hasBegun = true;
    std::this_thread::sleep_for(Window + SettleTime);
    // It no longer replies, and is still announced.
    fixture.killGateway(0);
    for (const std::string resumes : { "Resumes: a1\r\n", "" }) {
        std::string lines = PromptLines;
        lines.append("Last-Event-Id: 2\r\n").append(resumes);
        Caller caller(fixture.callers(1));
        caller.send(requestText("POST", "/s/x", "a" + std::to_string(resumes.size()), lines));
        cr_expect_eq(caller.receive().status, 503U, "%s", resumes.c_str());
    }
    cr_assert_eq(fixture.seenBy("first-v1"), 0U);
}

// Guards against an engine that restarts under its id with another version before the gateway
// learns of it.
Test(versions, a_stream_does_not_go_on_at_an_engine_that_has_restarted_unnoticed)
{
    VersionFixture fixture;
    fixture.startWithFirstEngine(1);
    Caller caller(fixture.callers());
    caller.send(requestText("POST", "/s/x", "a1", PromptLines));
    GatewayFixture::waitUntil([&] { return fixture.hasBegun.load(); });
    std::atomic<int64_t> startedAt { 1000 };
    const GatewayFixture::Script script
        = [&startedAt](const FakeRequest& request, FakeConnection& connection) {
              if (request.head.target == "/report")
                  connection.answer(200, {},
                      R"({"phase":"decode","seq":0,"born":)" + std::to_string(startedAt) + "}");
              else
                  streamToEnd(request, connection);
          };
    fixture.addTarget("second-v1", "llm", script, "decode", "v1", startedAt);
    std::this_thread::sleep_for(SettleTime);
    // The store still has the record of before.
    startedAt = 2000;
    fixture.isLost = true;
    const CallerResponse response = caller.receive();
    cr_assert_not(response.isComplete);
    cr_assert(response.body == eventsText(1, 2));
}

Test(versions, a_stream_goes_on_at_an_engine_that_confirms_its_incarnation)
{
    VersionFixture fixture;
    fixture.startWithFirstEngine(1);
    Caller caller(fixture.callers());
    caller.send(requestText("POST", "/s/x", "a1", PromptLines));
    GatewayFixture::waitUntil([&] { return fixture.hasBegun.load(); });
    const GatewayFixture::Script script
        = [](const FakeRequest& request, FakeConnection& connection) {
              if (request.head.target == "/report")
                  connection.answer(200, {}, R"({"phase":"decode","seq":0,"born":1000})");
              else
                  streamToEnd(request, connection);
          };
    fixture.addTarget("second-v1", "llm", script, "decode", "v1", 1000);
    std::this_thread::sleep_for(SettleTime);
    fixture.isLost = true;
    const CallerResponse response = caller.receive();
    cr_assert(response.isComplete && response.body == eventsText(1, 4));
}

// Guards against streams that end with their engine where targets state no versions at all.
Test(versions, streams_go_on_where_no_target_states_a_version)
{
    GatewayFixture fixture;
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
    fixture.declare(1);
    fixture.addTarget("reader", "llm", prefillPrompt, "prefill", "");
    std::atomic<bool> hasBroken { false };
    const GatewayFixture::Script script
        = [&hasBroken](const FakeRequest& request, FakeConnection& connection) {
              if (hasBroken.exchange(true)) {
                  streamToEnd(request, connection);
                  return;
              }
              sendEvents(request, connection, 1, 2);
              connection.send(http1::composeChunk("id: 3\ndata: to"));
              std::this_thread::sleep_for(Milliseconds(100));
              connection.reset();
          };
    for (const char* id : { "maker-1", "maker-2" })
        fixture.addTarget(id, "llm", script, "decode", "");
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    const CallerResponse response
        = sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines));
    cr_assert(response.isComplete && response.body == eventsText(1, 4));
    Caller caller(fixture.callers());
    caller.send(resumeText("a3", "a2"));
    cr_assert(caller.receive().body == eventsText(3, 4));
}

// Guards against a late reply to a search of the gateway's earlier run, which had the same number.
Test(versions, a_reply_about_another_stream_decides_nothing)
{
    VersionFixture fixture;
    // Announced, but it never replies.
    fixture.store().put("citronspoke/gateways/mute", fixture.sidecars().text());
    fixture.startWithFirstEngine(1);
    fixture.hasBegun = true;
    fixture.addDecodeEngine("another-v2", "v2");
    const auto resumeWithReply = [&fixture](uint64_t number, const std::string& repliedAttempt) {
        Caller caller(fixture.callers());
        caller.send(resumeText("a" + std::to_string(number), "first"));
        std::this_thread::sleep_for(Milliseconds(30));
        fixture.sendDatagram(peers::encode(streams::OriginReply { number, RequestId(repliedAttempt),
            EntryId("mute"), streams::OriginRecord { SoftwareVersion("v2"), PoolId("llm") }, {} }));
        return caller.receive().status;
    };
    cr_assert_eq(resumeWithReply(1, "another"), 503U);
    cr_assert_eq(resumeWithReply(2, "first"), 200U);
}

// Keys that are removed while requests with them wait, run or are repeated.
#include "OrganisationFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

/** Lets scripts of targets wait until the test has removed a key. */
class RemovalFixture : public OrganisationFixture {
public:
    ~RemovalFixture() { isReleased = true; }

    /** Called by a target's script. */
    void holdRequest()
    {
        isHeld = true;
        waitUntil([this] { return isReleased.load(); });
    }
    /** Removes the key while a target holds a request with it. */
    void removeWhileHeld()
    {
        waitUntil([this] { return isHeld.load(); });
        removeKeyOfA(2);
        isReleased = true;
    }

    std::atomic<bool> isHeld { false };
    std::atomic<bool> isReleased { false };
};

} // namespace

// Guards against a check that is made once for each connection.
Test(removed_keys, a_persistent_connection_does_not_keep_a_key_valid)
{
    RemovalFixture fixture;
    fixture.addRoute("/a/", Repeatable);
    fixture.declare(1);
    fixture.addTarget("one", "app", answerOk);
    fixture.startReady();
    Caller caller(fixture.callers());
    caller.send(requestText("GET", "/a/x", "r1", keyLine(KeyOfA)));
    cr_assert_eq(caller.receive().status, 200U);
    fixture.removeKeyOfA(2);
    caller.send(requestText("GET", "/a/x", "r2", keyLine(KeyOfA)));
    cr_expect_eq(caller.receive().status, 401U);
    cr_expect_eq(fixture.seenBy("one"), 1U);
}

// Guards against a retry that is sent with the key as it was when the request arrived.
Test(removed_keys, a_retry_is_refused)
{
    RemovalFixture fixture;
    const GatewayFixture::Script script
        = [&fixture](const FakeRequest& request, FakeConnection& connection) {
              fixture.holdRequest();
              refuseNotExecuted(request, connection);
          };
    fixture.addRoute("/a/", Repeatable);
    fixture.declare(1);
    fixture.addTarget("one", "app", script);
    fixture.addTarget("two", "app", script);
    fixture.startReady();
    Caller caller(fixture.callers());
    caller.send(requestText("GET", "/a/x", "r1", keyLine(KeyOfA)));
    fixture.removeWhileHeld();
    cr_expect_eq(caller.receive().status, 401U);
    cr_expect_eq(fixture.seenBy("one") + fixture.seenBy("two"), 1U);
}

// Guards against a decode that is sent because the key was valid before the prefill.
Test(removed_keys, a_decode_after_a_prefill_is_refused)
{
    RemovalFixture fixture;
    fixture.addRoute("/s/", { "streaming", "llm", 20000, 3, true, true });
    fixture.declare(1);
    fixture.addTarget(
        "reader", "llm",
        [&fixture](const FakeRequest& request, FakeConnection& connection) {
            if (request.head.method == "POST")
                fixture.holdRequest();
            prefillPrompt(request, connection);
        },
        "prefill");
    fixture.addTarget("maker", "llm", answerOk, "decode");
    fixture.startReady();
    Caller caller(fixture.callers());
    caller.send(requestText("POST", "/s/x", "r1", PromptLines + keyLine(KeyOfA)));
    fixture.removeWhileHeld();
    cr_expect_eq(caller.receive().status, 401U);
    cr_expect_eq(fixture.seenBy("maker"), 0U);
    cr_expect(!fixture.wasSentToTargets(KeyOfA));
}

// Guards against a request that waits for a turn and is sent after its key was removed.
Test(removed_keys, a_request_that_waits_for_its_turn_is_refused)
{
    constexpr Milliseconds SettleTime { 400 };
    constexpr Milliseconds ArrivalTime { 30 };
    constexpr int Rounds = 10;
    RemovalFixture fixture;
    fixture.addRoute("/a/", Repeatable);
    // The requests of the most urgent priority wait for up to 250 ms; a turn comes each 200 ms.
    fixture.setOrganisation("a", { KeyOfA }, 0);
    fixture.declare(1);
    fixture.addTarget("one", "app", [](const FakeRequest& request, FakeConnection& connection) {
        http1::Headers headers;
        headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
        headers.add("X-Server-Stamp", "stamp");
        headers.add("Server-Limit", "5");
        connection.answer(200, headers, "ok");
    });
    fixture.startReady();
    Caller caller(fixture.callers());
    size_t refused = 0;
    for (int round = 1; round <= Rounds; ++round) {
        std::this_thread::sleep_for(SettleTime);
        caller.send(requestText("GET", "/a/x", "first", keyLine(KeyOfA)));
        cr_assert_eq(caller.receive().status, 200U);
        const size_t seenBefore = fixture.seen().size();
        caller.send(requestText("GET", "/a/x", "second", keyLine(KeyOfA)));
        std::this_thread::sleep_for(ArrivalTime);
        fixture.removeKeyOfA(2 * round);
        const bool isRefused = caller.receive().status == 401;
        refused += isRefused ? 1 : 0;
        cr_expect_eq(fixture.seen().size(), seenBefore + (isRefused ? 0 : 1));
        fixture.setOrganisation("a", { KeyOfA }, 0);
        fixture.declare(2 * round + 1);
        GatewayFixture::waitUntil([&] { return fixture.statusOf(KeyOfA) == 404; });
    }
    // A declaration may come into force after the turn, but not in all rounds.
    cr_expect_geq(refused, 1U);
}

// Guards against a stream that the gateway continues at another engine with a removed key.
Test(removed_keys, a_stream_does_not_go_on_at_another_engine)
{
    RemovalFixture fixture;
    fixture.addRoute("/s/", { "streaming", "llm", 20000, 3, true, true });
    fixture.declare(1);
    fixture.addTarget("reader", "llm", prefillPrompt, "prefill");
    const GatewayFixture::Script script
        = [&fixture](const FakeRequest& request, FakeConnection& connection) {
              sendEvents(request, connection, 1, 2);
              fixture.holdRequest();
              connection.reset();
          };
    fixture.addTarget("first", "llm", script, "decode");
    fixture.addTarget("second", "llm", script, "decode");
    fixture.startReady();
    Caller caller(fixture.callers());
    caller.send(requestText("POST", "/s/x", "r1", PromptLines + keyLine(KeyOfA)));
    fixture.removeWhileHeld();
    const CallerResponse response = caller.receive();
    cr_expect_eq(response.status, 200U);
    cr_expect(!response.isComplete);
    cr_expect_eq(fixture.seenBy("first") + fixture.seenBy("second"), 1U);
}

// Guards against a running stream that is broken off: it began with a valid key.
Test(removed_keys, a_stream_that_has_begun_continues)
{
    RemovalFixture fixture;
    fixture.addRoute("/a/", { "streaming", "app", 20000 });
    fixture.declare(1);
    fixture.addTarget(
        "one", "app", [&fixture](const FakeRequest& request, FakeConnection& connection) {
            sendEvents(request, connection, 1, 2);
            fixture.holdRequest();
            connection.send(http1::composeChunk(eventText(3)));
            connection.send(http1::LastChunk);
        });
    fixture.startReady();
    Caller caller(fixture.callers());
    caller.send(requestText("GET", "/a/x", "r1", keyLine(KeyOfA)));
    fixture.removeWhileHeld();
    const CallerResponse response = caller.receive();
    cr_expect(response.isComplete);
    cr_expect(response.body.ends_with(eventText(3)));
}

// Guards against a caller that resumes a stream with a removed key because the stream is known.
Test(removed_keys, a_caller_cannot_resume_its_stream)
{
    RemovalFixture fixture;
    fixture.addRoute("/s/", { "streaming", "app", 20000, 3, true });
    fixture.declare(1);
    fixture.addTarget("one", "app", [](const FakeRequest& request, FakeConnection& connection) {
        sendEvents(request, connection, 1, 2);
        connection.reset();
    });
    fixture.startReady();
    sendRequest(fixture, requestText("GET", "/s/x", "r1", keyLine(KeyOfA)));
    const size_t seenBefore = fixture.seen().size();
    fixture.removeKeyOfA(2);
    const CallerResponse response = sendRequest(fixture,
        requestText("GET", "/s/x", "r2", keyLine(KeyOfA) + "Last-Event-Id: 2\r\nResumes: r1\r\n"));
    cr_expect_eq(response.status, 401U);
    cr_expect_eq(fixture.seen().size(), seenBefore);
}

// Guards against a restored store that brings removed keys back into force.
Test(removed_keys, a_declaration_of_a_lower_revision_does_not_bring_a_key_back)
{
    RemovalFixture fixture;
    fixture.addRoute("/a/", Repeatable);
    fixture.declare(1);
    fixture.addTarget("one", "app", answerOk);
    const std::shared_ptr<const fakes::FakeFleetStore::Copy> copy = fixture.store().copy();
    fixture.startReady();
    fixture.removeKeyOfA(2);
    fixture.store().restore(*copy);
    std::this_thread::sleep_for(Milliseconds(1500));
    cr_expect_eq(fixture.statusOf(KeyOfA), 401U);
}

// Guards against a declaration without organisations that lets a key reach a target.
Test(removed_keys, the_end_of_all_organisations_does_not_send_waiting_keys)
{
    RemovalFixture fixture;
    const GatewayFixture::Script script
        = [&fixture](const FakeRequest& request, FakeConnection& connection) {
              fixture.holdRequest();
              refuseNotExecuted(request, connection);
          };
    fixture.addRoute("/a/", Repeatable);
    fixture.declare(1);
    fixture.addTarget("one", "app", script);
    fixture.addTarget("two", "app", script);
    fixture.startReady();
    Caller caller(fixture.callers());
    caller.send(requestText("GET", "/a/x", "r1", keyLine(KeyOfA)));
    GatewayFixture::waitUntil([&] { return fixture.isHeld.load(); });
    fixture.removeOrganisations();
    fixture.declare(2);
    GatewayFixture::waitUntil([&] { return fixture.statusOf("none") == 404; });
    fixture.isReleased = true;
    caller.receive();
    cr_expect_eq(fixture.seenBy("one") + fixture.seenBy("two"), 2U);
    cr_expect(!fixture.wasSentToTargets(KeyOfA));
}

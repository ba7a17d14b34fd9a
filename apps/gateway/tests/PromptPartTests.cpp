#include "CrashFixture.h"
#include "telemetry/Telemetry.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

/** Several times the delay by which a gateway batches changes of the store. */
constexpr Milliseconds AdoptionTime { 1000 };

void expectStoppedAfterThree(CrashEnd end)
{
    CrashFixture fixture(end);
    fixture.startServing();
    CallerResponse last;
    for (int request = 0; request < ManyRequests; ++request)
        last = fixture.send(CrashingPart);
    cr_assert_eq(fixture.crashes(), 3U);
    cr_assert_eq(last.status, 503U);
    cr_assert(last.headers.find("Retry-After").has_value());
}

} // namespace

// Guards against engines that crash one after the other on requests that share one part only.
Test(prompt_parts, that_crash_three_engines_are_refused)
{
    expectStoppedAfterThree(CrashEnd::Reset);
}

// Guards against crashes that are missed because the response ends with its connection.
Test(prompt_parts, that_crash_engines_inside_an_event_without_length_are_refused)
{
    expectStoppedAfterThree(CrashEnd::ClosedInsideEvent);
}

// Guards against crashes before the first event that look like complete streams.
Test(prompt_parts, that_crash_engines_before_an_event_without_length_are_refused)
{
    expectStoppedAfterThree(CrashEnd::ClosedBeforeEvent);
}

// Guards against sound requests that are refused for the parts that they share with others.
Test(prompt_parts, beside_one_that_crashes_engines_are_served)
{
    CrashFixture fixture;
    fixture.startServing();
    for (int request = 0; request < ManyRequests; ++request) {
        fixture.send(CrashingPart);
        cr_assert_eq(fixture.send(SoundPart).status, 200U);
    }
    cr_assert_eq(fixture.crashes(), 3U);
}

// Guards against gateways that learn of a crashing part only from crashes of their own.
Test(prompt_parts, that_crash_engines_are_refused_by_all_gateways)
{
    CrashFixture fixture;
    fixture.startServing(3);
    fixture.sendManyCrashing();
    for (size_t other = 0; other < 3; ++other)
        GatewayFixture::waitUntil([&] { return fixture.send(CrashingPart, other).status == 503U; });
    cr_assert_leq(fixture.crashes(), 5U, "The deployments allow five crashes.");
}

// Guards against a crashing part that is sent to engines again after all gateways were killed.
Test(prompt_parts, that_crash_engines_are_refused_by_gateways_that_start_anew)
{
    CrashFixture fixture;
    fixture.startServing(2);
    fixture.sendManyCrashing();
    GatewayFixture::waitUntil([&] { return fixture.isRecorded(); });
    fixture.killGateway(0);
    fixture.killGateway(1);
    fixture.startReady();
    const size_t crashes = fixture.crashes();
    cr_assert_eq(fixture.send(CrashingPart, 2).status, 503U);
    cr_assert_eq(fixture.crashes(), crashes);
    // Engines that have crashed are still in the store, so that some requests fail at first.
    GatewayFixture::waitUntil([&] { return fixture.send(SoundPart, 2).status == 200U; });
}

// Guards against a quarantine that is lost with the store's newest writes.
Test(prompt_parts, that_are_quarantined_are_recorded_again_after_a_restore)
{
    CrashFixture fixture;
    fixture.startServing(2);
    const std::shared_ptr<const fakes::FakeFleetStore::Copy> copy = fixture.store().copy();
    fixture.sendManyCrashing();
    GatewayFixture::waitUntil([&] { return fixture.isRecorded(); });
    std::this_thread::sleep_for(AdoptionTime);
    fixture.store().restore(*copy);
    cr_assert_not(fixture.isRecorded());
    GatewayFixture::waitUntil([&] { return fixture.isRecorded(); });
    const size_t crashes = fixture.crashes();
    for (size_t gateway = 0; gateway < 2; ++gateway)
        cr_assert_eq(fixture.send(CrashingPart, gateway).status, 503U);
    cr_assert_eq(fixture.crashes(), crashes);
}

// Guards against a quarantine that an operator cannot end.
Test(prompt_parts, whose_record_an_operator_removes_run_again)
{
    CrashFixture fixture;
    fixture.startServing(2);
    fixture.sendManyCrashing();
    GatewayFixture::waitUntil([&] { return fixture.isRecorded(); });
    const size_t crashes = fixture.crashes();
    fixture.store().remove(RecordKey);
    GatewayFixture::waitUntil([&] {
        fixture.send(CrashingPart, 0);
        return fixture.crashes() > crashes;
    });
}

// Guards against a decode that is sent although its part was quarantined during the prefill.
Test(prompt_parts, that_are_quarantined_during_the_prefill_are_not_decoded)
{
    CrashFixture fixture;
    fixture.startServing();
    Caller caller(fixture.callers());
    const std::string request = fixture.nextRequest(CrashingPart);
    const std::string attempt = fixture.lastAttempt();
    fixture.gate().hold(attempt);
    caller.send(request);
    GatewayFixture::waitUntil([&] {
        for (const SeenRequest& seen : fixture.seen()) {
            if (seen.request.field("X-Attempt-Id") == attempt)
                return true;
        }
        return false;
    });
    fixture.sendManyCrashing();
    fixture.gate().open();
    cr_assert_eq(caller.receive().status, 503U);
    for (const SeenRequest& seen : fixture.seen())
        cr_assert(seen.target == "prefill" || seen.request.field("X-Attempt-Id") != attempt);
}

// Guards against parts that are quarantined for connections that broke for another reason.
Test(prompt_parts, in_runs_that_break_at_engines_that_are_alive_are_served)
{
    GatewayFixture fixture;
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
    fixture.declare(1);
    fixture.addTarget("prefill", "llm", prefillPrompt, "prefill");
    // Each engine breaks its first run with the part and goes on.
    const std::shared_ptr<std::atomic<int>> breaks = std::make_shared<std::atomic<int>>(0);
    for (const char* id : { "decode-1", "decode-2", "decode-3" }) {
        fixture.addTarget(
            id, "llm",
            [breaks, hasBroken = std::make_shared<std::atomic<bool>>(false)](
                const FakeRequest& request, FakeConnection& connection) {
                const bool isNew = request.field("X-Prefix-Hash").find("91bd") != std::string::npos;
                if (isNew && !hasBroken->exchange(true)) {
                    *breaks += 1;
                    connection.reset();
                    return;
                }
                sendEvents(request, connection, 1, isNew && *breaks < 3 ? 0 : 4);
                if (isNew && *breaks < 3)
                    connection.reset();
                else
                    connection.send(http1::LastChunk);
            },
            "decode");
    }
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    const auto send = [&fixture](const std::string& parts) {
        return sendRequest(fixture,
            requestText("POST", "/s/x", "a1",
                "X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prefix-Hash: " + parts + "\r\n"))
            .status;
    };
    GatewayFixture::waitUntil([&] {
        send("5c1e:800,91bd:400,f1:260");
        return *breaks == 3;
    });
    GatewayFixture::waitUntil([&] { return send("5c1e:800,77aa:400,f2:260") == 200U; });
    GatewayFixture::waitUntil([&] { return send("5c1e:800,91bd:400,f3:260") == 200U; });
}

// Guards against a part of all prompts that is quarantined after an outage of the engines, because
// applications were served meanwhile.
Test(prompt_parts, of_all_prompts_are_served_after_an_outage_of_the_engines)
{
    GatewayFixture fixture;
    fixture.addRoute("/a/", { "idempotent" });
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
    fixture.declare(1);
    fixture.addTarget("app", "app", answerOk);
    fixture.addTarget("prefill", "llm", prefillPrompt, "prefill");
    const std::shared_ptr<std::atomic<bool>> isOut = std::make_shared<std::atomic<bool>>(true);
    for (const char* id : { "decode-1", "decode-2", "decode-3" }) {
        fixture.addTarget(
            id, "llm",
            [isOut](const FakeRequest& request, FakeConnection& connection) {
                if (*isOut) {
                    connection.reset();
                    return;
                }
                sendEvents(request, connection, 1, 4);
                connection.send(http1::LastChunk);
            },
            "decode");
    }
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    // Requests with equal bodies would be quarantined as the same request.
    int requests = 0;
    const auto sendPrompt = [&fixture, &requests] {
        const std::string body = "prompt " + std::to_string(++requests);
        return sendRequest(fixture, requestText("POST", "/s/x", "a1", PromptLines, body)).status;
    };
    GatewayFixture::waitUntil([&] {
        sendPrompt();
        cr_assert_eq(sendRequest(fixture, requestText("POST", "/a/x", "b1")).status, 200U);
        return fixture.seenBy("decode-1") > 0 && fixture.seenBy("decode-2") > 0
            && fixture.seenBy("decode-3") > 0;
    });
    *isOut = false;
    GatewayFixture::waitUntil([&] { return sendPrompt() == 200U; });
}

// Guards against a quarantine that ends because an engine has restarted under the id of its record.
Test(prompt_parts, that_are_known_from_others_stay_quarantined_when_the_engine_responds)
{
    GatewayFixture fixture;
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
    fixture.declare(1);
    fixture.addTarget("prefill", "llm", prefillPrompt, "prefill");
    const std::shared_ptr<CrashingEngines> engines
        = std::make_shared<CrashingEngines>(CrashEnd::Reset);
    fleet::TargetRecord record;
    record.id = TargetId("decode");
    record.startedAt = UnixMillis(7);
    fixture.addTarget(
        record.id.text(), "llm",
        [engines](const FakeRequest& request, FakeConnection& connection) {
            engines->decode("decode", request, connection);
        },
        "decode", "v1", record.startedAt.value());
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    const quarantine::PartCrashReport report { quarantine::PromptPartId("bad"),
        { quarantine::crashOf(record), quarantine::CrashKey(1), quarantine::CrashKey(2) }, true,
        {} };
    peers::Outbox outbox;
    outbox.add(report);
    fixture.sendDatagram(outbox.takeDatagrams(EntryId("other"), unixNow()).front());
    const auto send = [&fixture](const std::string& parts) {
        return sendRequest(fixture,
            requestText("POST", "/s/x", "a1",
                "X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prefix-Hash: " + parts + "\r\n"))
            .status;
    };
    GatewayFixture::waitUntil(
        [] { return telemetry::metricsText().find("part_quarantines") != std::string::npos; });
    cr_assert_eq(send("c0:800,50d:400,f1:260"), 200U);
    cr_assert_eq(send("c0:800,bad:400,f2:260"), 503U);
    cr_assert_eq(engines->crashes(), 0U);
}

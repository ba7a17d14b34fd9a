// What gateways must still know or count after all of them were killed.
#include "CrashFixture.h"

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

// Guards against a crashing prompt part that is sent to engines again, and against gateways that
// spend at once what the ones before them may just have spent of the retry budget.
Test(gateway_restarts, verdicts_and_the_retry_budget_are_right_after_all_gateways_were_killed)
{
    constexpr size_t Gateways = 2;
    constexpr double FixedPart = 40;
    constexpr Milliseconds Window { 10000 };
    constexpr Milliseconds SendingTime { 3000 };
    CrashFixture fixture;
    fixture.addRoute("/a/", Repeatable);
    fixture.declare(2);
    const GatewayFixture::Script fail
        = [](const fakes::FakeRequest&, fakes::FakeConnection& connection) { connection.reset(); };
    fixture.addTarget("one", "app", fail);
    fixture.addTarget("two", "app", fail);
    fixture.startServing(Gateways);
    fixture.sendManyCrashing();
    GatewayFixture::waitUntil([&] { return fixture.isRecorded(); });
    for (size_t gateway = 0; gateway < Gateways; ++gateway)
        fixture.killGateway(gateway);
    const size_t crashes = fixture.crashes();
    fixture.setRetryLimits({ 0, FixedPart, Window });
    const SteadyTime startedAt = steadyNow();
    fixture.startReady(Gateways);
    for (size_t gateway = Gateways; gateway < 2 * Gateways; ++gateway)
        cr_assert_eq(fixture.send(CrashingPart, gateway).status, 503U);
    cr_assert_eq(fixture.crashes(), crashes);
    size_t requests = 0;
    while (steadyNow() - startedAt < SendingTime) {
        Caller caller(fixture.callers(Gateways + requests % Gateways));
        caller.send(requestText("GET", "/a/x", "r" + std::to_string(++requests)));
        caller.receive();
        std::this_thread::sleep_for(Milliseconds(10));
    }
    const size_t sends = fixture.seenBy("one") + fixture.seenBy("two");
    const double allowed
        = FixedPart * std::chrono::duration<double>(steadyNow() - startedAt) / Window;
    cr_assert_gt(sends, requests, "No request was retried.");
    cr_assert_leq(static_cast<double>(sends - requests), allowed, "%zu retries", sends - requests);
}

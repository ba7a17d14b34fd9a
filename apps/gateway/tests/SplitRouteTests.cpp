// Streams of routes that lead to several pools, each with a software version of its own.
#include "RestartFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

namespace {

/** So small that no request of a test is sent there. */
constexpr int Negligible = 1;
constexpr int Nearly100Percent = 1000000000;

RouteOptions streamsSplit(const std::map<std::string, int>& weights)
{
    RouteOptions options { "streaming", "", 5000, 3, true };
    options.split = weights;
    return options;
}

/** A route whose streams go to two pools of one target each; new streams stay open. */
class SplitRouteFixture : public GatewayFixture {
public:
    SplitRouteFixture()
    {
        declareSplit(1, { { "app", Nearly100Percent }, { "llm", Negligible } });
        for (const std::string pool : { "app", "llm" }) {
            addTarget(
                "in-" + pool, pool,
                [this](const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
                    if (!request.field("Last-Event-Id").empty()) {
                        streamToEnd(request, connection);
                        return;
                    }
                    sendEvents(request, connection, 1, 2);
                    waitUntil([this] { return isEnding.load(); });
                },
                pool == "llm" ? "decode" : "", pool + "-v1");
        }
        start(Gateways);
        for (size_t gateway = 0; gateway < Gateways; ++gateway)
            waitUntil([&] { return readiness(gateway) == 200; });
    }
    ~SplitRouteFixture() { isEnding = true; }
    SplitRouteFixture(const SplitRouteFixture&) = delete;
    SplitRouteFixture& operator=(const SplitRouteFixture&) = delete;

    void declareSplit(int version, const std::map<std::string, int>& weights)
    {
        removeRoutes();
        addRoute("/s/", streamsSplit(weights));
        declare(version);
        std::this_thread::sleep_for(SettleTime);
    }
    void begin(size_t gateway, const std::string& attempt)
    {
        m_callers.push_back(std::make_unique<Caller>(callers(gateway)));
        m_callers.back()->send(requestText("POST", "/s/x", attempt));
        m_callers.back()->receiveUntil(eventText(2) + "\r\n");
    }
    CallerResponse resume(size_t gateway, const std::string& first)
    {
        Caller caller(callers(gateway));
        caller.send(requestText("POST", "/s/x", first + "-again-" + std::to_string(++m_resumed),
            "Last-Event-Id: 2\r\nResumes: " + first + "\r\n"));
        return caller.receive();
    }

    static constexpr size_t Gateways = 2;
    std::atomic<bool> isEnding { false };

private:
    std::vector<std::unique_ptr<Caller>> m_callers;
    int m_resumed = 0;
};

} // namespace

// Guards against streams that are refused because a resumed request is drawn into another pool of
// its route than the one that began the stream.
Test(split_routes, streams_go_on_in_the_pool_that_began_them_after_the_weights_have_changed)
{
    SplitRouteFixture fixture;
    fixture.begin(0, "a1");
    fixture.declareSplit(2, { { "app", Negligible }, { "llm", Nearly100Percent } });
    for (const size_t gateway : { 0, 1 }) {
        const CallerResponse response = fixture.resume(gateway, "a1");
        cr_expect(response.isComplete && response.body == eventsText(3, 4), "gateway %zu: %u",
            gateway, response.status);
    }
    fixture.killGateway(0);
    cr_expect_eq(fixture.resume(1, "a1").status, 200U);
    cr_assert_eq(fixture.seenBy("in-app"), 4U);
    fixture.begin(1, "b1");
    cr_assert_eq(fixture.seenBy("in-llm"), 1U);
}

// Guards against streams that go on where the newest declaration no longer sends their route, and
// against streams that are joined from the events of two pools.
Test(split_routes, streams_go_on_neither_in_a_pool_that_the_route_has_left_nor_in_its_new_one)
{
    SplitRouteFixture fixture;
    fixture.begin(0, "a1");
    fixture.declareSplit(2, { { "app", 0 }, { "llm", 100 } });
    cr_expect_eq(fixture.resume(0, "a1").status, 503U);
    fixture.declareSplit(3, { { "llm", 100 } });
    cr_expect_eq(fixture.resume(1, "a1").status, 503U);
    cr_assert_eq(fixture.seenBy("in-app"), 1U);
    cr_assert_eq(fixture.seenBy("in-llm"), 0U);
}

// Guards against a stream without a record that goes on at the only version of the pool that was
// drawn, although it may have begun in another one.
Test(split_routes, a_stream_that_is_unknown_is_refused_while_the_pools_have_two_versions)
{
    constexpr std::chrono::seconds Window { 15 };
    SplitRouteFixture fixture;
    std::this_thread::sleep_for(Window + SettleTime);
    cr_assert_eq(fixture.resume(0, "never-seen").status, 503U);
    cr_assert_eq(fixture.seenBy("in-app") + fixture.seenBy("in-llm"), 0U);
}

// Guards against records that only the sidecars of the pool that is drawn are asked for.
Test(split_routes, streams_go_on_in_their_pool_after_all_gateways_were_killed)
{
    RestartFixture fixture;
    RouteOptions options = streamsSplit({ { "app", Negligible }, { "llm", Nearly100Percent } });
    options.carriesPrompts = true;
    fixture.removeRoutes();
    fixture.addRoute("/s/", options);
    fixture.declare(2);
    fixture.addEngine("maker", "v1");
    fixture.addTarget("application", "app", streamToEnd, "", "app-v1");
    fixture.startSidecar();
    fixture.startGateways();
    fixture.begin("a1");
    fixture.killGateways();
    options.split = { { "app", Nearly100Percent }, { "llm", Negligible } };
    fixture.removeRoutes();
    fixture.addRoute("/s/", options);
    fixture.declare(3);
    fixture.startGateways();
    cr_assert_eq(fixture.resume("a1"), 200U);
    cr_assert_eq(fixture.seenBy("application"), 0U);
}

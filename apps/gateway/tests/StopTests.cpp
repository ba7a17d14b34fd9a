// A planned stop: what happens to requests that the gateway cannot finish within the grace period.
#include "GatewayFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

constexpr Milliseconds Grace { 8000 };
/** From a stop to the first part of a request: well before the load balancer has removed the
 * gateway, when connections without a request are closed. */
constexpr Milliseconds FirstPartTime { 1300 };
/** From then on until the load balancer has removed the gateway; half of the time that callers have
 * for a request's head and body. */
constexpr Milliseconds LoadBalancerTime { 1500 };
/** Requests have a time limit that is longer than the grace period. */
const RouteOptions LongRoute { "non_idempotent", "app", 9000 };
const std::string LongDeadline = "X-Deadline-Ms: 9000\r\n";

/** A request whose time limit is longer than the grace period, without its last bytes. */
std::string headOfLongRequest(const std::string& attempt)
{
    return "POST /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + attempt + "\r\n"
        + LongDeadline + "Content-Length: 4\r\n\r\nbo";
}

class StoppingGateway {
public:
    explicit StoppingGateway(const RouteOptions& options)
    {
        m_fixture.adjustSettings
            = [](size_t, settings::GatewaySettings& settings) { settings.stopGrace = Grace; };
        m_fixture.addRoute("/a/", options);
        m_fixture.declare(1);
        m_fixture.addTarget(
            "slow", "app", [this](const FakeRequest& request, FakeConnection& connection) {
                GatewayFixture::waitUntil([this] { return m_mayRespond.load(); });
                answerSigned(request, connection);
            });
        m_fixture.start();
        GatewayFixture::waitUntil([this] { return m_fixture.readiness() == 200; });
    }
    ~StoppingGateway() { m_mayRespond = true; }
    StoppingGateway(const StoppingGateway&) = delete;
    StoppingGateway& operator=(const StoppingGateway&) = delete;

    GatewayFixture& fixture() { return m_fixture; }
    void stop()
    {
        m_fixture.stopGateway();
        GatewayFixture::waitUntil([this] { return m_fixture.readiness() == 503; });
    }

private:
    std::atomic<bool> m_mayRespond { false };
    GatewayFixture m_fixture;
};

} // namespace

// Guards against a request that is sent to a target late in the grace period and cut off at its
// end.
Test(stops, a_request_that_may_outlast_the_process_is_refused_as_not_run)
{
    StoppingGateway gateway(LongRoute);
    Caller caller(gateway.fixture().callers());
    gateway.stop();
    std::this_thread::sleep_for(FirstPartTime);
    caller.send(headOfLongRequest("a1"));
    std::this_thread::sleep_for(LoadBalancerTime);
    caller.send("dy");
    const CallerResponse response = caller.receive();
    cr_assert_eq(response.status, 503U);
    cr_assert(response.isComplete);
    cr_assert(response.headers.find("Connection").value_or("") == "close");
    cr_assert(response.headers.find("Retry-After").has_value());
    cr_assert(gateway.fixture().seen().empty());
}

// Guards against a late request that is refused although it ends in time.
Test(stops, a_late_request_that_ends_in_time_is_served)
{
    GatewayFixture fixture;
    fixture.adjustSettings
        = [](size_t, settings::GatewaySettings& settings) { settings.stopGrace = Grace; };
    startTwoTargets(fixture, LongRoute, answerOk);
    Caller caller(fixture.callers());
    fixture.stopGateway();
    std::this_thread::sleep_for(FirstPartTime);
    caller.send("POST /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: a1\r\n"
                "X-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbo");
    std::this_thread::sleep_for(LoadBalancerTime);
    caller.send("dy");
    cr_assert_eq(caller.receive().status, 200U);
}

// Guards against connections that end without a response when the process does.
Test(stops, a_request_that_outlasts_the_grace_period_gets_a_response)
{
    StoppingGateway gateway(LongRoute);
    Caller caller(gateway.fixture().callers());
    caller.send(headOfLongRequest("a1") + "dy");
    GatewayFixture::waitUntil([&] { return gateway.fixture().seen().size() == 1; });
    gateway.stop();
    const CallerResponse response = caller.receive();
    cr_assert_eq(response.status, 502U, "It may have run, so it must not get a promise.");
    cr_assert(response.isComplete);
}

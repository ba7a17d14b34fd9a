// Limits on callers that a newer declaration changes while connections are open.
#include "GatewayFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

namespace {

/** The coalescing time of the gateway's store feed, and some more. */
constexpr Milliseconds AdoptionTime { 600 };
constexpr size_t KiB = 1024;

std::string postText(const std::string& attempt, size_t bodyBytes, const std::string& lines = {})
{
    return requestText("POST", "/a/x", attempt, lines, std::string(bodyBytes, 'b'));
}

/** A gateway with one application. Fake declarations allow heads of 4 KB and bodies of 64 KB. */
class LimitFixture : public GatewayFixture {
public:
    LimitFixture()
    {
        addRoute("/a/", Repeatable);
        addTarget("one", "app", answerOk);
    }
    void startServing()
    {
        declare(1);
        start();
        waitUntil([this] { return readiness() == 200; });
    }
    void changeLimit(const std::string& name, size_t value)
    {
        setLimit(name, value);
        declare(++m_version);
        std::this_thread::sleep_for(AdoptionTime);
    }
    uint32_t send(Caller& caller, const std::string& request)
    {
        caller.send(request);
        return caller.receive().status;
    }

private:
    int m_version = 1;
};

} // namespace

// Guards against a connection that keeps the limits of the time when it was accepted, so that
// proper requests are refused for good.
Test(caller_limits, that_are_raised_hold_for_open_connections)
{
    LimitFixture fixture;
    fixture.startServing();
    Caller caller(fixture.callers());
    cr_assert_eq(fixture.send(caller, postText("a1", 10)), 200U);
    fixture.changeLimit("maxBodyBytes", 1024 * KiB);
    cr_expect_eq(fixture.send(caller, postText("a2", 100 * KiB)), 200U);
    fixture.changeLimit("maxHeaderBytes", 32 * KiB);
    const std::string lines = "Field: " + std::string(8 * KiB, 'f') + "\r\n";
    cr_expect_eq(fixture.send(caller, postText("a3", 10, lines)), 200U);
}

// Guards against a connection on which requests are served that only an older declaration allows.
Test(caller_limits, that_are_lowered_hold_for_open_connections)
{
    LimitFixture fixture;
    fixture.startServing();
    Caller forBody(fixture.callers());
    Caller forHead(fixture.callers());
    cr_assert_eq(fixture.send(forBody, postText("a1", 10 * KiB)), 200U);
    cr_assert_eq(fixture.send(forHead, postText("a2", 10)), 200U);
    fixture.changeLimit("maxBodyBytes", KiB);
    cr_expect_eq(fixture.send(forBody, postText("a3", 10 * KiB)), 413U);
    fixture.changeLimit("maxHeaderBytes", KiB);
    const std::string lines = "Field: " + std::string(2 * KiB, 'f') + "\r\n";
    cr_expect_eq(fixture.send(forHead, postText("a4", 10, lines)), 431U);
    cr_assert_eq(fixture.seenBy("one"), 2U);
}

// Guards against a refusal of a request that was allowed when its caller began to send it, and of
// one that has become allowed meanwhile.
Test(caller_limits, that_change_within_a_request_refuse_only_what_none_of_them_allows)
{
    for (const size_t changed : { KiB, 1024 * KiB }) {
        LimitFixture fixture;
        fixture.startServing();
        const size_t size = changed == KiB ? 60 * KiB : 100 * KiB;
        Caller caller(fixture.callers());
        caller.send(requestText("POST", "/a/x", "a1", "Transfer-Encoding: chunked\r\n"));
        caller.send(http1::composeChunk(std::string(30 * KiB, 'b')));
        std::this_thread::sleep_for(AdoptionTime);
        fixture.changeLimit("maxBodyBytes", changed);
        caller.send(http1::composeChunk(std::string(size - 30 * KiB, 'b')));
        caller.send(http1::LastChunk);
        cr_expect_eq(caller.receive().status, 200U, "limit changed to %zu", changed);
        cr_expect_eq(fixture.send(caller, postText("a2", size)), changed == KiB ? 413U : 200U);
    }
}

// Guards against connections that are closed by a limit on idle time that is no longer in force,
// and against ones that outlast a new one.
Test(caller_limits, on_idle_time_hold_for_connections_that_are_idle)
{
    constexpr size_t Short = 1500;
    constexpr size_t Long = 15000;
    for (const bool isRaised : { true, false }) {
        LimitFixture fixture;
        fixture.setLimit("idleTimeoutMs", isRaised ? Short : Long);
        fixture.startServing();
        Caller caller(fixture.callers());
        cr_assert_eq(fixture.send(caller, postText("a1", 10)), 200U);
        const SteadyTime idleSince = steadyNow();
        fixture.changeLimit("idleTimeoutMs", isRaised ? Long : Short);
        if (isRaised) {
            std::this_thread::sleep_until(idleSince + Milliseconds(2 * Short));
            cr_expect_eq(fixture.send(caller, postText("a2", 10)), 200U);
        } else {
            caller.receiveRest();
            const SteadyTime::duration idle = steadyNow() - idleSince;
            cr_expect(idle >= Milliseconds(Short) && idle < Milliseconds(Long / 2));
        }
    }
}

// Guards against connections that were accepted before the first declaration and never follow it.
Test(caller_limits, of_the_first_declaration_hold_for_connections_that_are_open)
{
    LimitFixture fixture;
    fixture.start();
    Caller caller(fixture.callers());
    // Accepted, and its request answered: nothing is known yet.
    cr_assert_eq(fixture.send(caller, postText("a1", 10)), 503U);
    fixture.setLimit("maxBodyBytes", KiB);
    fixture.declare(1);
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    cr_assert_eq(fixture.send(caller, postText("a2", 10 * KiB)), 413U);
    cr_assert_eq(fixture.seenBy("one"), 0U);
}

// Guards against a refusal that callers never retry, while a newer declaration may allow the
// request.
Test(caller_limits, of_a_declaration_that_may_be_stale_refuse_for_a_time_only)
{
    // The time in which a declaration takes effect, and that of a poll of the store.
    constexpr Milliseconds StaleTime { 4000 };
    LimitFixture fixture;
    fixture.start();
    const std::string tooLarge = requestText("POST", "/a/x", "a1", "Content-Length: 5000000\r\n");
    const CallerResponse undeclared = sendRequest(fixture, tooLarge);
    cr_expect_eq(undeclared.status, 503U);
    cr_expect(undeclared.headers.find("Retry-After").has_value());
    fixture.declare(1);
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    cr_expect_eq(sendRequest(fixture, tooLarge).status, 413U);
    fixture.store().refuse(true);
    std::this_thread::sleep_for(StaleTime);
    const CallerResponse stale = sendRequest(fixture, tooLarge);
    cr_expect_eq(stale.status, 503U);
    cr_expect(stale.headers.find("Retry-After").has_value());
    cr_expect_eq(sendRequest(fixture, "nonsense\r\n\r\n").status, 400U);
}

#include "GatewayFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

/** Fails every request with the target's own response. */
void failAll(const FakeRequest& request, FakeConnection& connection)
{
    http1::Headers headers;
    headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
    headers.add("X-Server-Stamp", "stamp");
    connection.answer(500, headers, "the target's failure");
}

void startSoundAndFailing(GatewayFixture& fixture, const RouteOptions& options)
{
    fixture.addRoute("/a/", options);
    fixture.declare(1);
    fixture.addTarget("failing", "app", failAll);
    fixture.addTarget("sound", "app", answerOk);
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
}

} // namespace

Test(target_failures, of_repeatable_requests_are_tried_at_another_target)
{
    GatewayFixture fixture;
    startSoundAndFailing(fixture, Repeatable);
    for (int number = 0; number < 10; ++number) {
        const CallerResponse response
            = sendRequest(fixture, requestText("GET", "/a/x", "a" + std::to_string(number)));
        cr_expect_eq(response.status, 200U);
        cr_expect(response.body == "ok");
    }
    cr_assert_gt(fixture.seenBy("failing"), 0U);
}

Test(target_failures, go_to_the_caller_unchanged_when_no_target_serves_it)
{
    GatewayFixture fixture;
    startTwoTargets(fixture, Repeatable, failAll);
    const CallerResponse response = sendRequest(fixture, requestText("GET", "/a/x", "a1"));
    cr_assert_eq(response.status, 500U);
    cr_assert(response.body == "the target's failure");
    cr_assert(response.headers.find("X-Server-Stamp").value_or("") == "stamp");
    cr_assert(fixture.seenBy("one") == 1 && fixture.seenBy("two") == 1);
}

Test(target_failures, of_at_most_once_work_are_not_retried)
{
    GatewayFixture fixture;
    startTwoTargets(fixture, AtMostOnce, failAll);
    cr_assert_eq(sendRequest(fixture, requestText("POST", "/a/x", "a1")).status, 500U);
    cr_assert_eq(fixture.seen().size(), 1U);
}

Test(target_failures, that_promise_not_run_are_not_passed_on_once_another_target_may_have_run_it)
{
    GatewayFixture fixture;
    std::atomic<int> runs { 0 };
    startTwoTargets(
        fixture, Repeatable, [&runs](const FakeRequest& request, FakeConnection& connection) {
            if (runs++ == 0) {
                // The request runs to completion, and its response is lost.
                connection.reset();
                return;
            }
            http1::Headers headers;
            headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
            headers.add("X-Server-Stamp", "stamp");
            connection.answer(503, headers, "busy");
        });
    const CallerResponse response = sendRequest(fixture, requestText("GET", "/a/x", "a1"));
    cr_assert_eq(response.status, 502U);
    cr_assert_not(response.headers.find("X-Server-Stamp").has_value());
    cr_assert_eq(fixture.seen().size(), 2U);
}

#include "GatewayFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

/** The users' rule: within this window, 1.5 times the limit and five requests more. */
constexpr Milliseconds Window { 4000 };
/** The rule holds from this time after a limit was first stated. */
constexpr Milliseconds NoticeTime { 3000 };
constexpr double Limit = 3;
constexpr size_t AllowedInWindow = static_cast<size_t>(1.5 * Limit * 4 + 5);

/** A target that states a limit in each response and notes when requests arrive. */
class LimitedTarget {
public:
    GatewayFixture::Script script()
    {
        return [this](const FakeRequest& request, FakeConnection& connection) {
            {
                std::lock_guard lock(m_mutex);
                m_arrivals.push_back(steadyNow());
            }
            http1::Headers headers;
            headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
            headers.add("X-Server-Stamp", "stamp");
            headers.add("Server-Limit", std::to_string(Limit));
            connection.answer(200, headers, "ok");
        };
    }

    /** @return the most requests that arrived within a window since the rule holds. */
    size_t mostInWindow() const
    {
        std::lock_guard lock(m_mutex);
        size_t most = 0;
        for (size_t last = 0; last < m_arrivals.size(); ++last) {
            if (m_arrivals[last] - m_arrivals.front() < NoticeTime)
                continue;
            const auto isInWindow = [this, last](SteadyTime arrival) {
                return arrival > m_arrivals[last] - Window && arrival <= m_arrivals[last];
            };
            most = std::max(most,
                static_cast<size_t>(
                    std::count_if(m_arrivals.begin(), m_arrivals.end(), isInWindow)));
        }
        return most;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<SteadyTime> m_arrivals;
};

} // namespace

// Guards against incident inc1: engines got as many requests after they had stated a limit as
// before.
Test(load_pattern, a_target_that_states_a_limit_gets_no_more_and_others_serve_the_rest)
{
    LimitedTarget limited;
    GatewayFixture fixture;
    fixture.addRoute("/a/", Repeatable);
    fixture.declare(1);
    fixture.addTarget("limited", "app", limited.script());
    fixture.addTarget("unlimited", "app", answerOk);
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    const SteadyTime end = steadyNow() + NoticeTime + Window;
    for (int attempt = 0; steadyNow() < end; ++attempt) {
        const CallerResponse response
            = sendRequest(fixture, requestText("GET", "/a/x", "a" + std::to_string(attempt)));
        cr_assert_eq(response.status, 200U);
        std::this_thread::sleep_for(Milliseconds(25));
    }
    cr_expect_gt(limited.mostInWindow(), 0U, "a target with a limit is still used");
    cr_assert_leq(limited.mostInWindow(), AllowedInWindow);
}

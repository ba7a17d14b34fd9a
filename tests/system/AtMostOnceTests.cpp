#include "Callers.h"
#include "History.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::tests;

namespace {

const std::vector<std::string> Applications { "a-1", "a-2", "a-3" };

/** A fleet of applications only, and the history that its callers and targets observed. */
struct ReceiptRun {
    localfleet::LocalFleet fleet;
    History history;
    std::string key = keyFor("a-1", Applications);

    static localfleet::FleetOptions options(
        const std::string& name, const std::map<std::string, std::string>& stopAt)
    {
        localfleet::FleetOptions options = smallFleet(name);
        options.targets = Applications;
        options.stopAt = stopAt;
        return options;
    }

    ReceiptRun(const std::string& name, const std::map<std::string, std::string>& stopAt = {})
        : fleet(options(name, stopAt))
    {
        fleet.startAll();
    }

    Response call(size_t entry, const std::string& body = "{\"quote\":1}")
    {
        Response response = callService(fleet.callerUrl(entry), key, body);
        note(response);
        return response;
    }

    void note(const Response& response)
    {
        const int64_t receipt = response.status == 200 ? response.body.value("receipt", 0) : 0;
        history.calls.push_back(
            { "brokers/" + key, response.status, response.execution(), receipt });
    }

    int64_t runs() { return collect()["brokers/" + key]; }

    std::map<std::string, int64_t>& collect()
    {
        history.runs.clear();
        for (const std::string& target : Applications) {
            const nlohmann::json counts = fetchJson(fleet.targetUrl(target) + "/history");
            // Calls without a key may be repeated, so they are not counted.
            for (const auto& [name, count] : counts["runs"].items()) {
                if (!name.empty())
                    history.runs[name] += count.get<int64_t>();
            }
        }
        return history.runs;
    }

    void check()
    {
        collect();
        for (const std::string& violation : violations(history))
            cr_assert_fail("%s", violation.c_str());
    }
};

/** Failure points of a call that may not be repeated, in the order in which it reaches them. */
constexpr std::array<const char*, 7> Steps { "agent.before_accept", "journal.before_takeover",
    "journal.before_commit", "journal.after_commit", "agent.before_target",
    "agent.before_store_result", "agent.before_final" };

std::string caseName(const char* fault, int step)
{
    return std::string("at-most-once-") + fault + "-" + Steps[static_cast<size_t>(step)];
}

} // namespace

Test(at_most_once, a_repeat_through_another_entry_gets_the_first_response)
{
    ReceiptRun run("at-most-once-repeat");
    const Response first = run.call(1);
    const Response second = run.call(2);
    cr_assert_eq(first.status, 200);
    cr_assert_eq(second.status, 200);
    cr_assert(second.isReplayed);
    cr_assert_eq(run.runs(), 1);
    run.check();
}

Test(at_most_once, concurrent_repeats_of_a_key_wait_for_the_first_response)
{
    ReceiptRun run("at-most-once-concurrent");
    const std::string body = "{\"delay_ms\":700}";
    std::vector<std::future<Response>> responses;
    for (size_t sender = 0; sender < 6; ++sender) {
        responses.push_back(std::async(std::launch::async, [&run, &body, sender] {
            return callService(run.fleet.callerUrl(1 + sender % 2), run.key, body);
        }));
    }
    for (std::future<Response>& response : responses) {
        const Response received = response.get();
        cr_assert_eq(received.status, 200);
        run.note(received);
    }
    cr_assert_eq(run.runs(), 1);
    run.check();
}

Test(at_most_once, a_key_with_another_body_is_refused)
{
    ReceiptRun run("at-most-once-mismatch");
    cr_assert_eq(run.call(1, "{\"quote\":1}").status, 200);
    const Response other = callService(run.fleet.callerUrl(2), run.key, "{\"quote\":2}");
    cr_assert_eq(other.status, 409);
    cr_assert_eq(other.execution(), "not_run");
    cr_assert_eq(run.runs(), 1);
}

Test(at_most_once, lost_store_responses_do_not_lose_or_duplicate_a_call)
{
    for (int lost = 1; lost <= 4; ++lost) {
        ReceiptRun run("at-most-once-lost-" + std::to_string(lost));
        run.fleet.setFaults("agent:a-1", "{\"lose_answers\":" + std::to_string(lost) + "}");
        const Response response = run.call(1);
        if (response.status != 200)
            cr_assert_eq(response.execution(), "not_run");
        run.call(2);
        run.check();
    }
}

Test(at_most_once, calls_are_refused_as_not_run_while_the_store_is_unreachable)
{
    ReceiptRun run("at-most-once-store-down");
    run.fleet.setFaults("all", "{\"down\":true}");
    const Response response = run.call(1);
    cr_assert_eq(response.status, 503);
    cr_assert_eq(response.execution(), "not_run");
    cr_assert_not(response.retryAfter.empty());
    cr_assert_eq(run.runs(), 0);
    run.fleet.setFaults("all", "{}");
    cr_assert(eventually([&run] { return run.call(2).status == 200; }));
    cr_assert_eq(run.runs(), 1);
    run.check();
}

Test(at_most_once, a_store_outage_after_the_start_of_a_call_does_not_block_its_response)
{
    ReceiptRun run("at-most-once-store-goes");
    std::future<Response> first = std::async(std::launch::async,
        [&run] { return callService(run.fleet.callerUrl(1), run.key, "{\"delay_ms\":1500}"); });
    cr_assert(eventually([&run] {
        return fetchJson(run.fleet.operatorUrl("agent:a-1") + "/events")
                   .dump()
                   .find("journal_started")
            != std::string::npos;
    }));
    run.fleet.setFaults("all", "{\"down\":true}");
    const Response response = first.get();
    run.note(response);
    cr_assert_eq(response.status, 200);
    run.fleet.setFaults("all", "{}");
    cr_assert(eventually([&run] { return run.call(2, "{\"delay_ms\":1500}").status == 200; }));
    cr_assert_eq(run.runs(), 1);
    run.check();
}

Test(at_most_once, a_call_is_not_retried_when_its_target_ran_it_and_cut_the_connection)
{
    ReceiptRun run("at-most-once-cut");
    // Gives the agent a pooled connection, on which a client library might silently retry.
    const std::string other = keyFor("a-1", Applications, 1000);
    cr_assert_eq(callService(run.fleet.callerUrl(1), other, "{}").status, 200);
    for (int reading = 0; reading < 6; ++reading)
        cr_assert_eq(callService(run.fleet.callerUrl(1), "", "{}", "/status/1").status, 200);
    const Response first = run.call(1, "{\"fail\":\"after\"}");
    const Response second = run.call(2, "{\"fail\":\"after\"}");
    cr_assert_eq(first.execution(), "may_have_run");
    cr_assert_eq(second.execution(), "may_have_run");
    cr_assert_eq(run.runs(), 1);
    run.check();
}

ParameterizedTestParameters(
    at_most_once, a_call_runs_at_most_once_when_its_agent_is_killed_at_any_step)
{
    static std::array<int, Steps.size()> cells { 0, 1, 2, 3, 4, 5, 6 };
    return cr_make_param_array(int, cells.data(), cells.size());
}

ParameterizedTest(
    int* step, at_most_once, a_call_runs_at_most_once_when_its_agent_is_killed_at_any_step)
{
    ReceiptRun run(caseName("kill", *step), { { "agent:a-1", Steps[static_cast<size_t>(*step)] } });
    std::future<Response> first = std::async(std::launch::async,
        [&run] { return callService(run.fleet.callerUrl(1), run.key, "{\"quote\":1}"); });
    cr_assert(run.fleet.process("agent:a-1").waitUntilStopped(Milliseconds(30000)));
    run.fleet.process("agent:a-1").kill();
    run.note(first.get());
    const Response repeat = run.call(2);
    cr_assert(repeat.status == 200 || repeat.execution() == "may_have_run");
    run.check();
}

ParameterizedTestParameters(
    at_most_once, a_call_runs_at_most_once_when_its_agent_is_paused_at_any_step)
{
    static std::array<int, Steps.size()> cells { 0, 1, 2, 3, 4, 5, 6 };
    return cr_make_param_array(int, cells.data(), cells.size());
}

ParameterizedTest(
    int* step, at_most_once, a_call_runs_at_most_once_when_its_agent_is_paused_at_any_step)
{
    ReceiptRun run(
        caseName("pause", *step), { { "agent:a-1", Steps[static_cast<size_t>(*step)] } });
    std::future<Response> first = std::async(std::launch::async,
        [&run] { return callService(run.fleet.callerUrl(1), run.key, "{\"quote\":1}"); });
    cr_assert(run.fleet.process("agent:a-1").waitUntilStopped(Milliseconds(30000)));
    run.note(first.get());
    run.call(2);
    run.fleet.process("agent:a-1").resume();
    cr_assert(run.fleet.waitUntilEligible(3, Milliseconds(30000)));
    const Response repeat = run.call(1);
    cr_assert(repeat.status == 200 || repeat.execution() == "may_have_run");
    run.check();
}

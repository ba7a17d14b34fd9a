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

/** A fleet of applications only, and what its callers and targets see. */
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

    Answer call(size_t entry, const std::string& body = "{\"quote\":1}")
    {
        Answer answer = callService(fleet.callerUrl(entry), key, body);
        note(answer);
        return answer;
    }

    void note(const Answer& answer)
    {
        const int64_t receipt = answer.status == 200 ? answer.body.value("receipt", 0) : 0;
        history.calls.push_back({ "brokers/" + key, answer.status, answer.execution(), receipt });
    }

    int64_t runs() { return collect()["brokers/" + key]; }

    std::map<std::string, int64_t>& collect()
    {
        history.runs.clear();
        for (const std::string& target : Applications) {
            const nlohmann::json counts = ask(fleet.targetUrl(target) + "/history");
            // Calls without a key may be repeated.
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

/** Steps of a call that may not be repeated, in their order. */
constexpr std::array<const char*, 7> Steps { "agent.before_accept", "journal.before_takeover",
    "journal.before_commit", "journal.after_commit", "agent.before_target",
    "agent.before_store_result", "agent.before_final" };

std::string cellName(const char* fault, int step)
{
    return std::string("at-most-once-") + fault + "-" + Steps[static_cast<size_t>(step)];
}

} // namespace

Test(at_most_once, a_repeat_through_another_entry_gets_the_first_answer)
{
    ReceiptRun run("at-most-once-repeat");
    const Answer first = run.call(1);
    const Answer second = run.call(2);
    cr_assert_eq(first.status, 200);
    cr_assert_eq(second.status, 200);
    cr_assert(second.isReplayed);
    cr_assert_eq(run.runs(), 1);
    run.check();
}

Test(at_most_once, a_repeat_while_the_first_is_running_waits_for_its_answer)
{
    ReceiptRun run("at-most-once-concurrent");
    const std::string body = "{\"delay_ms\":700}";
    std::vector<std::future<Answer>> answers;
    for (size_t sender = 0; sender < 6; ++sender) {
        answers.push_back(std::async(std::launch::async, [&run, &body, sender] {
            return callService(run.fleet.callerUrl(1 + sender % 2), run.key, body);
        }));
    }
    for (std::future<Answer>& answer : answers) {
        const Answer received = answer.get();
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
    const Answer other = callService(run.fleet.callerUrl(2), run.key, "{\"quote\":2}");
    cr_assert_eq(other.status, 409);
    cr_assert_eq(other.execution(), "not_run");
    cr_assert_eq(run.runs(), 1);
}

Test(at_most_once, lost_answers_of_the_store_do_not_lose_or_double_a_call)
{
    for (int lost = 1; lost <= 4; ++lost) {
        ReceiptRun run("at-most-once-lost-" + std::to_string(lost));
        run.fleet.setFaults("agent:a-1", "{\"lose_answers\":" + std::to_string(lost) + "}");
        const Answer answer = run.call(1);
        if (answer.status != 200)
            cr_assert_eq(answer.execution(), "not_run");
        run.call(2);
        run.check();
    }
}

Test(at_most_once, with_the_store_away_calls_are_refused_as_not_run)
{
    ReceiptRun run("at-most-once-store-down");
    run.fleet.setFaults("all", "{\"down\":true}");
    const Answer answer = run.call(1);
    cr_assert_eq(answer.status, 503);
    cr_assert_eq(answer.execution(), "not_run");
    cr_assert_not(answer.retryAfter.empty());
    cr_assert_eq(run.runs(), 0);
    run.fleet.setFaults("all", "{}");
    cr_assert(eventually([&run] { return run.call(2).status == 200; }));
    cr_assert_eq(run.runs(), 1);
    run.check();
}

Test(at_most_once, a_store_that_goes_after_the_start_does_not_hold_the_answer_back)
{
    ReceiptRun run("at-most-once-store-goes");
    std::future<Answer> first = std::async(std::launch::async,
        [&run] { return callService(run.fleet.callerUrl(1), run.key, "{\"delay_ms\":1500}"); });
    cr_assert(eventually([&run] {
        return ask(run.fleet.operatorUrl("agent:a-1") + "/events").dump().find("journal_started")
            != std::string::npos;
    }));
    run.fleet.setFaults("all", "{\"down\":true}");
    const Answer answer = first.get();
    run.note(answer);
    cr_assert_eq(answer.status, 200);
    run.fleet.setFaults("all", "{}");
    cr_assert(eventually([&run] { return run.call(2, "{\"delay_ms\":1500}").status == 200; }));
    cr_assert_eq(run.runs(), 1);
    run.check();
}

Test(at_most_once, a_target_that_cuts_the_connection_after_running_is_not_asked_again)
{
    ReceiptRun run("at-most-once-cut");
    // The agent has a connection to its target that a client library might use and repeat on.
    const std::string other = keyFor("a-1", Applications, 1000);
    cr_assert_eq(callService(run.fleet.callerUrl(1), other, "{}").status, 200);
    for (int reading = 0; reading < 6; ++reading)
        cr_assert_eq(callService(run.fleet.callerUrl(1), "", "{}", "/status/1").status, 200);
    const Answer first = run.call(1, "{\"fail\":\"after\"}");
    const Answer second = run.call(2, "{\"fail\":\"after\"}");
    cr_assert_eq(first.execution(), "may_have_run");
    cr_assert_eq(second.execution(), "may_have_run");
    cr_assert_eq(run.runs(), 1);
    run.check();
}

ParameterizedTestParameters(at_most_once, agent_killed_at_a_step)
{
    static std::array<int, Steps.size()> cells { 0, 1, 2, 3, 4, 5, 6 };
    return cr_make_param_array(int, cells.data(), cells.size());
}

ParameterizedTest(int* step, at_most_once, agent_killed_at_a_step)
{
    ReceiptRun run(cellName("kill", *step), { { "agent:a-1", Steps[static_cast<size_t>(*step)] } });
    std::future<Answer> first = std::async(std::launch::async,
        [&run] { return callService(run.fleet.callerUrl(1), run.key, "{\"quote\":1}"); });
    cr_assert(run.fleet.process("agent:a-1").waitUntilStopped(Milliseconds(30000)));
    run.fleet.process("agent:a-1").kill();
    run.note(first.get());
    const Answer repeat = run.call(2);
    cr_assert(repeat.status == 200 || repeat.execution() == "may_have_run");
    run.check();
}

ParameterizedTestParameters(at_most_once, agent_paused_at_a_step_and_succeeded)
{
    static std::array<int, Steps.size()> cells { 0, 1, 2, 3, 4, 5, 6 };
    return cr_make_param_array(int, cells.data(), cells.size());
}

ParameterizedTest(int* step, at_most_once, agent_paused_at_a_step_and_succeeded)
{
    ReceiptRun run(
        cellName("pause", *step), { { "agent:a-1", Steps[static_cast<size_t>(*step)] } });
    std::future<Answer> first = std::async(std::launch::async,
        [&run] { return callService(run.fleet.callerUrl(1), run.key, "{\"quote\":1}"); });
    cr_assert(run.fleet.process("agent:a-1").waitUntilStopped(Milliseconds(30000)));
    run.note(first.get());
    run.call(2);
    run.fleet.process("agent:a-1").resume();
    cr_assert(run.fleet.waitUntilEligible(3, Milliseconds(30000)));
    const Answer repeat = run.call(1);
    cr_assert(repeat.status == 200 || repeat.execution() == "may_have_run");
    run.check();
}

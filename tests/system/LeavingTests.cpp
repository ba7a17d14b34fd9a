#include "Callers.h"
#include "History.h"

#include <criterion/criterion.h>
#include <csignal>
#include <future>

using namespace citronspoke;
using namespace citronspoke::tests;

namespace {

const std::vector<std::string> Engines { "e-1", "e-2", "e-3" };
constexpr uint32_t LongAnswer = 700;

localfleet::FleetOptions engineFleet(const std::string& name)
{
    localfleet::FleetOptions options = smallFleet(name);
    options.targets = Engines;
    return options;
}

/** Streams that run beside a planned change, each checked for a whole answer. */
class Load {
public:
    Load(localfleet::LocalFleet& fleet, size_t entry, int streams, uint32_t tokens = LongAnswer)
        : m_tokens(tokens)
    {
        for (int number = 0; number < streams; ++number) {
            m_answers.push_back(std::async(std::launch::async, [&fleet, entry, number, tokens] {
                return stream(
                    fleet.callerUrl(entry), completionBody(promptOf(number), tokens), ReviewKey);
            }));
        }
    }

    void checkWhole()
    {
        for (size_t number = 0; number < m_answers.size(); ++number) {
            const StreamedAnswer answer = m_answers[number].get();
            cr_assert(
                answer.isWhole, "stream %zu was cut: %s", number, answer.error.dump().c_str());
            cr_assert(
                answer.tokens == expectedTokens(promptOf(static_cast<int>(number)), m_tokens));
        }
        m_answers.clear();
    }

private:
    static std::string promptOf(int number) { return "Dossier " + std::to_string(number); }

    uint32_t m_tokens;
    std::vector<std::future<StreamedAnswer>> m_answers;
};

bool isEngineBusy(const localfleet::LocalFleet& fleet, const std::string& engine)
{
    const nlohmann::json state = ask(fleet.targetUrl(engine) + "/history");
    return state.is_object() && state["running"] > 0;
}

/** Checks the events of an agent against the moment at which its target began to leave. */
void checkNoNewWork(const nlohmann::json& events, const std::string& target, int64_t leftAtMs)
{
    constexpr unsigned ClockCounterBits = 16;
    History history;
    history.leftAtMs[target] = leftAtMs;
    for (const nlohmann::json& event : events) {
        if (event["kind"] != "attempt_started")
            continue;
        const auto timeMs
            = static_cast<int64_t>(event["clock"].get<uint64_t>() >> ClockCounterBits);
        history.events.push_back({ event["process"], event["kind"], event["target"], timeMs, 0 });
    }
    for (const std::string& violation : violations(history))
        cr_assert_fail("%s", violation.c_str());
}

/** Sends short requests until @p stop, all of which must be answered whole. */
void sendUntil(localfleet::LocalFleet& fleet, const std::function<bool()>& stop)
{
    int number = 0;
    do {
        const std::string prompt = "Clause " + std::to_string(number++);
        const StreamedAnswer answer
            = stream(fleet.callerUrl(1), completionBody(prompt, 20), ReviewKey);
        cr_assert(answer.isWhole, "%s", answer.error.dump().c_str());
        cr_assert(answer.tokens == expectedTokens(prompt, 20));
    } while (!stop());
}

} // namespace

Test(leaving, a_drained_target_finishes_its_streams_and_gets_no_new_work)
{
    localfleet::LocalFleet fleet(engineFleet("leaving-config"));
    fleet.startAll();
    Load load(fleet, 1, 12);
    cr_assert(eventually([&fleet] { return isEngineBusy(fleet, "e-1"); }));
    cr_assert_eq(
        fleet.applyConfiguration({ { "90-drain.toml", "[target.e-1]\ndrained = true\n" } }), 0);
    const SteadyTime end = steadyNow() + std::chrono::seconds(14);
    // The configuration may take 9 s to be in force; the target leaves when its agent adopts it.
    sendUntil(fleet, [end] { return steadyNow() > end; });
    load.checkWhole();
    const nlohmann::json events = ask(fleet.operatorUrl("agent:e-1") + "/events")["events"];
    int64_t leftAtMs = 0;
    for (const nlohmann::json& event : events) {
        if (event["kind"] == "state_changed" && event["detail"] == "drained by configuration")
            leftAtMs = static_cast<int64_t>(event["clock"].get<uint64_t>() >> 16U);
    }
    cr_assert_gt(leftAtMs, 0);
    checkNoNewWork(events, "e-1", leftAtMs);
}

Test(leaving, a_vm_on_the_leaving_list_gets_no_new_work)
{
    localfleet::LocalFleet fleet(engineFleet("leaving-vm-list"));
    fleet.startAll();
    Load load(fleet, 1, 12);
    cr_assert(eventually([&fleet] { return isEngineBusy(fleet, "e-1"); }));
    fleet.setVm("e-1", "leaving");
    const int64_t leftAtMs = unixNow().value();
    const SteadyTime end = steadyNow() + std::chrono::seconds(5);
    sendUntil(fleet, [end] { return steadyNow() > end; });
    load.checkWhole();
    checkNoNewWork(ask(fleet.operatorUrl("agent:e-1") + "/events")["events"], "e-1", leftAtMs);
}

Test(leaving, sigterm_of_an_agent_cuts_nothing_although_the_vm_list_never_says_so)
{
    localfleet::LocalFleet fleet(engineFleet("leaving-sigterm-agent"));
    fleet.startAll();
    Load load(fleet, 1, 12);
    cr_assert(eventually([&fleet] { return isEngineBusy(fleet, "e-1"); }));
    localfleet::ChildProcess& agent = fleet.process("agent:e-1");
    kill(agent.pid(), SIGTERM);
    sendUntil(fleet, [&agent] { return !agent.isRunning(); });
    load.checkWhole();
}

Test(leaving, sigterm_of_an_entry_cuts_nothing)
{
    localfleet::LocalFleet fleet(engineFleet("leaving-sigterm-entry"));
    fleet.startAll();
    Load load(fleet, 2, 12, 1500);
    cr_assert(eventually([&fleet] { return isEngineBusy(fleet, "e-1"); }));
    localfleet::ChildProcess& entry = fleet.process("entry:2");
    kill(entry.pid(), SIGTERM);
    cr_assert(eventually(
        [&fleet] { return ask(fleet.callerUrl(2) + "/healthz")["state"] == "leaving"; }));
    load.checkWhole();
    const std::optional<int> status = entry.waitForExit(Milliseconds(30000));
    cr_assert(status.has_value());
    cr_assert_eq(*status, 0);
}

Test(leaving, a_service_call_in_flight_survives_its_agents_planned_stop)
{
    localfleet::FleetOptions options = smallFleet("leaving-service-call");
    options.targets = { "a-1", "a-2", "a-3" };
    localfleet::LocalFleet fleet(options);
    fleet.startAll();
    const std::string key = keyFor("a-1", options.targets);
    std::future<Answer> first = std::async(std::launch::async,
        [&] { return callService(fleet.callerUrl(1), key, "{\"delay_ms\":2500}"); });
    cr_assert(eventually([&fleet] {
        return ask(fleet.operatorUrl("agent:a-1") + "/events").dump().find("attempt_started")
            != std::string::npos;
    }));
    kill(fleet.process("agent:a-1").pid(), SIGTERM);
    const Answer answer = first.get();
    const Answer repeat = callService(fleet.callerUrl(2), key, "{\"delay_ms\":2500}");
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(repeat.status, 200);
    cr_assert_eq(answer.body["receipt"], repeat.body["receipt"]);
    cr_assert(repeat.isReplayed);
}

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

/** Streams that run during a planned change; each must be complete. */
class StreamLoad {
public:
    StreamLoad(
        localfleet::LocalFleet& fleet, size_t entry, int streams, uint32_t tokens = LongAnswer)
        : m_tokens(tokens)
    {
        for (int number = 0; number < streams; ++number) {
            m_responses.push_back(std::async(std::launch::async, [&fleet, entry, number, tokens] {
                return stream(
                    fleet.callerUrl(entry), completionBody(promptOf(number), tokens), ReviewKey);
            }));
        }
    }

    void checkComplete()
    {
        for (size_t number = 0; number < m_responses.size(); ++number) {
            const StreamedResponse response = m_responses[number].get();
            cr_assert(response.isComplete, "stream %zu was cut: %s", number,
                response.error.dump().c_str());
            cr_assert(
                response.tokens == expectedTokens(promptOf(static_cast<int>(number)), m_tokens));
        }
        m_responses.clear();
    }

private:
    static std::string promptOf(int number) { return "Dossier " + std::to_string(number); }

    uint32_t m_tokens;
    std::vector<std::future<StreamedResponse>> m_responses;
};

bool isEngineBusy(const localfleet::LocalFleet& fleet, const std::string& engine)
{
    const nlohmann::json state = fetchJson(fleet.targetUrl(engine) + "/history");
    return state.is_object() && state["running"] > 0;
}

/** Checks that an agent started no attempt later than the limit after its target began to leave. */
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

/** Sends short requests until @p stop returns true; each must get a complete response. */
void sendUntil(localfleet::LocalFleet& fleet, const std::function<bool()>& stop)
{
    int number = 0;
    do {
        const std::string prompt = "Clause " + std::to_string(number++);
        const StreamedResponse response
            = stream(fleet.callerUrl(1), completionBody(prompt, 20), ReviewKey);
        cr_assert(response.isComplete, "%s", response.error.dump().c_str());
        cr_assert(response.tokens == expectedTokens(prompt, 20));
    } while (!stop());
}

} // namespace

Test(leaving, a_drained_target_finishes_its_streams_and_gets_no_new_work)
{
    localfleet::LocalFleet fleet(engineFleet("leaving-config"));
    fleet.startAll();
    StreamLoad load(fleet, 1, 12);
    cr_assert(eventually([&fleet] { return isEngineBusy(fleet, "e-1"); }));
    cr_assert_eq(
        fleet.applyConfiguration({ { "90-drain.toml", "[target.e-1]\ndrained = true\n" } }), 0);
    const SteadyTime end = steadyNow() + std::chrono::seconds(14);
    // The configuration may take 9 s to be in force; the drain begins when the agent adopts it.
    sendUntil(fleet, [end] { return steadyNow() > end; });
    load.checkComplete();
    const nlohmann::json events = fetchJson(fleet.operatorUrl("agent:e-1") + "/events")["events"];
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
    StreamLoad load(fleet, 1, 12);
    cr_assert(eventually([&fleet] { return isEngineBusy(fleet, "e-1"); }));
    fleet.setVm("e-1", "leaving");
    const int64_t leftAtMs = unixNow().value();
    const SteadyTime end = steadyNow() + std::chrono::seconds(5);
    sendUntil(fleet, [end] { return steadyNow() > end; });
    load.checkComplete();
    checkNoNewWork(
        fetchJson(fleet.operatorUrl("agent:e-1") + "/events")["events"], "e-1", leftAtMs);
}

Test(leaving, sigterm_of_an_agent_cuts_no_stream_without_a_notice_in_the_vm_list)
{
    localfleet::LocalFleet fleet(engineFleet("leaving-sigterm-agent"));
    fleet.startAll();
    StreamLoad load(fleet, 1, 12);
    cr_assert(eventually([&fleet] { return isEngineBusy(fleet, "e-1"); }));
    localfleet::ChildProcess& agent = fleet.process("agent:e-1");
    kill(agent.pid(), SIGTERM);
    sendUntil(fleet, [&agent] { return !agent.isRunning(); });
    load.checkComplete();
}

Test(leaving, sigterm_of_an_entry_cuts_no_stream)
{
    localfleet::LocalFleet fleet(engineFleet("leaving-sigterm-entry"));
    fleet.startAll();
    StreamLoad load(fleet, 2, 12, 1500);
    cr_assert(eventually([&fleet] { return isEngineBusy(fleet, "e-1"); }));
    localfleet::ChildProcess& entry = fleet.process("entry:2");
    kill(entry.pid(), SIGTERM);
    cr_assert(eventually(
        [&fleet] { return fetchJson(fleet.callerUrl(2) + "/healthz")["state"] == "leaving"; }));
    load.checkComplete();
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
    std::future<Response> first = std::async(std::launch::async,
        [&] { return callService(fleet.callerUrl(1), key, "{\"delay_ms\":2500}"); });
    cr_assert(eventually([&fleet] {
        return fetchJson(fleet.operatorUrl("agent:a-1") + "/events").dump().find("attempt_started")
            != std::string::npos;
    }));
    kill(fleet.process("agent:a-1").pid(), SIGTERM);
    const Response response = first.get();
    const Response repeat = callService(fleet.callerUrl(2), key, "{\"delay_ms\":2500}");
    cr_assert_eq(response.status, 200);
    cr_assert_eq(repeat.status, 200);
    cr_assert_eq(response.body["receipt"], repeat.body["receipt"]);
    cr_assert(repeat.isReplayed);
}

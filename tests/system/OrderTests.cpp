#include "Callers.h"
#include "History.h"

#include <array>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::tests;

namespace {

const std::vector<std::string> Engines { "e-1", "e-2", "e-3" };

/** A fleet of engines whose roles the configuration declares. */
struct OrderRun {
    localfleet::LocalFleet fleet;

    static localfleet::FleetOptions options(
        const std::string& name, const std::map<std::string, std::string>& stopAt, bool checks)
    {
        localfleet::FleetOptions options = smallFleet(name);
        options.targets = Engines;
        options.stopAt = stopAt;
        options.engineChecksFencing = checks;
        options.engineFlags = { "--change_ms=500" };
        return options;
    }

    OrderRun(const std::string& name, const std::map<std::string, std::string>& stopAt = {},
        bool engineChecksFencing = true)
        : fleet(options(name, stopAt, engineChecksFencing))
    {
        fleet.startTargets();
    }

    /** Starts both entries and waits until all engines are eligible. */
    void startEntries()
    {
        fleet.start("entry:1");
        fleet.start("entry:2");
        awaitEngines();
    }

    void awaitEngines() { cr_assert(fleet.waitUntilEligible(Engines.size(), Milliseconds(30000))); }

    void declare(const std::string& role)
    {
        const std::string text = "[target.e-1]\nrole = \"" + role + "\"\n";
        cr_assert_eq(fleet.applyConfiguration({ { "90-roles.toml", text } }), 0);
    }

    nlohmann::json engine(const std::string& name)
    {
        return fetchJson(fleet.targetUrl(name) + "/history");
    }

    bool reachesRole(const std::string& role)
    {
        return eventually([this, &role] {
            const nlohmann::json state = engine("e-1");
            return state.is_object() && state["role"] == role && !state["changing"].get<bool>();
        });
    }

    /** Checks the orders that the engines accepted, and that no stream was cut. */
    void checkOrders()
    {
        History history;
        for (const std::string& name : Engines) {
            const nlohmann::json state = engine(name);
            history.conflictingOrders += state["conflicts"].get<int64_t>();
            history.cutStreams += state["cut_streams"].get<int64_t>();
            for (const nlohmann::json& order : state["orders"])
                history.orders.push_back({ name, order["fencing"], order["sequence"] });
        }
        for (const std::string& violation : violations(history))
            cr_assert_fail("%s", violation.c_str());
    }
};

/** A failure point of an order, at the controller (in an entry) or at the agent. */
struct Step {
    const char* process;
    const char* point;
};
constexpr std::array<Step, 6> Steps { Step { "entry", "control.before_takeover" },
    Step { "entry", "control.before_issue" }, Step { "entry", "control.after_issue" },
    Step { "agent", "order.after_read" }, Step { "agent", "order.before_give" },
    Step { "agent", "order.after_give" } };

constexpr int CellCount = 2 * static_cast<int>(Steps.size());

const Step& stepOf(int cell) { return Steps[static_cast<size_t>(cell) / 2]; }

bool engineChecks(int cell) { return cell % 2 == 0; }

std::map<std::string, std::string> armed(int cell)
{
    const Step& step = stepOf(cell);
    const bool isEntry = std::string(step.process) == "entry";
    return { { isEntry ? "entry:1" : "agent:e-1", step.point } };
}

std::string caseName(const char* fault, int cell)
{
    return std::string("orders-") + fault + "-" + stepOf(cell).point
        + (engineChecks(cell) ? "-checked" : "-unchecked");
}

criterion::parameters<int> allCells()
{
    criterion::parameters<int> cells;
    for (int cell = 0; cell < CellCount; ++cell)
        cells.push_back(cell);
    return cells;
}

bool isEntryStep(int cell) { return std::string(stepOf(cell).process) == "entry"; }

/**
 * Declares a role and waits until the armed process stops at its failure point. The second entry
 * is started only then, so that the first one is the controller.
 */
localfleet::ChildProcess& bringToStep(OrderRun& run, int cell)
{
    const bool isTakeover = std::string(stepOf(cell).point) == "control.before_takeover";
    run.fleet.start("entry:1");
    if (!isTakeover)
        run.awaitEngines();
    run.declare("decode");
    localfleet::ChildProcess& process
        = run.fleet.process(isEntryStep(cell) ? "entry:1" : "agent:e-1");
    cr_assert(process.waitUntilStopped(Milliseconds(30000)));
    run.fleet.start("entry:2");
    return process;
}

} // namespace

Test(orders, a_declared_role_is_carried_out_without_cutting_streams)
{
    OrderRun run("orders-declared");
    run.startEntries();
    std::vector<std::future<StreamedResponse>> responses;
    responses.reserve(12);
    for (int number = 0; number < 12; ++number) {
        responses.push_back(std::async(std::launch::async, [&run, number] {
            return stream(run.fleet.callerUrl(1),
                completionBody("Review dossier " + std::to_string(number), 900), ReviewKey);
        }));
    }
    run.declare("decode");
    cr_assert(run.reachesRole("decode"));
    for (size_t number = 0; number < responses.size(); ++number) {
        const StreamedResponse response = responses[number].get();
        const std::vector<std::string> expected
            = expectedTokens("Review dossier " + std::to_string(number), 900);
        cr_assert(response.isComplete);
        cr_assert(response.tokens == expected);
    }
    run.checkOrders();
}

Test(orders, an_engine_that_crashes_during_a_role_change_gets_the_same_order_again)
{
    OrderRun run("orders-engine-crash", { { "agent:e-1", "order.after_give" } });
    run.startEntries();
    run.declare("prefill");
    localfleet::ChildProcess& agent = run.fleet.process("agent:e-1");
    cr_assert(agent.waitUntilStopped(Milliseconds(30000)));
    run.fleet.process("target:e-1").kill();
    run.fleet.start("target:e-1");
    agent.resume();
    cr_assert(run.reachesRole("prefill"));
    run.checkOrders();
}

Test(orders, serving_continues_while_the_store_is_unreachable)
{
    OrderRun run("orders-store-away");
    run.startEntries();
    run.declare("decode");
    cr_assert(run.reachesRole("decode"));
    run.fleet.setFaults("all", "{\"down\":true}");
    const Response response
        = requestCompletion(run.fleet.callerUrl(1), completionBody("Clause 7", 5));
    cr_assert_eq(response.status, 200);
    run.fleet.setFaults("all", "{}");
    run.declare("mixed");
    cr_assert(run.reachesRole("mixed"));
    run.checkOrders();
}

ParameterizedTestParameters(orders, process_killed_at_a_step)
{
    static criterion::parameters<int> cells = allCells();
    return cells;
}

ParameterizedTest(int* cell, orders, process_killed_at_a_step)
{
    OrderRun run(caseName("kill", *cell), armed(*cell), engineChecks(*cell));
    bringToStep(run, *cell).kill();
    if (!isEntryStep(*cell))
        run.fleet.start("agent:e-1");
    cr_assert(run.reachesRole("decode"));
    run.declare("prefill");
    cr_assert(run.reachesRole("prefill"));
    run.checkOrders();
}

ParameterizedTestParameters(orders, process_paused_at_a_step)
{
    static criterion::parameters<int> cells = allCells();
    return cells;
}

ParameterizedTest(int* cell, orders, process_paused_at_a_step)
{
    OrderRun run(caseName("pause", *cell), armed(*cell), engineChecks(*cell));
    localfleet::ChildProcess& process = bringToStep(run, *cell);
    if (isEntryStep(*cell)) {
        // The other entry takes over ownership, finishes the first order and issues a second one.
        cr_assert(run.reachesRole("decode"));
        run.declare("prefill");
        cr_assert(run.reachesRole("prefill"));
    } else {
        // The paused agent holds its engine's order, so no other process may carry out one.
        run.declare("prefill");
        cr_assert(eventually([&run] {
            return fetchJson(run.fleet.operatorUrl("entry:2") + "/status")["config"] == 3;
        }));
    }
    process.resume();
    run.declare("mixed");
    cr_assert(run.reachesRole("mixed"));
    run.checkOrders();
}

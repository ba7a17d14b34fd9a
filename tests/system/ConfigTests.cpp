#include "Callers.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::tests;

namespace {

localfleet::FleetOptions configFleet(const std::string& name)
{
    localfleet::FleetOptions options = smallFleet(name);
    options.targets = { "e-1", "e-2", "a-1" };
    return options;
}

const std::vector<std::string> Processes { "entry:1", "entry:2", "agent:e-1", "agent:e-2",
    "agent:a-1" };

int64_t revisionOf(const localfleet::LocalFleet& fleet, const std::string& process)
{
    const nlohmann::json status = fetchJson(fleet.operatorUrl(process) + "/status");
    return status.is_object() ? status.value("config", 0) : 0;
}

bool isInForceEverywhere(const localfleet::LocalFleet& fleet, int64_t revision)
{
    for (const std::string& process : Processes) {
        if (revisionOf(fleet, process) != revision)
            return false;
    }
    return true;
}

/** Checks that the revisions adopted by each process only grow. */
void checkNeverReverts(const localfleet::LocalFleet& fleet)
{
    for (const std::string& process : Processes) {
        int64_t last = 0;
        for (const nlohmann::json& event :
            fetchJson(fleet.operatorUrl(process) + "/events")["events"]) {
            if (event["kind"] != "config_adopted")
                continue;
            const int64_t revision = std::stoll(event["detail"].get<std::string>().substr(9));
            cr_assert_gt(revision, last);
            last = revision;
        }
    }
}

std::vector<settings::SourceFile> note(int number)
{
    return { { "90-limits.toml", "[limits]\nretry_burst = " + std::to_string(number) + "\n" } };
}

} // namespace

Test(configuration, a_commit_reaches_every_process)
{
    localfleet::LocalFleet fleet(configFleet("config-everywhere"));
    fleet.startAll();
    for (int revision = 2; revision <= 4; ++revision) {
        cr_assert_eq(fleet.applyConfiguration(note(revision)), 0);
        cr_assert(eventually([&] { return isInForceEverywhere(fleet, revision); }));
    }
    checkNeverReverts(fleet);
}

Test(configuration, reaches_processes_that_are_cut_off_from_the_store)
{
    localfleet::LocalFleet fleet(configFleet("config-cut-off"));
    fleet.startAll();
    for (const std::string& process : Processes) {
        if (process != "entry:2")
            fleet.setFaults(process, "{\"down\":true}");
    }
    cr_assert_eq(fleet.applyConfiguration(note(2)), 0);
    cr_assert(eventually([&] { return isInForceEverywhere(fleet, 2); }));
    checkNeverReverts(fleet);
}

Test(configuration, reaches_a_process_that_was_paused)
{
    localfleet::LocalFleet fleet(configFleet("config-paused"));
    fleet.startAll();
    fleet.process("agent:e-1").pause();
    fleet.process("entry:1").pause();
    cr_assert_eq(fleet.applyConfiguration(note(2)), 0);
    cr_assert(eventually([&] { return revisionOf(fleet, "entry:2") == 2; }));
    fleet.process("agent:e-1").resume();
    fleet.process("entry:1").resume();
    cr_assert(eventually([&] { return isInForceEverywhere(fleet, 2); }));
    checkNeverReverts(fleet);
}

Test(configuration, a_restarted_entry_receives_it_from_its_peers_while_the_store_is_unreachable)
{
    localfleet::LocalFleet fleet(configFleet("config-restart"));
    fleet.startAll();
    cr_assert_eq(fleet.applyConfiguration(note(2)), 0);
    cr_assert(eventually([&] { return isInForceEverywhere(fleet, 2); }));
    fleet.setFaults("all", "{\"down\":true}");
    fleet.process("entry:1").kill();
    fleet.start("entry:1");
    cr_assert(eventually([&] { return isInForceEverywhere(fleet, 2); }));
    cr_assert_eq(requestCompletion(fleet.callerUrl(1), completionBody("Clause 7", 5)).status, 200);
}

Test(configuration, of_two_concurrent_commits_one_fails_and_reports_the_other)
{
    localfleet::LocalFleet fleet(configFleet("config-race"));
    fleet.startPlatform();
    cr_assert_eq(fleet.applyConfiguration({}), 0);
    const std::string folder = fleet.writeConfiguration(note(2));
    localfleet::ChildProcess slow = fleet.startTool(
        { "config", "apply", folder, "--stop_at=config.before_head", "--author=slow" }, "slow.log");
    cr_assert(slow.waitUntilStopped(Milliseconds(30000)));
    localfleet::ChildProcess fast = fleet.startTool(
        { "config", "apply", folder, "--author=fast", "--message=tariffs" }, "fast.log");
    cr_assert_eq(fast.waitForExit(Milliseconds(30000)).value_or(-1), 0);
    slow.resume();
    constexpr int ConflictStatus = 3;
    cr_assert_eq(slow.waitForExit(Milliseconds(30000)).value_or(-1), ConflictStatus);
    const std::string log = settings::readFile(fleet.workFolder() + "/slow.log").text;
    cr_assert_neq(log.find("fast"), std::string::npos);
    cr_assert_neq(log.find("tariffs"), std::string::npos);
}

Test(configuration, a_commit_whose_responses_are_lost_is_detected_as_made)
{
    localfleet::LocalFleet fleet(configFleet("config-lost-answer"));
    fleet.startPlatform();
    fleet.setFaults("platform", "{\"lose_answers\":2}");
    cr_assert_eq(fleet.applyConfiguration({}), 0);
    fleet.setFaults("platform", "{}");
    cr_assert_eq(fleet.applyConfiguration(note(2)), 0);
}

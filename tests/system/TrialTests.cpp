#include "Callers.h"

#include <criterion/criterion.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::tests;

namespace {

/** One engine with one slot, so that a paying request needs the slot of the trial. */
localfleet::FleetOptions oneSlotFleet(const std::string& name)
{
    localfleet::FleetOptions options = smallFleet(name);
    options.targets = { "e-1" };
    options.entries = 1;
    options.extraFiles = { { "70-slots.toml", "[pool.engines]\nslots = 1\n" } };
    return options;
}

std::future<StreamedResponse> startTrial(
    localfleet::LocalFleet& fleet, uint32_t tokens, const std::string& deadlineMs)
{
    std::future<StreamedResponse> trial
        = std::async(std::launch::async, [&fleet, tokens, deadlineMs] {
              return stream(fleet.callerUrl(1), completionBody("Trial", tokens), TrialKey,
                  { { "x-deadline-ms", deadlineMs } });
          });
    cr_assert(eventually(
        [&fleet] { return fetchJson(fleet.targetUrl("e-1") + "/history")["running"] == 1; }));
    return trial;
}

} // namespace

Test(trials, give_their_slot_to_paying_work_and_still_complete)
{
    localfleet::LocalFleet fleet(oneSlotFleet("trials-paused"));
    fleet.startAll();
    std::future<StreamedResponse> trial = startTrial(fleet, 600, "60000");
    const StreamedResponse paying
        = stream(fleet.callerUrl(1), completionBody("Lookup", 20), LookupKey);
    cr_assert(paying.isComplete);
    cr_assert(trial.wait_for(Milliseconds(0)) != std::future_status::ready);
    const StreamedResponse response = trial.get();
    cr_assert(response.isComplete);
    cr_assert(response.tokens == expectedTokens("Trial", 600));
}

Test(trials, that_were_paused_and_ran_out_of_time_are_not_said_to_be_not_run)
{
    localfleet::LocalFleet fleet(oneSlotFleet("trials-late"));
    fleet.startAll();
    std::future<StreamedResponse> trial = startTrial(fleet, 200, "3000");
    const StreamedResponse paying
        = stream(fleet.callerUrl(1), completionBody("Review", 1200), ReviewKey);
    cr_assert(paying.isComplete);
    const StreamedResponse response = trial.get();
    cr_assert_not(response.isComplete);
    cr_assert_eq(response.error.value("type", ""), "deadline_passed");
    cr_assert_eq(response.error.value("execution", ""), "may_have_run");
}

#include "Callers.h"

#include <criterion/criterion.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::tests;

namespace {

const std::vector<std::string> Engines { "e-1", "e-2", "e-3" };
const std::string CrashPrompt = "CRASH-ENGINE please";

localfleet::FleetOptions engineFleet(const std::string& name)
{
    localfleet::FleetOptions options = smallFleet(name);
    options.targets = Engines;
    return options;
}

int64_t crashes(const localfleet::LocalFleet& fleet)
{
    int64_t total = 0;
    for (const std::string& engine : Engines)
        total += fetchJson(fleet.targetUrl(engine) + "/history")["crashes"].get<int64_t>();
    return total;
}

} // namespace

Test(crashing_requests, crash_two_targets_at_most_and_cut_no_other_stream)
{
    localfleet::LocalFleet fleet(engineFleet("crash-repeated"));
    fleet.startAll();
    std::vector<std::future<StreamedResponse>> innocent;
    innocent.reserve(9);
    for (int number = 0; number < 9; ++number) {
        innocent.push_back(std::async(std::launch::async, [&fleet, number] {
            return stream(fleet.callerUrl(1 + static_cast<size_t>(number) % 2),
                completionBody("Dossier " + std::to_string(number), 600), ReviewKey);
        }));
    }
    cr_assert(eventually([&fleet] {
        for (const std::string& engine : Engines) {
            if (fetchJson(fleet.targetUrl(engine) + "/history")["running"] == 0)
                return false;
        }
        return true;
    }));
    for (size_t sending = 0; sending < 8; ++sending) {
        const Response response
            = requestCompletion(fleet.callerUrl(1 + sending % 2), completionBody(CrashPrompt, 10));
        cr_assert_neq(response.status, 200);
        cr_assert_neq(response.status, 0);
    }
    cr_assert_leq(crashes(fleet), 2);
    for (int number = 0; number < 9; ++number) {
        const StreamedResponse response = innocent[static_cast<size_t>(number)].get();
        cr_assert(response.isComplete, "%s", response.error.dump().c_str());
        cr_assert(response.tokens == expectedTokens("Dossier " + std::to_string(number), 600));
    }
}

Test(crashing_requests, sent_concurrently_through_both_entries_crash_two_targets_at_most)
{
    localfleet::LocalFleet fleet(engineFleet("crash-concurrent"));
    fleet.startAll();
    std::vector<std::future<Response>> responses;
    for (size_t sender = 0; sender < 6; ++sender) {
        responses.push_back(std::async(std::launch::async, [&fleet, sender] {
            return requestCompletion(
                fleet.callerUrl(1 + sender % 2), completionBody(CrashPrompt, 10));
        }));
    }
    for (std::future<Response>& response : responses)
        cr_assert_neq(response.get().status, 200);
    cr_assert_leq(crashes(fleet), 2);
}

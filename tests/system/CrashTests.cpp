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
        total += ask(fleet.targetUrl(engine) + "/history")["crashes"].get<int64_t>();
    return total;
}

} // namespace

Test(crashing_requests, bring_down_two_targets_at_most_and_spare_the_innocent)
{
    localfleet::LocalFleet fleet(engineFleet("crash-repeated"));
    fleet.startAll();
    std::vector<std::future<StreamedAnswer>> innocent;
    innocent.reserve(9);
    for (int number = 0; number < 9; ++number) {
        innocent.push_back(std::async(std::launch::async, [&fleet, number] {
            return stream(fleet.callerUrl(1 + static_cast<size_t>(number) % 2),
                completionBody("Dossier " + std::to_string(number), 600), ReviewKey);
        }));
    }
    cr_assert(eventually([&fleet] {
        for (const std::string& engine : Engines) {
            if (ask(fleet.targetUrl(engine) + "/history")["running"] == 0)
                return false;
        }
        return true;
    }));
    for (size_t sending = 0; sending < 8; ++sending) {
        const Answer answer
            = complete(fleet.callerUrl(1 + sending % 2), completionBody(CrashPrompt, 10));
        cr_assert_neq(answer.status, 200);
        cr_assert_neq(answer.status, 0);
    }
    cr_assert_leq(crashes(fleet), 2);
    for (int number = 0; number < 9; ++number) {
        const StreamedAnswer answer = innocent[static_cast<size_t>(number)].get();
        cr_assert(answer.isWhole, "%s", answer.error.dump().c_str());
        cr_assert(answer.tokens == expectedTokens("Dossier " + std::to_string(number), 600));
    }
}

Test(crashing_requests, sent_at_once_through_both_entries_bring_down_two_targets_at_most)
{
    localfleet::LocalFleet fleet(engineFleet("crash-concurrent"));
    fleet.startAll();
    std::vector<std::future<Answer>> answers;
    for (size_t sender = 0; sender < 6; ++sender) {
        answers.push_back(std::async(std::launch::async, [&fleet, sender] {
            return complete(fleet.callerUrl(1 + sender % 2), completionBody(CrashPrompt, 10));
        }));
    }
    for (std::future<Answer>& answer : answers)
        cr_assert_neq(answer.get().status, 200);
    cr_assert_leq(crashes(fleet), 2);
}

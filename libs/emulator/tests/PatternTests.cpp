#include "emulator/Emulator.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::emulator;

namespace {

/** @return the mean of some plays of a pattern. */
Outcome playAll(const std::string& name, const Policy& policy, const Site& site = {})
{
    constexpr uint64_t Seeds = 3;
    for (const LoadPattern& pattern : loadPatterns()) {
        if (pattern.name != name)
            continue;
        Outcome mean;
        for (uint64_t seed = 1; seed <= Seeds; ++seed) {
            const Outcome outcome = play(site, pattern, policy, seed);
            mean.worth += outcome.worth / Seeds;
            mean.worstWindows += outcome.worstWindows / Seeds;
            mean.bound += outcome.bound / Seeds;
            mean.kinds = outcome.kinds;
        }
        return mean;
    }
    cr_assert_fail("No such pattern.");
    return {};
}

/** The gateways' policy must earn more than each baseline, and no more than can be earned. */
void expectBest(const std::string& name)
{
    const Outcome own = playAll(name, ExpectedFinish {});
    cr_expect_leq(own.worth, own.bound, "%s", name.c_str());
    for (const Policy& policy :
        std::vector<Policy> { HashedHomes {}, LeastOutstanding {}, TwoChoices {}, RoundRobin {} }) {
        const Outcome baseline = playAll(name, policy);
        cr_expect_gt(own.worth, baseline.worth, "%s against %s: %.3f, %.3f", name.c_str(),
            nameOf(policy).data(), own.worth, baseline.worth);
        cr_expect_gt(own.worstWindows, baseline.worstWindows, "%s against %s, worst windows",
            name.c_str(), nameOf(policy).data());
    }
}

} // namespace

Test(load_pattern, long_prompts_give_way_to_long_answers_and_back) { expectBest("mix_swings"); }
Test(load_pattern, burst_of_one_kind) { expectBest("burst_of_one_kind"); }
Test(load_pattern, hot_shared_part) { expectBest("hot_shared_part"); }
Test(load_pattern, cold_start_with_empty_caches) { expectBest("cold_start"); }
Test(load_pattern, half_the_readers_lost) { expectBest("half_the_readers_lost"); }
Test(load_pattern, slow_links) { expectBest("slow_links"); }
Test(load_pattern, retries_of_impatient_callers) { expectBest("impatient_callers"); }
Test(load_pattern, callers_who_leave) { expectBest("callers_who_leave"); }
Test(load_pattern, many_small_kinds_beside_one_huge_one)
{
    expectBest("small_kinds_beside_a_huge_one");
}

Test(load_pattern, no_kind_is_served_less_often_than_a_less_urgent_one)
{
    for (const LoadPattern& pattern : loadPatterns()) {
        const Outcome outcome = playAll(pattern.name, ExpectedFinish {});
        for (size_t urgent = 0; urgent < pattern.kinds.size(); ++urgent) {
            for (size_t other = 0; other < pattern.kinds.size(); ++other) {
                if (pattern.kinds[urgent].priority >= pattern.kinds[other].priority)
                    continue;
                // The users' price begins where the shares differ by more than 15 in 100.
                cr_expect_gt(outcome.kinds[urgent].worthShare + 0.15,
                    outcome.kinds[other].worthShare, "%s: %s after %s", pattern.name.c_str(),
                    pattern.kinds[urgent].name.c_str(), pattern.kinds[other].name.c_str());
            }
        }
    }
}

Test(load_pattern, prompts_that_may_still_be_on_time_are_not_put_last)
{
    // Guards the pattern as a whole; the limit itself is tested with libs/dispatch.
    const Outcome outcome = playAll("steady", ExpectedFinish {});
    cr_assert_gt(outcome.worth, 0.92);
    cr_assert_gt(outcome.worstWindows, 0.78);
}

Test(play, is_the_same_for_the_same_seed)
{
    const LoadPattern pattern = loadPatterns().front();
    const Outcome first = play({}, pattern, ExpectedFinish {}, 7);
    const Outcome second = play({}, pattern, ExpectedFinish {}, 7);
    cr_assert_eq(first.worth, second.worth);
    cr_assert_eq(first.tokensRead, second.tokensRead);
    cr_assert_neq(first.worth, play({}, pattern, ExpectedFinish {}, 8).worth);
}

#include "emulator/Emulator.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::emulator;

namespace {

/** @return the mean of three runs of a pattern; its kinds are those of the last run. */
Outcome meanOutcome(const std::string& name, const Policy& policy, const Site& site = {})
{
    constexpr uint64_t Seeds = 3;
    for (const LoadPattern& pattern : loadPatterns()) {
        if (pattern.name != name)
            continue;
        Outcome mean;
        for (uint64_t seed = 1; seed <= Seeds; ++seed) {
            const Outcome outcome = simulate(site, pattern, policy, seed);
            mean.worth += outcome.worth / Seeds;
            mean.worstWindows += outcome.worstWindows / Seeds;
            mean.bound += outcome.bound / Seeds;
            mean.kinds = outcome.kinds;
        }
        return mean;
    }
    cr_assert_fail("There is no pattern of this name.");
    return {};
}

/** The gateways' policy must earn more than each baseline, and not more than the upper bound. */
void expectBetterThanBaselines(const std::string& name)
{
    const Outcome expectedFinish = meanOutcome(name, ExpectedFinish {});
    cr_expect_leq(expectedFinish.worth, expectedFinish.bound, "%s", name.c_str());
    for (const Policy& policy :
        std::vector<Policy> { HashedHomes {}, LeastOutstanding {}, TwoChoices {}, RoundRobin {} }) {
        const Outcome baseline = meanOutcome(name, policy);
        cr_expect_gt(expectedFinish.worth, baseline.worth, "%s against %s: %.3f, %.3f",
            name.c_str(), nameOf(policy).data(), expectedFinish.worth, baseline.worth);
        cr_expect_gt(expectedFinish.worstWindows, baseline.worstWindows,
            "%s against %s, worst windows", name.c_str(), nameOf(policy).data());
    }
}

} // namespace

Test(load_pattern, expected_finish_earns_most_when_the_request_mix_swings)
{
    expectBetterThanBaselines("mix_swings");
}
Test(load_pattern, expected_finish_earns_most_in_a_burst_of_one_kind)
{
    expectBetterThanBaselines("burst_of_one_kind");
}
Test(load_pattern, expected_finish_earns_most_with_a_hot_shared_part)
{
    expectBetterThanBaselines("hot_shared_part");
}
Test(load_pattern, expected_finish_earns_most_after_a_cold_start)
{
    expectBetterThanBaselines("cold_start");
}
Test(load_pattern, expected_finish_earns_most_when_half_the_prefill_engines_crash)
{
    expectBetterThanBaselines("half_the_readers_lost");
}
Test(load_pattern, expected_finish_earns_most_with_slow_links)
{
    expectBetterThanBaselines("slow_links");
}
Test(load_pattern, expected_finish_earns_most_when_impatient_callers_retry)
{
    expectBetterThanBaselines("impatient_callers");
}
Test(load_pattern, expected_finish_earns_most_when_callers_leave)
{
    expectBetterThanBaselines("callers_who_leave");
}
Test(load_pattern, expected_finish_earns_most_with_small_kinds_beside_a_huge_one)
{
    expectBetterThanBaselines("small_kinds_beside_a_huge_one");
}

Test(load_pattern, no_kind_earns_a_much_smaller_share_than_a_less_urgent_one)
{
    for (const LoadPattern& pattern : loadPatterns()) {
        const Outcome outcome = meanOutcome(pattern.name, ExpectedFinish {});
        for (size_t urgent = 0; urgent < pattern.kinds.size(); ++urgent) {
            for (size_t other = 0; other < pattern.kinds.size(); ++other) {
                if (pattern.kinds[urgent].priority >= pattern.kinds[other].priority)
                    continue;
                // The users define a penalty for differences of the shares above 0.15.
                cr_expect_gt(outcome.kinds[urgent].worthShare + 0.15,
                    outcome.kinds[other].worthShare, "%s: %s after %s", pattern.name.c_str(),
                    pattern.kinds[urgent].name.c_str(), pattern.kinds[other].name.c_str());
            }
        }
    }
}

Test(load_pattern, prompts_that_may_still_be_on_time_are_not_put_last)
{
    // Checks the effect on the whole pattern. libs/dispatch tests the limit itself.
    const Outcome outcome = meanOutcome("steady", ExpectedFinish {});
    cr_assert_gt(outcome.worth, 0.92);
    cr_assert_gt(outcome.worstWindows, 0.78);
}

Test(simulation, gives_the_same_outcome_for_the_same_seed)
{
    const LoadPattern pattern = loadPatterns().front();
    const Outcome first = simulate({}, pattern, ExpectedFinish {}, 7);
    const Outcome second = simulate({}, pattern, ExpectedFinish {}, 7);
    cr_assert_eq(first.worth, second.worth);
    cr_assert_eq(first.tokensPrefilled, second.tokensPrefilled);
    cr_assert_neq(first.worth, simulate({}, pattern, ExpectedFinish {}, 8).worth);
}

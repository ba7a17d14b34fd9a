#include "dispatch/Dispatch.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

const PoolId Pool("pool");
const SteadyTime Start { std::chrono::hours(1) };
constexpr Milliseconds Window { 10000 };
const RetryBudget::Limits Limits { 0.2, 50, Window };

size_t spendAll(RetryBudget& budget, SteadyTime now)
{
    size_t retries = 0;
    while (budget.trySpend(Pool, 1, now))
        retries += 1;
    return retries;
}

} // namespace

// The number of entries is unknown, so there is no fixed part: the limit is 0.2 x 1,000.
Test(allowance, a_window_of_failures_may_use_most_of_the_share)
{
    RetryBudget budget(Limits, Start);
    size_t retries = 0;
    for (Milliseconds time { 0 }; time < 2 * Window; time += Milliseconds(10)) {
        budget.noteRequest(Pool, Start + time);
        if (time >= Window)
            retries += spendAll(budget, Start + time);
    }
    cr_assert_leq(retries, 200U);
    cr_assert_geq(retries, 150U);
}

Test(allowance, a_sudden_loss_of_half_of_the_targets_is_covered)
{
    RetryBudget budget(Limits, Start);
    budget.updateEntries(1);
    for (Milliseconds time { 0 }; time < Window; time += Milliseconds(10))
        budget.noteRequest(Pool, Start + time);
    // Half of the requests of the last second break off, each of which needs two sends.
    for (int request = 0; request < 50; ++request)
        cr_assert(budget.trySpend(Pool, 2, Start + Window));
}

Test(allowance, all_entries_together_stay_within_the_limit)
{
    constexpr uint32_t Entries = 5;
    size_t retries = 0;
    for (uint32_t entry = 0; entry < Entries; ++entry) {
        RetryBudget budget(Limits, Start - Window);
        budget.updateEntries(Entries);
        // The requests are spread unevenly over the entries.
        for (uint32_t request = 0; request < 40 * (entry + 1); ++request)
            budget.noteRequest(Pool, Start);
        retries += spendAll(budget, Start);
    }
    cr_assert_leq(retries, static_cast<size_t>(0.2 * 600 + 50));
}

Test(allowance, a_restarted_entry_does_not_spend_the_fixed_part_again)
{
    RetryBudget budget(Limits, Start);
    budget.updateEntries(1);
    cr_assert_eq(spendAll(budget, Start), 0U);
    size_t retries = 0;
    for (Milliseconds time { 0 }; time <= Window; time += Milliseconds(10))
        retries += spendAll(budget, Start + time);
    cr_assert_leq(retries, 25U);
    cr_assert_geq(retries, 20U);
    // Unused, it is there at once, and earned again within the window.
    retries = spendAll(budget, Start + 2 * Window);
    for (Milliseconds time { 0 }; time <= Window; time += Milliseconds(10))
        retries += spendAll(budget, Start + 2 * Window + time);
    cr_assert_leq(retries, 50U);
    cr_assert_geq(retries, 40U);
}

Test(allowance, each_pool_has_its_own_sliding_window)
{
    RetryBudget budget(Limits, Start - Window);
    for (int request = 0; request < 100; ++request)
        budget.noteRequest(Pool, Start);
    cr_assert_gt(spendAll(budget, Start), 0U);
    cr_assert_not(budget.trySpend(PoolId("other"), 1, Start));
    cr_assert_not(budget.trySpend(Pool, 1, Start + Window + Milliseconds(1)));
}

Test(allowance, covers_all_sends_of_a_retry_or_none)
{
    RetryBudget budget({ 0, 4, Window }, Start - Window);
    budget.updateEntries(1);
    // A restarted request sends its prompt to a prefill engine again, which makes two sends.
    cr_assert_not(budget.trySpend(Pool, 2, Start));
    cr_assert(budget.trySpend(Pool, 1, Start));
}

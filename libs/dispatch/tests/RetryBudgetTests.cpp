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

Test(allowance, a_burst_of_failures_may_use_most_of_the_share)
{
    RetryBudget budget(Limits, Start - Window);
    for (int request = 0; request < 1000; ++request)
        budget.noteRequest(Pool, Start);
    // The limit is 0.2 x 1,000; the number of entries is unknown, so there is no fixed part.
    const size_t retries = spendAll(budget, Start);
    cr_assert_leq(retries, 200U);
    cr_assert_geq(retries, 150U);
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
    const size_t half = spendAll(budget, Start + Window / 2);
    cr_assert_leq(half, 25U);
    cr_assert_geq(half, 20U);
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
    RetryBudget budget({ 0, 2, Window }, Start - Window);
    budget.updateEntries(1);
    // A restarted request sends its prompt to a prefill engine again, which makes two sends.
    cr_assert_not(budget.trySpend(Pool, 2, Start));
    cr_assert(budget.trySpend(Pool, 1, Start));
}

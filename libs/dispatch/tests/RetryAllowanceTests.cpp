#include "dispatch/Dispatch.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

const PoolId Pool("pool");
const SteadyTime Start { std::chrono::hours(1) };
constexpr Milliseconds Window { 10000 };
const RetryAllowance::Limits Limits { 0.2, 50, Window };

size_t spendAll(RetryAllowance& allowance, SteadyTime now)
{
    size_t retries = 0;
    while (allowance.trySpend(Pool, 1, now))
        retries += 1;
    return retries;
}

} // namespace

Test(allowance, a_burst_of_failures_may_use_most_of_the_share)
{
    RetryAllowance allowance(Limits, Start - Window);
    for (int request = 0; request < 1000; ++request)
        allowance.noteRequest(Pool, Start);
    // The limit is 0.2 x 1,000; the number of entries is unknown, so there is no fixed part.
    const size_t retries = spendAll(allowance, Start);
    cr_assert_leq(retries, 200U);
    cr_assert_geq(retries, 150U);
}

Test(allowance, all_entries_together_stay_within_the_limit)
{
    constexpr uint32_t Entries = 5;
    size_t retries = 0;
    for (uint32_t entry = 0; entry < Entries; ++entry) {
        RetryAllowance allowance(Limits, Start - Window);
        allowance.updateEntries(Entries);
        // The requests are spread unevenly over the entries.
        for (uint32_t request = 0; request < 40 * (entry + 1); ++request)
            allowance.noteRequest(Pool, Start);
        retries += spendAll(allowance, Start);
    }
    cr_assert_leq(retries, static_cast<size_t>(0.2 * 600 + 50));
}

Test(allowance, a_restarted_entry_does_not_spend_the_fixed_part_again)
{
    RetryAllowance allowance(Limits, Start);
    allowance.updateEntries(1);
    cr_assert_eq(spendAll(allowance, Start), 0U);
    const size_t half = spendAll(allowance, Start + Window / 2);
    cr_assert_leq(half, 25U);
    cr_assert_geq(half, 20U);
}

Test(allowance, each_pool_has_its_own_sliding_window)
{
    RetryAllowance allowance(Limits, Start - Window);
    for (int request = 0; request < 100; ++request)
        allowance.noteRequest(Pool, Start);
    cr_assert_gt(spendAll(allowance, Start), 0U);
    cr_assert_not(allowance.trySpend(PoolId("other"), 1, Start));
    cr_assert_not(allowance.trySpend(Pool, 1, Start + Window + Milliseconds(1)));
}

Test(allowance, covers_all_sends_of_a_retry_or_none)
{
    RetryAllowance allowance({ 0, 2, Window }, Start - Window);
    allowance.updateEntries(1);
    // A restarted request sends its prompt to a prefill engine again, which makes two sends.
    cr_assert_not(allowance.trySpend(Pool, 2, Start));
    cr_assert(allowance.trySpend(Pool, 1, Start));
}

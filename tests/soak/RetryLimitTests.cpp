#include "RetryLimit.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::soak;

namespace {

const std::string Pool = "app";
const SteadyTime Start { std::chrono::hours(1) };

/** @return the retries of the pool in its worst window. */
size_t worstRetries(const RetryLimit& limit)
{
    const std::vector<RetryLimit::Use> uses = limit.worstUses();
    return uses.empty() ? 0 : uses.front().retries;
}

} // namespace

// Guards against calls of gateways, such as for the cached prompt parts, that count as retries.
Test(retry_limit_check, counts_no_calls_of_gateways)
{
    RetryLimit limit;
    limit.recordRequest(Pool, Start);
    for (int call = 0; call < 100; ++call)
        limit.recordArrival(Pool, "", false, Start);
    cr_assert_eq(worstRetries(limit), 0U);
}

Test(retry_limit_check, counts_each_arrival_after_the_first_run_and_the_first_prefill)
{
    RetryLimit limit;
    limit.recordRequest(Pool, Start);
    for (int arrival = 0; arrival < 3; ++arrival) {
        limit.recordArrival(Pool, "a1", true, Start);
        limit.recordArrival(Pool, "a1", false, Start);
    }
    cr_assert_eq(worstRetries(limit), 4U);
}

Test(retry_limit_check, counts_those_of_one_window)
{
    RetryLimit limit;
    limit.recordRequest(Pool, Start);
    for (int arrival = 0; arrival < 3; ++arrival)
        limit.recordArrival(Pool, "a1", false, Start + arrival * RetryLimit::Window);
    cr_assert_eq(worstRetries(limit), 1U);
}

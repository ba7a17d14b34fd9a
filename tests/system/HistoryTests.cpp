#include "History.h"

#include <criterion/criterion.h>

using namespace citronspoke::tests;

namespace {

ObservedCall call(
    const std::string& key, uint32_t status, const std::string& execution, int64_t receipt)
{
    return { key, status, execution, receipt };
}

} // namespace

Test(history, accepts_a_correct_run)
{
    History history;
    history.calls = { call("a", 200, "", 1), call("a", 200, "", 1), call("b", 503, "not_run", 0),
        call("c", 502, "may_have_run", 0) };
    history.runs = { { "a", 1 }, { "c", 1 } };
    history.orders = { { "e-1", 1, 1 }, { "e-2", 1, 2 }, { "e-1", 2, 3 } };
    cr_assert(violations(history).empty());
}

Test(history, finds_a_double_run)
{
    History history;
    history.runs = { { "a", 2 } };
    cr_assert_eq(violations(history).size(), 1);
}

Test(history, finds_a_false_not_run)
{
    History history;
    history.calls = { call("a", 503, "not_run", 0) };
    history.runs = { { "a", 1 } };
    cr_assert_eq(violations(history).size(), 1);
}

Test(history, finds_different_answers_for_one_key)
{
    History history;
    history.calls = { call("a", 200, "", 1), call("a", 200, "", 2) };
    history.runs = { { "a", 1 } };
    cr_assert_eq(violations(history).size(), 1);
}

Test(history, finds_an_answer_without_a_run)
{
    History history;
    history.calls = { call("a", 200, "", 1) };
    cr_assert_eq(violations(history).size(), 1);
}

Test(history, finds_an_old_order)
{
    History history;
    history.orders = { { "e-1", 2, 3 }, { "e-1", 1, 4 } };
    cr_assert_eq(violations(history).size(), 1);
}

Test(history, finds_conflicting_orders_and_cuts)
{
    History history;
    history.conflictingOrders = 1;
    history.cutStreams = 1;
    cr_assert_eq(violations(history).size(), 2);
}

Test(history, finds_a_configuration_that_reverts)
{
    History history;
    history.events
        = { { "entry-1", "config_adopted", "", 0, 2 }, { "entry-1", "config_adopted", "", 0, 1 } };
    cr_assert_eq(violations(history).size(), 1);
}

Test(history, finds_new_work_at_a_leaving_target)
{
    History history;
    history.leftAtMs = { { "e-1", 1000 } };
    history.events = { { "e-1", "attempt_started", "e-1", 4001, 0 } };
    cr_assert_eq(violations(history).size(), 1);
}

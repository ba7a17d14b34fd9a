#include "RoleTestFleet.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::roles;
using namespace citronspoke::roles::tests;

namespace {

/** A limit that has left requests unserved. */
const conditions::StatedLimits::Limit ShortLimit { 4.4, {}, true };

} // namespace

Test(load_pattern, lost_decode_engines_are_replaced_within_the_time_of_a_role_change)
{
    Fleet fleet(12, 2);
    fleet.run(Milliseconds(3000));
    fleet[0].isLost = fleet[1].isLost = true;
    cr_assert_leq(fleet.runUntilDecoding(2).count(), RecoveryTarget.count());
    cr_assert_eq(fleet.orders(), 2U);
}

Test(load_pattern, an_order_without_effect_costs_little_when_decode_engines_are_lost)
{
    Fleet fleet(12, 2);
    fleet.run(Milliseconds(3000));
    fleet[0].isLost = fleet[1].isLost = true;
    // The first two replacements never begin their change.
    fleet.deaf = { TargetId("e2"), TargetId("e3") };
    cr_assert_leq(fleet.runUntilDecoding(2).count(), (RecoveryTarget + Milliseconds(1500)).count());
}

Test(load_pattern, an_engine_that_returns_to_its_role_is_passed_over)
{
    Fleet fleet(12, 2);
    fleet.run(Milliseconds(3000));
    fleet[0].isLost = fleet[1].isLost = true;
    fleet.run(Milliseconds(600));
    cr_assert(fleet[2].record.role == EngineRole::Decode);
    // Its order was refused, so that it prefills again.
    fleet[2].record.role = EngineRole::Prefill;
    fleet.run(Milliseconds(600));
    cr_assert(fleet[2].record.role == EngineRole::Prefill);
    cr_assert(fleet[4].record.role == EngineRole::Decode);
}

Test(load_pattern, an_engine_whose_change_is_no_longer_wanted_can_be_chosen_later)
{
    Fleet fleet(12, 2);
    fleet.run(Milliseconds(3000));
    fleet.deaf = { TargetId("e2") };
    fleet[0].isLost = true;
    fleet.run(Milliseconds(600));
    // The lost engine is back before the other one has begun its change.
    fleet[0].isLost = false;
    fleet.run(Milliseconds(300));
    fleet.deaf.clear();
    fleet[0].isLost = true;
    fleet.run(Milliseconds(600));
    cr_assert(fleet[2].record.role == EngineRole::Decode);
}

Test(load_pattern, a_brief_silence_of_a_decode_engine_changes_no_role)
{
    Fleet fleet(12, 2);
    fleet.run(Milliseconds(3000));
    fleet[0].isLost = true;
    fleet.run(Tick);
    fleet[0].isLost = false;
    fleet.run(Milliseconds(10000));
    cr_assert_eq(fleet.orders(), 0U);
}

Test(load_pattern, decode_engines_at_their_request_limits_are_replaced_while_the_limits_last)
{
    Fleet fleet(12, 2);
    fleet.demand.prompts = 27;
    fleet.run(Milliseconds(10000));
    for (const size_t index : { 0, 1 })
        fleet[index].limit = ShortLimit;
    cr_assert_leq(fleet.runUntilDecoding(4).count(), RecoveryTarget.count());
    fleet.run(Milliseconds(10000));
    cr_assert_eq(fleet.decoding(), 4U, "the limited ones go on decoding");
    cr_assert_eq(fleet.orders(), 2U);
    for (const size_t index : { 0, 1 })
        fleet[index].limit.reset();
    fleet.run(Milliseconds(20000));
    cr_assert_eq(fleet.decoding(), 2U);
    cr_assert_eq(fleet.orders(), 4U);
}

// Guards against a pool whose engines all state limits and swap their roles in turn: each change
// takes an engine out of service, and none gains anything.
Test(load_pattern, prefill_engines_with_low_limits_are_not_made_decode_engines)
{
    Fleet fleet(12, 2);
    fleet.run(Milliseconds(10000));
    const size_t before = fleet.orders();
    fleet.demand.prompts = 27;
    for (size_t index = 0; index < 12; ++index)
        fleet[index].limit
            = index < 2 ? ShortLimit : conditions::StatedLimits::Limit { 1.2, {}, true };
    fleet.run(Milliseconds(20000));
    cr_assert_eq(fleet.orders(), before);
    // Those without a limit replace the decode engines.
    for (const size_t index : { 4, 7, 9 })
        fleet[index].limit.reset();
    fleet.run(Milliseconds(20000));
    cr_assert_eq(fleet.orders(), before + 2);
}

// Guards against decode engines that stay at their limits while the limits of prefill engines are
// hardly used: each prompt is one request to either role.
Test(load_pattern, equal_limits_of_all_engines_are_used_by_both_roles)
{
    Fleet fleet(12, 2);
    fleet.run(Milliseconds(10000));
    fleet.demand.prompts = 27;
    for (size_t index = 0; index < 12; ++index)
        fleet[index].limit = conditions::StatedLimits::Limit { 4.5, {}, index < 2 };
    cr_assert_leq(fleet.runUntilDecoding(6).count(), RecoveryTarget.count());
    // The new ones are at their limits too; limits and demand vary.
    for (size_t index = 0; index < 12; ++index)
        fleet[index].limit->isShort = true;
    for (int second = 0; second < 20; ++second) {
        fleet.demand.prompts = second % 2 == 0 ? 24 : 30;
        fleet.run(Milliseconds(1000));
    }
    cr_assert_eq(fleet.decoding(), 6U);
    cr_assert_eq(fleet.orders(), 4U);
    for (size_t index = 0; index < 12; ++index)
        fleet[index].limit.reset();
    fleet.run(Milliseconds(20000));
    cr_assert_eq(fleet.decoding(), 2U);
}

Test(roles, limited_decode_engines_are_not_replaced_by_the_last_engine_that_prefills)
{
    Fleet fleet(3, 2);
    fleet.demand.prompts = 27;
    fleet.run(Milliseconds(10000));
    const size_t before = fleet.orders();
    for (const size_t index : { 0, 1 })
        fleet[index].limit = ShortLimit;
    fleet.run(Milliseconds(10000));
    cr_assert_eq(fleet.orders(), before);
}

Test(load_pattern, bursts_that_alternate_change_roles_once)
{
    Fleet fleet(12, 2);
    for (int burst = 0; burst < 5; ++burst) {
        fleet.demand = { 3, 4 };
        fleet.run(Milliseconds(2800));
        fleet.demand = { 1, 6 };
        fleet.run(Milliseconds(2800));
    }
    // One more decode engine; it is kept between the bursts.
    cr_assert_eq(fleet.orders(), 1U);
    fleet.run(Milliseconds(10000));
    cr_assert_eq(fleet.decoding(), 2U);
}

Test(load_pattern, spare_decode_engines_prefill_at_once_when_prefill_is_short)
{
    Fleet fleet(12, 2);
    fleet.demand = { 4, 4 };
    cr_assert_leq(fleet.runUntilDecoding(4).count(), RecoveryTarget.count());
    fleet.demand = { 0.7, 14 };
    fleet.run(RecoveryTarget);
    cr_assert_eq(fleet.decoding(), 2U);
}

Test(roles, the_first_start_splits_the_engines_before_traffic_begins)
{
    Fleet fleet(12, 12, true);
    fleet.run(RecoveryTarget);
    cr_assert_eq(fleet.decoding(), 2U);
    cr_assert_eq(fleet.orders(), 10U);
}

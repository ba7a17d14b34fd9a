#include "dispatch/Dispatch.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

fleet::TargetEntry engine(const std::string& id, EngineRole role, int64_t registration,
    const std::string& zone = "zone-a")
{
    fleet::TargetEntry entry;
    entry.id = TargetId(id);
    entry.zone = ZoneId(zone);
    entry.role = role;
    entry.registration = fleet::Registration(registration);
    return entry;
}

} // namespace

Test(roles, a_replaced_engine_that_starts_as_a_maker_moves_no_older_one)
{
    std::vector<fleet::TargetEntry> engines { engine("m", EngineRole::Decode, 1) };
    for (int index = 0; index < 5; ++index)
        engines.push_back(engine("r" + std::to_string(index), EngineRole::Prefill, 1));
    // Its id sorts before all others.
    engines.push_back(engine("a", EngineRole::Decode, 100));
    const std::set<TargetId> makers = planMakers({}, engines);
    cr_assert(makers == std::set<TargetId> { TargetId("m") });
    cr_assert(plannedChange(makers, engines.back()) == EngineRole::Prefill);
    cr_assert_not(plannedChange(makers, engines.front()).has_value());
}

Test(roles, makers_are_spread_over_zones)
{
    std::vector<fleet::TargetEntry> engines;
    engines.reserve(12);
    for (int index = 0; index < 12; ++index)
        engines.push_back(engine(std::string(1, static_cast<char>('a' + index)), EngineRole::Decode,
            1, index < 6 ? "zone-a" : "zone-b"));
    const std::set<TargetId> makers = planMakers({}, engines);
    cr_assert_eq(makers.size(), 2U);
    cr_assert(makers.contains(TargetId("a")));
    cr_assert(makers.contains(TargetId("g")));
}

Test(roles, leaving_engines_take_no_part_and_one_engine_does_all)
{
    std::vector<fleet::TargetEntry> engines { engine("a", EngineRole::Decode, 1),
        engine("b", EngineRole::Prefill, 1) };
    engines.front().isLeaving = true;
    const std::set<TargetId> makers = planMakers({}, engines);
    cr_assert(makers == std::set<TargetId> { TargetId("b") });
    cr_assert_not(plannedChange(makers, engines.front()).has_value());
    cr_assert(planMakers({}, {}).empty());
}

Test(roles, an_engine_on_its_way_to_another_role_counts_for_the_new_one)
{
    const OrderedRoles ordered { { TargetId("b"), EngineRole::Prefill } };
    const std::vector<fleet::TargetEntry> engines {
        withOrderedRole(engine("a", EngineRole::Prefill, 1), ordered),
        withOrderedRole(engine("b", EngineRole::Decode, 2), ordered),
        withOrderedRole(engine("c", EngineRole::Decode, 3), ordered),
    };
    // The order to b is under way, so that c is the maker to keep.
    cr_assert(planMakers({}, engines) == std::set<TargetId> { TargetId("c") });
    cr_assert_not(plannedChange(planMakers({}, engines), engines[2]).has_value());
}

#include "RoleTestFleet.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::roles;
using namespace citronspoke::roles::tests;

Test(roles, a_new_engine_that_starts_in_decode_does_not_displace_an_older_one)
{
    std::vector<PlannedEngine> engines { engine("m", EngineRole::Decode, 1) };
    for (int index = 0; index < 5; ++index)
        engines.push_back(engine("r" + std::to_string(index), EngineRole::Prefill, 1));
    // Its id sorts before all others.
    engines.push_back(engine("a", EngineRole::Decode, 100));
    cr_assert(chooseDecodeEngines(engines, { 1 }) == std::set<TargetId> { TargetId("m") });
}

Test(roles, decode_engines_are_spread_over_zones)
{
    std::vector<PlannedEngine> engines;
    engines.reserve(12);
    for (int index = 0; index < 12; ++index)
        engines.push_back(engine(std::string(1, static_cast<char>('a' + index)), EngineRole::Decode,
            1, index < 6 ? "zone-a" : "zone-b"));
    const std::set<TargetId> decodeEngines
        = chooseDecodeEngines(engines, { splitRoles(engines.size(), {}).decodeEngines });
    cr_assert_eq(decodeEngines.size(), 2U);
    cr_assert(decodeEngines.contains(TargetId("a")));
    cr_assert(decodeEngines.contains(TargetId("g")));
}

Test(roles, an_additional_decode_engine_comes_from_a_zone_without_one)
{
    const std::vector<PlannedEngine> engines {
        engine("a", EngineRole::Decode, 5, "zone-a"),
        engine("b", EngineRole::Prefill, 1, "zone-a"),
        engine("c", EngineRole::Prefill, 2, "zone-b"),
    };
    cr_assert(chooseDecodeEngines(engines, { 2 })
        == std::set<TargetId>({ TargetId("a"), TargetId("c") }));
}

Test(roles, leaving_and_lost_engines_are_ignored_and_a_single_engine_decodes)
{
    std::vector<PlannedEngine> engines { engine("a", EngineRole::Decode, 1),
        engine("b", EngineRole::Decode, 1), engine("c", EngineRole::Prefill, 1) };
    engines[0].record.isLeaving = true;
    engines[1].isLost = true;
    cr_assert(chooseDecodeEngines(engines, { splitRoles(1, {}).decodeEngines })
        == std::set<TargetId> { TargetId("c") });
    cr_assert(chooseDecodeEngines({}, { 1 }).empty());
    cr_assert_eq(splitRoles(0, {}).decodeEngines, 0U);
}

Test(roles, the_loss_of_one_decode_engine_leaves_another)
{
    for (size_t engines = 4; engines <= 840; ++engines) {
        const uint32_t decoding = splitRoles(engines, {}).decodeEngines;
        cr_expect_geq(decoding, 2U, "%zu engines", engines);
        cr_expect_lt(decoding, engines, "%zu engines", engines);
    }
}

Test(load_pattern, many_short_prompts_get_more_decode_engines_and_long_prompts_do_not)
{
    // A transfer to each decode engine at a time: 440 short prompts a second at 9 ms each.
    cr_expect_geq(splitRoles(12, { 4, 3 }).decodeEngines, 4U);
    // Long prompts keep 9 of 12 engines busy with prefill.
    cr_expect_eq(splitRoles(12, { 0.7, 9 }).decodeEngines, 2U);
}

Test(load_pattern, an_overload_of_both_roles_is_shared_between_them)
{
    const RoleSplit split = splitRoles(12, { 8, 16 });
    cr_expect(split.isShort);
    cr_expect_geq(split.decodeEngines, 3U);
    cr_expect_leq(split.decodeEngines, 5U);
}

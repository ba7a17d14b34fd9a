#include "dispatch/Dispatch.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

fleet::TargetRecord engine(const std::string& id, EngineRole role, int64_t registration,
    const std::string& zone = "zone-a")
{
    fleet::TargetRecord record;
    record.id = TargetId(id);
    record.zone = ZoneId(zone);
    record.role = role;
    record.registration = fleet::RegistrationNumber(registration);
    return record;
}

} // namespace

Test(roles, a_new_engine_that_starts_in_decode_does_not_displace_an_older_one)
{
    std::vector<fleet::TargetRecord> engines { engine("m", EngineRole::Decode, 1) };
    for (int index = 0; index < 5; ++index)
        engines.push_back(engine("r" + std::to_string(index), EngineRole::Prefill, 1));
    // Its id sorts before all others.
    engines.push_back(engine("a", EngineRole::Decode, 100));
    const std::set<TargetId> decodeEngines = planDecodeEngines({}, engines);
    cr_assert(decodeEngines == std::set<TargetId> { TargetId("m") });
    cr_assert(plannedRoleChange(decodeEngines, engines.back()) == EngineRole::Prefill);
    cr_assert_not(plannedRoleChange(decodeEngines, engines.front()).has_value());
}

Test(roles, decode_engines_are_spread_over_zones)
{
    std::vector<fleet::TargetRecord> engines;
    engines.reserve(12);
    for (int index = 0; index < 12; ++index)
        engines.push_back(engine(std::string(1, static_cast<char>('a' + index)), EngineRole::Decode,
            1, index < 6 ? "zone-a" : "zone-b"));
    const std::set<TargetId> decodeEngines = planDecodeEngines({}, engines);
    cr_assert_eq(decodeEngines.size(), 2U);
    cr_assert(decodeEngines.contains(TargetId("a")));
    cr_assert(decodeEngines.contains(TargetId("g")));
}

Test(roles, leaving_engines_are_ignored_and_a_single_engine_decodes)
{
    std::vector<fleet::TargetRecord> engines { engine("a", EngineRole::Decode, 1),
        engine("b", EngineRole::Prefill, 1) };
    engines.front().isLeaving = true;
    const std::set<TargetId> decodeEngines = planDecodeEngines({}, engines);
    cr_assert(decodeEngines == std::set<TargetId> { TargetId("b") });
    cr_assert_not(plannedRoleChange(decodeEngines, engines.front()).has_value());
    cr_assert(planDecodeEngines({}, {}).empty());
}

Test(roles, an_ordered_role_counts_before_the_engine_has_taken_it)
{
    const OrderedRoles ordered { { TargetId("b"), EngineRole::Prefill } };
    const std::vector<fleet::TargetRecord> engines {
        withOrderedRole(engine("a", EngineRole::Prefill, 1), ordered),
        withOrderedRole(engine("b", EngineRole::Decode, 2), ordered),
        withOrderedRole(engine("c", EngineRole::Decode, 3), ordered),
    };
    // Engine b was ordered to prefill, so c is the decode engine to keep.
    cr_assert(planDecodeEngines({}, engines) == std::set<TargetId> { TargetId("c") });
    cr_assert_not(plannedRoleChange(planDecodeEngines({}, engines), engines[2]).has_value());
}

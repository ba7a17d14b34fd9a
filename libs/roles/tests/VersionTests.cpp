// Roles while engines of several software versions serve in one pool.
#include "RoleTestFleet.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::roles;
using namespace citronspoke::roles::tests;

namespace {

constexpr EngineRole Prefill = EngineRole::Prefill;
constexpr EngineRole Decode = EngineRole::Decode;

PlannedEngine versioned(
    const std::string& id, EngineRole role, int64_t registration, const std::string& version)
{
    return engine(id, role, registration, "zone-a", version);
}

std::set<TargetId> ids(std::initializer_list<const char*> names)
{
    std::set<TargetId> ids;
    for (const char* name : names)
        ids.emplace(name);
    return ids;
}

/** @return whether a version has two usable engines, of which only one decodes. */
bool hasLoneDecodeEngine(Fleet& fleet)
{
    std::map<SoftwareVersion, size_t> usable;
    for (size_t index = 0; index < fleet.size(); ++index) {
        if (!fleet[index].record.isLeaving && !fleet[index].isLost)
            usable[fleet[index].record.version] += 1;
    }
    const std::map<SoftwareVersion, size_t> decoding = fleet.decodingByVersion();
    return std::any_of(decoding.begin(), decoding.end(),
        [&usable](const auto& item) { return item.second == 1 && usable[item.first] > 1; });
}

} // namespace

Test(versions, decode_engines_that_share_a_version_come_before_one_that_is_alone)
{
    const std::vector<PlannedEngine> engines { versioned("a", Decode, 1, "v1"),
        versioned("b", Decode, 2, "v2"), versioned("c", Decode, 3, "v2"),
        versioned("d", Prefill, 4, "v1"), versioned("e", Prefill, 5, "v2") };
    cr_assert(chooseDecodeEngines(engines, { 2 }) == ids({ "b", "c" }));
}

Test(versions, an_additional_decode_engine_has_the_version_of_one_that_is_alone)
{
    const std::vector<PlannedEngine> engines { versioned("a", Decode, 1, "v1"),
        versioned("b", Prefill, 2, "v2"), versioned("c", Prefill, 3, "v2"),
        versioned("d", Prefill, 4, "v1") };
    cr_assert(chooseDecodeEngines(engines, { 2 }) == ids({ "a", "d" }));
}

// Guards against a decode engine that is given up before the one that replaces it serves.
Test(versions, a_decode_engine_that_is_alone_serves_until_another_version_has_two)
{
    std::vector<PlannedEngine> engines { versioned("a", Decode, 1, "v1"),
        versioned("b", Decode, 2, "v2"), versioned("c", Prefill, 3, "v2"),
        versioned("d", Prefill, 4, "v2"), versioned("e", Prefill, 5, "v1") };
    cr_assert(chooseDecodeEngines(engines, { 2 }) == ids({ "a", "b", "c" }));
    engines[2].record.role = Decode;
    engines[2].isChanging = true;
    cr_assert(chooseDecodeEngines(engines, { 2 }) == ids({ "a", "b", "c" }));
    engines[2].isChanging = false;
    cr_assert(chooseDecodeEngines(engines, { 2 }) == ids({ "b", "c" }));
}

Test(versions, an_odd_number_of_decode_engines_leaves_none_alone)
{
    const std::vector<PlannedEngine> engines { versioned("a", Decode, 1, "v1"),
        versioned("b", Decode, 2, "v2"), versioned("c", Decode, 3, "v1"),
        versioned("d", Decode, 4, "v2"), versioned("e", Prefill, 5, "v1"),
        versioned("f", Prefill, 6, "v2") };
    cr_assert(chooseDecodeEngines(engines, { 3 }) == ids({ "a", "b", "c", "d" }));
}

// Guards against decode engines of one zone when the versions are replaced zone by zone.
Test(versions, do_not_keep_decode_engines_from_being_spread_over_zones)
{
    std::vector<PlannedEngine> engines;
    for (int index = 0; index < 40; ++index) {
        const bool isOld = index < 20;
        engines.push_back(engine("e" + std::to_string(index), Decode, index + 1,
            isOld ? "zone-a" : "zone-b", isOld ? "v1" : "v2"));
    }
    size_t inOldZone = 0;
    for (const TargetId& id : chooseDecodeEngines(engines, { 8 }))
        inOldZone += std::stoi(id.text().substr(1)) < 20 ? 1 : 0;
    cr_assert_eq(inOldZone, 4U);
}

Test(versions, the_last_engine_that_prefills_goes_on_with_it)
{
    const std::vector<PlannedEngine> engines { versioned("a", Decode, 1, "v1"),
        versioned("b", Decode, 2, "v2"), versioned("c", Prefill, 3, "v2") };
    cr_assert(chooseDecodeEngines(engines, { 2 }) == ids({ "a", "b" }));
}

// Guards against streams that have nowhere to go on after the loss of one engine, although others
// of their version serve.
Test(load_pattern, two_versions_with_one_decode_engine_each_are_reduced_to_one_that_has_two)
{
    Fleet fleet(12, 2);
    for (size_t index = 1; index < 12; index += 2)
        fleet[index].record.version = SoftwareVersion("v2");
    fleet.run(SwitchTime + RecoveryTarget);
    cr_assert_not(hasLoneDecodeEngine(fleet));
    cr_assert_eq(fleet.decoding(), 2U);
    cr_assert_geq(fleet.leastDecoding, 2U);
    cr_assert_eq(fleet.orders(), 2U);
    fleet.run(Milliseconds(20000));
    cr_assert_eq(fleet.orders(), 2U);
}

Test(load_pattern, engines_replaced_by_a_new_version_leave_streams_an_engine_to_go_on)
{
    constexpr Milliseconds Gap { 600 };
    constexpr int64_t Replaced = 6;
    Fleet fleet(12, 2);
    fleet.run(Milliseconds(3000));
    for (int64_t number = 0; number < Replaced; ++number) {
        // Engines start in either role; the old one drains while others are replaced.
        fleet.add(versioned(
            "n" + std::to_string(number), number % 2 == 0 ? Decode : Prefill, 100 + number, "v2"));
        for (size_t index = 0; index < fleet.size(); ++index) {
            if (fleet[index].record.id == TargetId("e" + std::to_string(number)))
                fleet[index].record.isLeaving = true;
        }
        fleet.run(Gap);
    }
    for (int64_t number = 0; number < Replaced; ++number)
        fleet.remove(TargetId("e" + std::to_string(number)));
    fleet.run(2 * RecoveryTarget);
    cr_assert_not(hasLoneDecodeEngine(fleet));
    const size_t before = fleet.orders();
    fleet.run(Milliseconds(20000));
    cr_assert_not(hasLoneDecodeEngine(fleet));
    cr_assert_eq(fleet.orders(), before, "The plan is settled.");
}

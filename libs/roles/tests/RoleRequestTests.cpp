#include "RoleTestFleet.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace citronspoke;
using namespace citronspoke::roles;
using namespace citronspoke::roles::tests;

namespace {

const RoleChange ToDecode { TargetId("e1"), UnixMillis(7), EngineRole::Decode };

RoleRequest request(const std::string& gateway, const RoleChange& change, uint32_t planners)
{
    return { EntryId(gateway), { "10.0.0.1", 7 }, change, planners };
}

std::vector<EntryId> gateways(size_t count)
{
    std::vector<EntryId> ids;
    for (size_t index = 0; index < count; ++index)
        ids.emplace_back("g" + std::to_string(index));
    return ids;
}

} // namespace

Test(role_requests, count_once_half_of_the_planners_agree)
{
    RequestQuorum quorum;
    quorum.add(request("a", ToDecode, 5), at(Milliseconds(0)));
    quorum.add(request("a", ToDecode, 5), at(Milliseconds(100)));
    quorum.add(request("b", ToDecode, 5), at(Milliseconds(100)));
    cr_assert_not(quorum.agreedChange(at(Milliseconds(100))).has_value());
    quorum.add(request("c", ToDecode, 5), at(Milliseconds(200)));
    cr_assert(quorum.agreedChange(at(Milliseconds(200))) == ToDecode);
    cr_assert_eq(quorum.replyAddresses(at(Milliseconds(200))).size(), 3U);
}

Test(role_requests, of_a_gateway_that_changed_its_plan_or_fell_silent_do_not_count)
{
    const RoleChange toPrefill { TargetId("e1"), UnixMillis(7), EngineRole::Prefill };
    RequestQuorum quorum;
    for (const char* gateway : { "a", "b", "c" })
        quorum.add(request(gateway, ToDecode, 5), at(Milliseconds(0)));
    quorum.add(request("c", toPrefill, 5), at(Milliseconds(100)));
    cr_expect_not(quorum.agreedChange(at(Milliseconds(100))).has_value());
    cr_expect_not(quorum.agreedChange(at(Milliseconds(5000))).has_value());
}

Test(role_requests, go_through_the_same_few_planners_at_all_gateways)
{
    rc::check("planners are agreed on without messages", [] {
        const size_t count = *rc::gen::inRange<size_t>(1, 100);
        const TargetId engine("e" + std::to_string(*rc::gen::inRange(0, 1000)));
        std::vector<EntryId> all = gateways(count);
        const std::vector<EntryId> planners = plannersOf(engine, all);
        RC_ASSERT(planners.size() == std::min<size_t>(count, 5));
        std::reverse(all.begin(), all.end());
        RC_ASSERT(plannersOf(engine, all) == planners);
        // Another gateway takes at most one place.
        all.emplace_back("new");
        const std::vector<EntryId> after = plannersOf(engine, all);
        const auto kept
            = std::count_if(planners.begin(), planners.end(), [&after](const EntryId& planner) {
                  return std::find(after.begin(), after.end(), planner) != after.end();
              });
        RC_ASSERT(static_cast<size_t>(kept) + 1 >= planners.size());
    });
}

Test(role_requests, of_all_engines_are_spread_over_the_gateways)
{
    const std::vector<EntryId> all = gateways(68);
    std::map<EntryId, size_t> engines;
    for (int index = 0; index < 120; ++index) {
        for (const EntryId& planner : plannersOf(TargetId("e" + std::to_string(index)), all))
            engines[planner] += 1;
    }
    // 600 places over 68 gateways are about 9 each.
    for (const auto& [gateway, count] : engines)
        cr_expect_leq(count, 24U, "%s", gateway.text().c_str());
}

Test(fencing_numbers, grow_with_orders_and_restarts_and_stay_exact)
{
    fleet::EngineReport report;
    report.startedAt = UnixMillis(1796000000000);
    const FencingNumber first = nextFencingNumber(report);
    cr_expect_eq(nextFencingNumber(report), first);
    report.acceptedOrders = OrderSequence(1);
    const FencingNumber second = nextFencingNumber(report);
    cr_expect_gt(second, first);
    report.acceptedOrders = OrderSequence(0);
    report.startedAt = UnixMillis(report.startedAt.value() + 1);
    cr_expect_gt(nextFencingNumber(report), second);
    constexpr int64_t ExactInDouble = int64_t { 1 } << 53;
    cr_expect_lt(second.value(), ExactInDouble);
}

Test(reported_roles, count_before_the_record_and_until_it_changes)
{
    fleet::TargetRecord record = engine("e1", EngineRole::Prefill, 1).record;
    record.startedAt = UnixMillis(7);
    const SteadyTime now = at(Milliseconds(0));
    ReportedRoles roles;
    cr_assert(roles.note({ record.id, record.startedAt, EngineRole::Decode, true }, now));
    cr_assert_not(roles.note({ record.id, record.startedAt, EngineRole::Decode, true }, now));
    cr_expect(roles.withReportedRole(record, now).role == EngineRole::Decode);
    cr_expect(roles.isChanging(record, now));
    cr_expect(roles.changingSince(record, at(Milliseconds(500))) == now);
    cr_expect(roles.note({ record.id, record.startedAt, EngineRole::Decode, false }, now));
    cr_expect_not(roles.isChanging(record, now));
    roles.noteRecordChanged(record.id);
    cr_expect(roles.withReportedRole(record, now).role == EngineRole::Prefill);
}

Test(reported_roles, of_another_incarnation_or_a_change_without_end_do_not_count)
{
    fleet::TargetRecord record = engine("e1", EngineRole::Prefill, 1).record;
    record.startedAt = UnixMillis(8);
    ReportedRoles roles;
    roles.note({ record.id, UnixMillis(7), EngineRole::Decode, false }, at(Milliseconds(0)));
    cr_expect(roles.withReportedRole(record, at(Milliseconds(0))).role == EngineRole::Prefill);
    roles.note({ record.id, record.startedAt, EngineRole::Decode, true }, at(Milliseconds(0)));
    cr_expect_not(roles.isChanging(record, at(Milliseconds(60000))));
}

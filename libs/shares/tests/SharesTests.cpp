#include "shares/Shares.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <numeric>

using namespace citronspoke;
using namespace citronspoke::shares;

namespace {

const SteadyTime Start { std::chrono::hours(1) };
const OrganisationId Large("large");
const OrganisationId Small("small");

SteadyTime at(int milliseconds) { return Start + Milliseconds(milliseconds); }

UseSummary summaryOf(std::initializer_list<std::pair<const OrganisationId, EngineTime>> items)
{
    UseSummary summary;
    summary.heaviest = items;
    return summary;
}

} // namespace

Test(engine_time_use, adds_up_the_last_five_seconds)
{
    EngineTimeUse use;
    use.noteWanted(Large, 100, at(0));
    use.noteUsed(Large, 100, at(0));
    use.noteWanted(Large, 50, at(3000));
    cr_assert(use.summary(at(4700)).heaviest.at(Large) == (EngineTime { 100, 150 }));
    cr_assert(use.summary(at(5300)).heaviest.at(Large) == (EngineTime { 0, 50 }));
    cr_assert(use.summary(at(8300)).heaviest.empty());
}

// Guards against work that never ran and still counts against its organisation.
Test(engine_time_use, work_that_did_not_run_is_taken_back)
{
    EngineTimeUse use;
    use.noteUsed(Large, 100, at(0));
    use.noteNotRun(Large, 100, at(1000));
    cr_assert(use.summary(at(1100)).heaviest.empty());
    // The slot that was added to expires before the one that was subtracted from.
    cr_assert(use.summary(at(5300)).heaviest.empty());
}

Test(max_min, gives_what_the_small_do_not_want_to_the_large)
{
    cr_assert_float_eq(*maxMinLevel({ 1, 2, 10, 10 }, 13), 5, 1e-9);
    cr_assert_not(maxMinLevel({ 1, 2, 10 }, 13));
    cr_assert_float_eq(*maxMinLevel({ 10, 10 }, 0), 0, 1e-9);
    cr_assert_not(maxMinLevel({}, 0));
}

// Guards against limits in a pool that has capacity left.
Test(fair_shares, nobody_is_over_its_share_while_there_is_capacity)
{
    FairShares shares;
    shares.update(summaryOf({ { Large, { 900, 2000 } }, { Small, { 100, 100 } } }), 8, at(0));
    cr_assert_not(shares.isOverShare(Large, at(0)));
    shares.noteState({ 8, 8, Milliseconds(0) }, at(0));
    cr_assert(shares.isOverShare(Large, at(0)));
    cr_assert_not(shares.isOverShare(Small, at(0)));
    cr_assert_eq(shares.organisationsOverShare(at(0)), 1U);
    cr_assert_float_eq(*shares.share(Large, at(0)), 860, 1e-9);
    cr_assert_not(shares.isOverShare(Large, at(2001)));
}

// Guards against a limit on a single organisation, which has nobody to leave capacity to.
Test(fair_shares, a_part_of_the_requests_is_within_the_share)
{
    FairShares shares;
    shares.noteState({ 8, 8, Milliseconds(0) }, at(0));
    shares.update(summaryOf({ { Large, { 600, 2000 } }, { Small, { 400, 400 } } }), 8, at(0));
    int over = 0;
    for (int index = 0; index < 1000; ++index) {
        if (shares.classifyOver(Large, 10, at(1)))
            over += 1;
        else
            shares.noteUsed(Large, 10);
    }
    cr_assert_float_eq(over, 720, 5);
    for (int index = 0; index < 100; ++index)
        cr_assert_not(shares.classifyOver(Small, 10, at(1)));
}

Test(use_exchange, all_gateways_learn_the_sum)
{
    for (const size_t count : { 1U, 2U, 5U, 27U, 330U }) {
        std::vector<EntryId> ids;
        std::vector<UseExchange> exchanges;
        for (size_t index = 0; index < count; ++index) {
            ids.emplace_back("gateway-" + std::to_string(index));
            exchanges.emplace_back(ids.back(), PoolId("pool"));
        }
        const UseSummary own = summaryOf({ { Large, { 3, 4 } }, { Small, { 1, 1 } } });
        for (UseExchange& exchange : exchanges)
            exchange.updateGateways(ids);
        for (int round = 0; round < 4; ++round) {
            for (UseExchange& exchange : exchanges) {
                for (const UseExchange::Outgoing& outgoing :
                    exchange.takeReports(own, at(500 * round))) {
                    for (const EntryId& recipient : outgoing.recipients) {
                        const auto found = std::find(ids.begin(), ids.end(), recipient);
                        exchanges[static_cast<size_t>(found - ids.begin())].onReport(
                            outgoing.report, at(500 * round));
                    }
                }
            }
        }
        for (const UseExchange& exchange : exchanges) {
            const UseSummary total = exchange.total(own, at(1600));
            cr_assert_float_eq(
                total.heaviest.at(Large).used, 3.0 * static_cast<double>(count), 0.01);
            cr_assert_float_eq(
                total.heaviest.at(Large).wanted, 4.0 * static_cast<double>(count), 0.01);
        }
    }
}

// Guards against a gateway that is gone and still counts.
Test(use_exchange, reports_expire_after_two_seconds)
{
    const std::vector<EntryId> ids { EntryId("a"), EntryId("b") };
    UseExchange exchange(ids[0], PoolId("pool"));
    exchange.updateGateways(ids);
    exchange.onReport(
        { ids[1], PoolId("pool"), UseScope::Group, summaryOf({ { Large, { 5, 5 } } }) }, at(0));
    cr_assert_eq(exchange.total({}, at(2000)).heaviest.size(), 1U);
    cr_assert(exchange.total({}, at(2001)).heaviest.empty());
}

Test(admission, refuses_what_cannot_be_served_in_time_and_spreads_the_returns)
{
    Admission admission;
    const PoolState busy { 8, 8, Milliseconds(4000) };
    AdmissionRequest request { 1, 0, Milliseconds(4000), Milliseconds(100), Milliseconds(3000) };
    std::vector<int64_t> waits;
    for (const double draw : { 0.0, 0.5, 0.99 }) {
        request.fingerprint += 1;
        const std::optional<Milliseconds> wait = admission.refusal(request, busy, 1, draw, at(0));
        cr_assert(wait.has_value());
        cr_assert_leq(wait->count(), 1000);
        waits.push_back(wait->count());
    }
    cr_assert(waits[0] < waits[1] && waits[1] < waits[2]);
    request.wait = Milliseconds(100);
    request.fingerprint = 9;
    cr_assert_not(admission.refusal(request, busy, 1, 0.5, at(0)).has_value());
}

Test(admission, never_refuses_while_half_of_the_slots_are_free_and_nothing_waits)
{
    Admission admission;
    const AdmissionRequest request { 1, 0, Milliseconds(9000), Milliseconds(9000), Milliseconds(10),
        false };
    cr_assert_not(admission.refusal(request, { 8, 4, Milliseconds(0) }, 1, 0, at(0)).has_value());
    cr_assert(admission.refusal(request, { 8, 5, Milliseconds(0) }, 1, 0, at(0)).has_value());
}

// Guards against large requests that no load would let through.
Test(admission, size_is_no_reason_to_refuse)
{
    Admission admission;
    const PoolState busy { 8, 8, Milliseconds(500) };
    const AdmissionRequest request { 1, 0, Milliseconds(500), Milliseconds(5000),
        Milliseconds(3000) };
    cr_assert_not(admission.refusal(request, busy, 8, 0.5, at(0)).has_value());
}

// Guards against new callers that take the places of those who were told to return.
Test(admission, a_caller_that_returns_goes_before_a_new_one_of_the_same_priority)
{
    Admission admission;
    const PoolState busy { 1, 1, Milliseconds(2950) };
    AdmissionRequest request { 1, 1, Milliseconds(2950), Milliseconds(100), Milliseconds(3000) };
    cr_assert(admission.refusal(request, busy, 1, 0.1, at(0)).has_value());
    request.wait = Milliseconds(2850);
    AdmissionRequest newcomer = request;
    newcomer.fingerprint = 2;
    cr_assert(admission.refusal(newcomer, busy, 1, 0.1, at(100)).has_value());
    newcomer.fingerprint = 3;
    newcomer.priority = 0;
    cr_assert_not(admission.refusal(newcomer, busy, 1, 0.1, at(100)).has_value());
    cr_assert_not(admission.isReturning(1, at(100)));
    cr_assert(admission.refusal(request, busy, 1, 0.1, at(100)).has_value());
    cr_assert(admission.isReturning(1, at(1000)));
    cr_assert_not(admission.refusal(request, busy, 1, 0.1, at(1000)).has_value());
}

#include "DutyModel.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::duties;
using namespace citronspoke::duties::tests;

namespace {

const BootTime Start { std::chrono::hours(1) };
const DutyLease::Options Options {};
const BootTime Ready = Start + Options.leaseTime + Options.extraWait;

BootTime after(BootTime time, int milliseconds) { return time + Milliseconds(milliseconds); }

DutyLease heldLease()
{
    DutyLease lease(Options, Start);
    lease.noteAcquired(FencingNumber(7), Ready);
    return lease;
}

void expectNoViolation(const ModelLimits& limits)
{
    const ModelResult result = explore(limits, ModelOptions);
    cr_log_info("%zu states, %zu acts", result.states, result.acts);
    cr_assert(result.violation.empty(), "%s", result.violation.c_str());
    cr_assert_gt(result.acts, 0);
}

} // namespace

// Guards against a process that takes over while an earlier incarnation's holder may still act.
Test(duty_lease, is_not_acquired_before_the_wait_after_a_start_or_restore)
{
    DutyLease lease(Options, Start);
    cr_assert_not(lease.mayAcquire(after(Ready, -1)));
    cr_assert(lease.mayAcquire(Ready));
    lease.noteRestored(Ready);
    cr_assert_not(lease.mayAcquire(after(Ready, 3499)));
    cr_assert(lease.mayAcquire(after(Ready, 3500)));
}

// Guards against a holder that acts after the store may have ended its lease.
Test(duty_lease, ends_before_the_store_can_end_it)
{
    DutyLease lease = heldLease();
    cr_assert(lease.mayAct(after(Ready, 2699)));
    cr_assert_not(lease.mayAct(after(Ready, 2700)));
    lease.noteRenewed(after(Ready, 1000));
    cr_assert(lease.mayAct(after(Ready, 3699)));
    // A response to an earlier renewal arrives late.
    lease.noteRenewed(after(Ready, 500));
    cr_assert(lease.mayAct(after(Ready, 3699)));
    lease.noteRestored(after(Ready, 3000));
    cr_assert_not(lease.mayAct(after(Ready, 3000)));
}

// Guards against a holder that acts on resuming, before it knows whether it still has the lease.
Test(duty_lease, is_renewed_first_after_a_gap)
{
    DutyLease lease = heldLease();
    cr_assert_not(lease.needsRenewal(after(Ready, 900)));
    lease.noteGap(after(Ready, 900));
    cr_assert(lease.needsRenewal(after(Ready, 900)));
    cr_assert_not(lease.mayAct(after(Ready, 900)));
    // A renewal sent before the gap shows nothing.
    lease.noteRenewed(after(Ready, 800));
    cr_assert_not(lease.mayAct(after(Ready, 950)));
    lease.noteRenewed(after(Ready, 900));
    cr_assert(lease.mayAct(after(Ready, 950)));
}

// Guards against calls in the order A, B, A.
Test(duty_lease, that_is_acquired_again_waits_since_the_last_call)
{
    DutyLease lease = heldLease();
    lease.noteCall(after(Ready, 100));
    lease.noteLost();
    lease.noteAcquired(FencingNumber(9), after(Ready, 1000));
    lease.noteRenewed(after(Ready, 2000));
    cr_assert_not(lease.mayAct(after(Ready, 3099)));
    cr_assert(lease.mayAct(after(Ready, 3100)));
}

// Guards against a fencing number that falls when the store is restored or a clock is set back.
Test(duty_lease, numbers_rise_above_all_that_are_known)
{
    DutyLease lease = heldLease();
    cr_assert_eq(lease.nextFencingNumber(UnixMillis(5)).value(), 8);
    cr_assert_eq(lease.nextFencingNumber(UnixMillis(50)).value(), 50);
    lease.noteFencingNumber(FencingNumber(90));
    cr_assert_eq(lease.nextFencingNumber(UnixMillis(50)).value(), 91);
}

// Guards against any order of events that breaks a requirement of the duties.
Test(duty_model, keeps_the_requirements_with_two_processes)
{
    expectNoViolation({ 2, 9, 0, 1, 0, 0 });
    expectNoViolation({ 2, 7, 1, 0, 0, 0 });
    expectNoViolation({ 2, 7, 0, 1, 0, 1 });
    expectNoViolation({ 2, 6, 0, 0, 1, 1 });
}

Test(duty_model, keeps_the_requirements_with_three_processes)
{
    expectNoViolation({ 3, 4, 0, 1, 0, 1 });
}

// Guards against a fencing number that is given out twice: clocks differ by up to 6 s, two lease
// times, until three gateways have exchanged theirs.
Test(duty_model, keeps_the_requirements_while_clocks_differ_by_two_lease_times)
{
    ModelLimits limits { 2, 7, 1, 0, 0, 0 };
    limits.clockStep = 6;
    expectNoViolation(limits);
}

// Shows that the model finds faults: without the margin, without the wait after a restore.
Test(duty_model, finds_a_holder_that_acts_too_long)
{
    DutyLease::Options options = ModelOptions;
    options.safetyMargin = Milliseconds(-1);
    cr_assert_not(explore({ 2, 9, 0, 1, 0, 1 }, options).violation.empty());
}

Test(duty_model, finds_a_missing_wait_after_a_restore)
{
    DutyLease::Options options = ModelOptions;
    options.extraWait = -options.leaseTime;
    cr_assert_not(explore({ 2, 9, 1, 0, 0, 0 }, options).violation.empty());
}

#include "DutyFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

namespace {

constexpr Milliseconds TwoWindows = 2 * DutyFixture::Window;
/** After this the window in which the gateways started has been reported, 2 s before it is due. */
constexpr Milliseconds WarmUp = 3 * DutyFixture::Window;

void startWithHolder(DutyFixture& fixture, size_t gateways = 4)
{
    fixture.start(gateways);
    fixture.waitForHolder();
}

} // namespace

// Guards against reports that are missing, late, doubled or wrong when nothing fails, and against
// calls that are billed without need.
Test(duties, each_window_is_reported_once_when_nothing_fails)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(2 * TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(5);
    std::set<int64_t> windows;
    for (const DutyCall& call : fixture.api().calls())
        cr_assert(windows.insert(call.window).second, "window %ld was posted twice", call.window);
}

// Guards against a window that is lost with its holder before it is recorded.
Test(duties, a_holder_killed_before_it_records_a_window_is_replaced)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(WarmUp);
    constexpr int64_t JustBeforeRecord = 2800;
    fixture.runUntil(
        [] { return unixNow().value() % DutyFixture::Window.count() >= JustBeforeRecord; });
    fixture.kill(fixture.waitForHolder());
    fixture.run(TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(4);
}

// Guards against two reports of a window whose post was under way when its holder was killed.
Test(duties, a_holder_killed_during_a_post_is_replaced)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.api().slowDown(Milliseconds(700));
    fixture.runUntil([&] { return fixture.api().calls().size() >= 2; });
    fixture.kill(fixture.waitForHolder());
    fixture.api().slowDown(Milliseconds(0));
    fixture.run(TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(4);
}

// Guards against a different second report by the next holder.
Test(duties, a_holder_killed_after_a_post_is_replaced)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.runUntil([&] { return fixture.api().accepted() >= 2; });
    fixture.kill(fixture.waitForHolder());
    fixture.run(TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(4);
}

// Guards against a holder that acts on resuming although another process has acquired the duties.
Test(duties, a_suspended_holder_does_not_act_on_resuming)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(WarmUp);
    const size_t holder = fixture.waitForHolder();
    constexpr Milliseconds LongerThanLease { 5000 };
    fixture.suspend(holder, LongerThanLease);
    fixture.runUntil([&] { return fixture.holder() && *fixture.holder() != holder; });
    fixture.run(LongerThanLease);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(4);
}

// Guards against a holder that acts or is replaced wrongly after a pause within its lease.
Test(duties, a_holder_suspended_within_its_lease_goes_on)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(WarmUp);
    fixture.suspend(fixture.waitForHolder(), Milliseconds(1500));
    fixture.run(TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(3);
}

// Guards against windows that are lost while the store is down, and against holders without it.
Test(duties, windows_that_end_while_the_store_is_down_are_reported)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(WarmUp);
    fixture.store().refuse(true);
    fixture.run(Milliseconds(4000));
    fixture.store().refuse(false);
    fixture.run(TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(4);
}

// Guards against windows that are dropped, or posted too fast, when the platform is overloaded.
Test(duties, windows_refused_with_429_or_503_are_posted_again)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(WarmUp);
    fixture.api().answerWith(429);
    fixture.run(Milliseconds(2500));
    fixture.api().answerWith(503);
    fixture.run(Milliseconds(2500));
    fixture.api().answerWith(200);
    fixture.run(DutyFixture::Window);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(4);
    constexpr Milliseconds PaceAtHalfRate { 40 };
    const std::vector<DutyCall> calls = fixture.api().calls();
    for (size_t index = 1; index < calls.size(); ++index)
        cr_assert_geq((calls[index].at - calls[index - 1].at) / PaceAtHalfRate, 1);
}

// Guards against a holder that waits for ever for the platform, or reports a window differently.
Test(duties, windows_without_response_are_posted_again)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(WarmUp);
    fixture.api().answerWith(0);
    fixture.run(Milliseconds(4000));
    fixture.api().answerWith(200);
    fixture.api().slowDown(Milliseconds(600));
    fixture.run(TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(4);
}

// Guards against fencing tokens that fall and windows that are reported again differently after a
// restore that lost the holder, its token and the records.
Test(duties, a_restored_store_changes_no_report_and_no_token)
{
    DutyFixture fixture;
    fixture.start(4);
    const auto copy = fixture.store().copy();
    fixture.waitForHolder();
    fixture.runUntil([&] { return fixture.api().accepted() >= 2; });
    fixture.store().restore(*copy);
    fixture.run(2 * TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(5);
}

// Guards against the loss of the holder together with the store's newest contents.
Test(duties, a_restore_while_the_holder_is_killed_changes_no_report)
{
    DutyFixture fixture;
    fixture.start(4);
    const auto copy = fixture.store().copy();
    fixture.waitForHolder();
    fixture.runUntil([&] { return fixture.api().accepted() >= 2; });
    fixture.kill(fixture.waitForHolder());
    fixture.store().restore(*copy);
    fixture.run(2 * TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(5);
}

// Guards against counts that double or vanish when a gateway starts anew under its id.
Test(duties, a_gateway_started_anew_keeps_its_counts_apart)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(WarmUp);
    const size_t holder = fixture.waitForHolder();
    fixture.kill(holder);
    fixture.startAnew(holder);
    fixture.run(2 * TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(5);
}

// Guards against requests counted in another window by a gateway whose clock is wrong.
Test(duties, a_gateway_whose_clock_is_wrong_counts_in_the_right_window)
{
    for (const int64_t skew : { 6000, -6000 }) {
        DutyFixture fixture;
        fixture.clocks = [skew](size_t number) {
            Clocks clocks;
            if (number == 0)
                clocks.wall = [skew] { return UnixMillis(unixNow().value() + skew); };
            return clocks;
        };
        startWithHolder(fixture);
        fixture.run(TwoWindows);
        fixture.settle();
        fixture.expectRules();
        fixture.expectReports(3);
    }
}

// Guards against counts that rise with repeated messages or fall with late ones.
Test(duties, duplicate_and_late_counts_change_nothing)
{
    // All of three gateways are collectors.
    DutyFixture fixture(3);
    startWithHolder(fixture, 3);
    fixture.run(DutyFixture::Window);
    const int64_t window = DutyFixture::windowNow();
    const duties::CountSource source { EntryId("gateway-9"), UnixMillis(1) };
    // As the gateway would send it, to all collectors.
    const auto send = [&](uint64_t count) {
        const duties::CountsMessage message { source, unixNow(), duties::WindowNumber(window),
            { { OrganisationId("o9"), count } } };
        for (size_t collector = 0; collector < 3; ++collector)
            fixture.post(
                collector, [message](Gateway& gateway) { gateway.context().onCounts(message); });
    };
    send(5);
    send(9);
    send(9);
    send(5);
    fixture.runUntil([&] { return DutyFixture::windowNow() > window; });
    fixture.settle();
    // Long after the report.
    send(100);
    fixture.run(Milliseconds(1000));
    fixture.settle();
    fixture.expectRules();
    for (const DutyCall& call : fixture.api().calls()) {
        if (call.window == window)
            cr_assert_eq(countsOf(call.body)["o9"], 9);
    }
}

// Guards against a gateway that replaces the holder whom it learns of while it acquires a lease.
Test(duties, gateways_that_acquire_at_the_same_time_do_not_replace_each_other)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    const std::string holder = fixture.store().contents().at("citronspoke/duties/holder");
    // The calls of all gateways are slow, so that they overlap with the news of the holder.
    fixture.store().slowDown(Milliseconds(250));
    fixture.run(TwoWindows);
    cr_assert_eq(fixture.store().contents().at("citronspoke/duties/holder"), holder);
    fixture.store().slowDown(Milliseconds(0));
    fixture.settle();
    fixture.expectRules();
}

// Guards against a gap in the duties when the holder is stopped as planned.
Test(duties, a_stopped_holder_releases_the_duties)
{
    DutyFixture fixture;
    startWithHolder(fixture);
    fixture.run(WarmUp);
    const size_t holder = fixture.waitForHolder();
    fixture.post(holder, [](Gateway& gateway) { gateway.beginStop(); });
    const SteadyTime stoppedAt = steadyNow();
    fixture.runUntil([&] { return fixture.holder() && *fixture.holder() != holder; });
    cr_assert_lt((steadyNow() - stoppedAt) / DutyFixture::LeaseTime, 1);
    fixture.run(TwoWindows);
    fixture.settle();
    fixture.expectRules();
    fixture.expectReports(4);
}

// Guards against calls and messages of duties in deployments that state none.
Test(duties, nothing_runs_where_no_duty_is_stated)
{
    DutyFixture fixture(1);
    fixture.adjustSettings = nullptr;
    fixture.start();
    constexpr Milliseconds LongerThanAcquisition { 5000 };
    fixture.run(LongerThanAcquisition);
    cr_assert(fixture.api().calls().empty());
    for (const auto& [key, value] : fixture.store().contents())
        cr_assert_not(key.starts_with("citronspoke/duties/"));
}

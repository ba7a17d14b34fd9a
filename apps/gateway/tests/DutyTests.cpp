#include "DutyFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

namespace {

constexpr Milliseconds TwoWindows = 2 * DutyFixture::Window;

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
    fixture.run(TwoWindows);
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

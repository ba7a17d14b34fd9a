#include "duties/Duties.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::duties;

namespace {

const BootTime Start { std::chrono::hours(1) };
const OrganisationId Large("large");
const OrganisationId Small("small");
constexpr WindowNumber Window { 353445120 };

CountSource source(const std::string& gateway, int64_t startedAt = 1)
{
    return { EntryId(gateway), UnixMillis(startedAt) };
}

WindowNumber window(int64_t offset) { return WindowNumber(Window.value() + offset); }

/** A holder that has complete counts from the window on. */
UsageSchedule scheduleFrom(WindowNumber first)
{
    UsageSchedule schedule({});
    schedule.begin(first);
    schedule.noteCompleteSince(UnixMillis(schedule.endOf(first).value() - 5000));
    return schedule;
}

UnixMillis timeAfterEnd(const UsageSchedule& schedule, WindowNumber number, int64_t milliseconds)
{
    return UnixMillis(schedule.endOf(number).value() + milliseconds);
}

} // namespace

// Guards against counts that fall or double when messages are repeated, late or in parts.
Test(usage_counts, are_merged_from_repeated_late_and_partial_messages)
{
    UsageCounts counts;
    counts.merge(Window, source("a"), { { Large, 5 }, { Small, 1 } });
    counts.merge(Window, source("a"), { { Large, 9 } });
    counts.merge(Window, source("a"), { { Large, 5 }, { Small, 1 } });
    counts.merge(Window, source("b"), { { Large, 2 } });
    // The gateway was started anew.
    counts.merge(Window, source("a", 2), { { Large, 3 } });
    const Counts expected { { Large, 14 }, { Small, 1 } };
    cr_assert(counts.total(Window) == expected);
    cr_assert(counts.total(window(1)).empty());
}

// Guards against memory that grows with late messages of finished windows.
Test(usage_counts, of_finished_windows_are_ignored)
{
    UsageCounts counts;
    counts.add(Window, source("a"), Large);
    counts.add(window(1), source("a"), Large);
    counts.dropThrough(Window);
    counts.merge(Window, source("b"), { { Large, 2 } });
    counts.add(Window, source("a"), Large);
    cr_assert(counts.total(Window).empty());
    cr_assert_eq(counts.total(window(1)).at(Large), 1);
    cr_assert(counts.windows(source("a")) == std::vector { window(1) });
}

// Guards against records made before all counts have arrived, and against late ones.
Test(usage_schedule, records_complete_windows_early_and_others_before_they_are_due)
{
    UsageSchedule schedule = scheduleFrom(Window);
    cr_assert_not(schedule.windowToRecord(timeAfterEnd(schedule, Window, 2999)));
    cr_assert(schedule.windowToRecord(timeAfterEnd(schedule, Window, 3000)) == Window);
    UsageSchedule late({});
    late.begin(Window);
    cr_assert_not(late.windowToRecord(timeAfterEnd(late, Window, 7999)));
    cr_assert(late.windowToRecord(timeAfterEnd(late, Window, 8000)) == Window);
}

// Guards against two reports of one window with different counts.
Test(usage_schedule, never_records_a_window_that_was_recorded)
{
    UsageSchedule schedule = scheduleFrom(Window);
    const UnixMillis later = timeAfterEnd(schedule, window(1), 3000);
    schedule.noteRecordedThrough(Window);
    cr_assert(schedule.windowToRecord(later) == window(1));
    schedule.noteRecord(window(1), "b");
    cr_assert_not(schedule.windowToRecord(later));
    cr_assert(schedule.windowToPost(Start) == window(1));
}

// Guards against reports out of order and above the platform's rate while it recovers.
Test(usage_schedule, posts_the_oldest_window_first_and_paced)
{
    UsageSchedule schedule = scheduleFrom(Window);
    schedule.noteRecord(window(1), "b");
    schedule.noteRecord(Window, "a");
    cr_assert(schedule.windowToPost(Start) == Window);
    schedule.notePostSent(Start);
    schedule.notePostFailed(Start);
    cr_assert_not(schedule.windowToPost(Start + Milliseconds(99)));
    schedule.notePostSent(Start + Milliseconds(100));
    schedule.notePosted(Window);
    cr_assert_not(schedule.windowToPost(Start + Milliseconds(139)));
    cr_assert(schedule.windowToPost(Start + Milliseconds(141)) == window(1));
    cr_assert_eq(schedule.recordOf(window(1)), "b");
}

// Guards against windows that are kept for ever while the platform does not respond.
Test(usage_schedule, gives_windows_up_after_a_minute)
{
    UsageSchedule schedule = scheduleFrom(Window);
    schedule.noteRecord(Window, "a");
    cr_assert_not(schedule.windowToGiveUp(timeAfterEnd(schedule, Window, 59999)));
    cr_assert(schedule.windowToGiveUp(timeAfterEnd(schedule, Window, 60000)) == Window);
    schedule.noteDoneThrough(Window);
    cr_assert_not(schedule.windowToPost(Start));
    cr_assert_not(schedule.windowToGiveUp(timeAfterEnd(schedule, Window, 60000)));
}

// Guards against a clock that is wrong or jumps.
Test(true_time, is_the_median_of_the_clocks_advanced_by_the_steady_clock)
{
    TrueTime time(3);
    time.note(EntryId("a"), UnixMillis(1000000), Start);
    time.note(EntryId("b"), UnixMillis(1000020), Start);
    cr_assert_not(time.estimate(Start));
    time.note(EntryId("c"), UnixMillis(1006000), Start);
    cr_assert_eq(time.estimate(Start)->value(), 1000020);
    cr_assert_eq(time.estimate(Start + Milliseconds(500))->value(), 1000520);
    time.note(EntryId("a"), UnixMillis(994000), Start);
    cr_assert_eq(time.estimate(Start)->value(), 1000020);
}

// Guards against gateways that have gone and still count as clocks.
Test(true_time, drops_clocks_that_are_no_longer_reported)
{
    TrueTime time(1);
    time.note(EntryId("a"), UnixMillis(1000), Start);
    time.note(EntryId("b"), UnixMillis(500000), Start + Milliseconds(30000));
    cr_assert_eq(time.estimate(Start + Milliseconds(30000))->value(), 500000);
}

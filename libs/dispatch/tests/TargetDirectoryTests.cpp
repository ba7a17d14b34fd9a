#include "dispatch/Dispatch.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

const PoolId Pool("pool");
const SteadyTime Start { std::chrono::hours(1) };

fleet::TargetRecord target(const std::string& id)
{
    fleet::TargetRecord record;
    record.id = TargetId(id);
    record.pool = Pool;
    record.address = { "10.0.0.1", 80 };
    record.slots = 4;
    record.startedAt = UnixMillis(1);
    return record;
}

} // namespace

Test(directory, a_missing_entry_is_used_only_until_lapsed_ones_are_back)
{
    TargetDirectory directory;
    directory.put(target("a"));
    // The store is reachable again from Start on; the missing record is detected later.
    const SteadyTime mayReturnUntil = Start + Milliseconds(2000);
    directory.remove(TargetId("a"), mayReturnUntil, Start + Milliseconds(1200));
    cr_assert_eq(directory.usable(Pool, Start + Milliseconds(1900)).size(), 1U);
    cr_assert_eq(directory.usable(Pool, Start + Milliseconds(2000)).size(), 0U,
        "The time counts from when the store is reachable again, not from the removal.");
}

// Guards against requests that use a target which a later query of the same decision has erased.
Test(directory, queries_keep_the_targets_that_earlier_queries_returned)
{
    TargetDirectory directory;
    directory.put(target("a"));
    directory.put(target("b"));
    const SteadyTime mayReturnUntil = Start + Milliseconds(2000);
    directory.remove(TargetId("a"), mayReturnUntil, Start);
    const std::vector<TargetState*> before
        = directory.usable(Pool, mayReturnUntil - Milliseconds(1));
    cr_assert_eq(before.size(), 2U);
    cr_assert_eq(directory.allInPool(Pool, mayReturnUntil).size(), 1U);
    cr_assert_eq(directory.usable(Pool, mayReturnUntil).size(), 1U);
    cr_assert_eq(directory.find(TargetId("a")), before.front());
    cr_assert_eq(directory.find(TargetId("b")), before.back());
    directory.expire(mayReturnUntil);
    cr_assert_null(directory.find(TargetId("a")));
}

Test(directory, targets_follow_their_records_to_other_pools)
{
    TargetDirectory directory;
    for (const char* id : { "b", "c", "a" })
        directory.put(target(id));
    fleet::TargetRecord moved = target("b");
    moved.pool = PoolId("other");
    directory.put(moved);
    const std::vector<TargetState*> states = directory.allInPool(Pool, Start);
    cr_assert_eq(states.size(), 2U);
    cr_expect(states.front()->record.id == TargetId("a"));
    cr_expect(states.back()->record.id == TargetId("c"));
    cr_assert_eq(directory.allInPool(PoolId("other"), Start).size(), 1U);
    directory.remove(TargetId("b"), SteadyTime {}, Start);
    cr_assert(directory.allInPool(PoolId("other"), Start).empty());
}

Test(directory, a_removed_target_is_dropped_at_once_when_the_store_was_reachable)
{
    TargetDirectory directory;
    directory.put(target("a"));
    directory.remove(TargetId("a"), SteadyTime {}, Start);
    cr_assert_eq(directory.usable(Pool, Start).size(), 0U);
}

Test(directory, a_target_that_is_registered_again_in_time_stays)
{
    TargetDirectory directory;
    directory.put(target("a"));
    directory.remove(TargetId("a"), Start + Milliseconds(2000), Start);
    directory.put(target("a"));
    cr_assert_eq(directory.usable(Pool, Start + Milliseconds(5000)).size(), 1U);
}

Test(directory, a_new_incarnation_discards_the_state_of_the_previous_one)
{
    TargetDirectory directory;
    directory.put(target("a"));
    directory.noteStarted(TargetId("a"), { 3, {}, 200 });
    directory.noteResult(TargetId("a"), AttemptResult::Unreachable, Start);
    fleet::TargetRecord restarted = target("a");
    restarted.startedAt = UnixMillis(2);
    cr_assert(directory.put(restarted));
    cr_assert(directory.find(TargetId("a"))->load() == Load {});
    cr_assert(directory.find(TargetId("a"))->avoidUntil == SteadyTime {});
    cr_assert_not(directory.put(restarted));
}

Test(directory, loads_of_peers_that_no_longer_report_are_dropped)
{
    TargetDirectory directory;
    directory.put(target("a"));
    directory.notePeerLoad(TargetId("a"), EntryId("peer"), { 2, {}, 0 }, Start);
    cr_assert_eq(directory.find(TargetId("a"))->load().requests, 2U);
    directory.expire(Start + TargetDirectory::PeerReportTimeout);
    cr_assert_eq(directory.find(TargetId("a"))->load().requests, 0U);
}

Test(directory, replaced_targets_get_no_requests_until_their_records_change)
{
    TargetDirectory directory;
    directory.put(target("a"));
    directory.noteResult(TargetId("a"), AttemptResult::Replaced, Start);
    cr_assert_eq(directory.usable(Pool, Start).size(), 0U);
    directory.put(target("a"));
    cr_assert_eq(directory.usable(Pool, Start).size(), 0U, "An unchanged record is still stale.");
    fleet::TargetRecord changed = target("a");
    changed.role = EngineRole::Prefill;
    directory.put(changed);
    cr_assert_eq(directory.usable(Pool, Start).size(), 1U);
}

Test(directory, of_two_entries_with_one_address_only_the_later_one_is_used)
{
    TargetDirectory directory;
    fleet::TargetRecord older = target("older");
    older.registration = { 0, 5 };
    fleet::TargetRecord later = target("later");
    later.registration = { 0, 6 };
    directory.put(older);
    directory.put(later);
    const std::vector<TargetState*> usable = directory.usable(Pool, Start);
    cr_assert_eq(usable.size(), 1U);
    cr_assert(usable.front()->record.id == TargetId("later"));
}

Test(directory, what_a_peer_met_at_an_address_counts)
{
    TargetDirectory directory;
    directory.put(target("a"));
    directory.notePeerReportedReplaced(TargetId("a"), Start);
    cr_assert_eq(directory.usable(Pool, Start).size(), 0U);
}

Test(choice, prefers_the_least_loaded_target_and_takes_failing_ones_last)
{
    TargetDirectory directory;
    directory.put(target("a"));
    fleet::TargetRecord second = target("b");
    second.address.port = 81;
    directory.put(second);
    directory.noteStarted(TargetId("a"), { 1, {}, 0 });
    const std::vector<TargetState*> states = directory.usable(Pool, Start);
    cr_assert(chooseTarget(states, {}, ZoneId(), 0, Start)->record.id == TargetId("b"));
    directory.noteResult(TargetId("b"), AttemptResult::Unreachable, Start);
    cr_assert(chooseTarget(states, {}, ZoneId(), 0, Start)->record.id == TargetId("a"));
    // With no other target left, the failing one is better than none.
    cr_assert(
        chooseTarget(states, { TargetId("a") }, ZoneId(), 0, Start)->record.id == TargetId("b"));
    cr_assert_null(chooseTarget(states, { TargetId("a"), TargetId("b") }, ZoneId(), 0, Start));
}

Test(directory, a_target_is_avoided_for_longer_after_each_refusal)
{
    TargetDirectory directory;
    directory.put(target("a"));
    Milliseconds before { 0 };
    for (int refusal = 0; refusal < 3; ++refusal) {
        directory.noteResult(TargetId("a"), AttemptResult::Refused, Start);
        const SteadyTime::duration avoided = directory.find(TargetId("a"))->avoidUntil - Start;
        cr_expect(avoided > before);
        before = std::chrono::duration_cast<Milliseconds>(avoided);
    }
    directory.noteResult(TargetId("a"), AttemptResult::Served, Start);
    cr_assert(directory.find(TargetId("a"))->avoidUntil == SteadyTime {});
}

Test(directory, a_target_that_several_entries_cannot_reach_is_suspected_lost)
{
    TargetDirectory directory;
    directory.put(target("a"));
    const TargetId id("a");
    directory.notePeerFailure(id, EntryId("peer-1"), Start);
    directory.notePeerFailure(id, EntryId("peer-1"), Start);
    cr_expect_not(directory.find(id)->isSuspectedLost(Start), "One entry may be cut off itself.");
    directory.notePeerFailure(id, EntryId("peer-2"), Start);
    cr_expect(directory.find(id)->isSuspectedLost(Start));
    cr_expect(directory.find(id)->isAvoided(Start));
    cr_expect_not(directory.find(id)->isSuspectedLost(Start + Milliseconds(10000)));
    directory.noteResult(id, AttemptResult::Served, Start);
    cr_expect_not(directory.find(id)->isSuspectedLost(Start));
}

Test(directory, a_target_that_fails_repeatedly_is_suspected_lost_and_a_single_failure_is_not)
{
    TargetDirectory directory;
    directory.put(target("a"));
    const TargetId id("a");
    directory.noteResult(id, AttemptResult::Unreachable, Start);
    cr_expect_not(directory.find(id)->isSuspectedLost(Start));
    directory.noteResult(id, AttemptResult::Unreachable, Start);
    directory.noteResult(id, AttemptResult::Unreachable, Start);
    cr_expect(directory.find(id)->isSuspectedLost(Start));
}

Test(load_pattern, engines_that_lose_many_responses_are_not_taken_for_lost)
{
    TargetDirectory directory;
    directory.put(target("a"));
    const TargetId id("a");
    for (int failure = 0; failure < 10; ++failure)
        directory.noteResult(id, AttemptResult::Failed, Start);
    cr_expect_not(directory.find(id)->isSuspectedLost(Start));
    directory.notePeerFailure(id, EntryId("peer-1"), Start);
    cr_expect_not(directory.find(id)->isSuspectedLost(Start));
}

// Guards against incident inc29 (DRAIN): a departure that a target has announced is undone by its
// record.
Test(departures, outlive_each_form_in_which_the_record_comes_again)
{
    const fleet::TargetRecord record = target("a");
    fleet::TargetRecord changed = record;
    changed.slots = 8;
    TargetDirectory directory;
    directory.put(record);
    cr_assert(directory.noteLeaving(record.incarnation(), Start));
    cr_assert(!directory.noteLeaving(record.incarnation(), Start), "it is known already");
    cr_assert(directory.usable(Pool, Start).empty());
    cr_assert_eq(directory.allInPool(Pool, Start).size(), 1U, "others still fetch from it");
    directory.put(changed);
    cr_assert(directory.usable(Pool, Start).empty());
    directory.replaceAll(std::span(&record, 1), {}, Start);
    cr_assert(directory.usable(Pool, Start).empty());
    directory.remove(record.id, SteadyTime {}, Start);
    directory.expire(Start + std::chrono::minutes(5));
    directory.put(record);
    cr_assert(directory.usable(Pool, Start + std::chrono::minutes(5)).empty());
}

Test(departures, belong_to_one_incarnation)
{
    const fleet::TargetRecord before = target("a");
    fleet::TargetRecord after = before;
    after.startedAt = UnixMillis(2);
    TargetDirectory directory;
    directory.put(before);
    directory.noteLeaving(before.incarnation(), Start);
    directory.put(after);
    cr_assert_eq(directory.usable(Pool, Start).size(), 1U);
    // A late response of the incarnation before.
    cr_assert(!directory.noteLeaving(before.incarnation(), Start));
    cr_assert_eq(directory.usable(Pool, Start).size(), 1U);
    cr_assert(directory.departures().empty());
    cr_assert(directory.noteLeaving(after.incarnation(), Start));
    cr_assert(directory.usable(Pool, Start).empty());
    cr_assert(directory.departures() == std::vector<fleet::Incarnation>({ after.incarnation() }));
}

Test(departures, are_known_before_the_record_and_are_forgotten_long_after_it)
{
    const fleet::TargetRecord record = target("a");
    TargetDirectory directory;
    directory.noteLeaving(record.incarnation(), Start);
    directory.put(record);
    cr_assert(directory.usable(Pool, Start).empty());
    directory.remove(record.id, SteadyTime {}, Start);
    directory.expire(Start + std::chrono::minutes(11));
    directory.put(record);
    cr_assert_eq(directory.usable(Pool, Start + std::chrono::minutes(11)).size(), 1U);
}

namespace {

/** The store came back from an older copy at Start. */
const fleet::StoreRecovery Restored { Start + Milliseconds(2000), Start + Milliseconds(5000) };

fleet::TargetRecord recordWith(const std::string& id, int64_t startedAt, int64_t sequence)
{
    fleet::TargetRecord record = target(id);
    record.startedAt = UnixMillis(startedAt);
    record.sequence = sequence;
    return record;
}

} // namespace

Test(restored_directory, an_older_record_does_not_replace_what_is_known)
{
    fleet::TargetRecord leaving = recordWith("a", 1, 7);
    leaving.isLeaving = true;
    for (const fleet::TargetRecord& copied :
        { recordWith("a", 1, 6), recordWith("a", 1, 7), recordWith("a", 0, 90) }) {
        TargetDirectory directory;
        directory.put(leaving);
        directory.replaceAll(std::span(&copied, 1), Restored, Start);
        cr_assert(directory.usable(Pool, Start).empty());
        cr_assert_eq(directory.allInPool(Pool, Start).size(), 1U);
    }
}

Test(restored_directory, a_newer_record_or_incarnation_holds_at_once)
{
    fleet::TargetRecord leaving = recordWith("a", 1, 7);
    leaving.isLeaving = true;
    for (const fleet::TargetRecord& written : { recordWith("a", 1, 8), recordWith("a", 2, 1) }) {
        TargetDirectory directory;
        directory.put(leaving);
        directory.replaceAll(std::span(&written, 1), Restored, Start);
        cr_assert_eq(directory.usable(Pool, Start).size(), 1U);
    }
}

Test(restored_directory, a_removed_target_stays_unused_until_it_writes_or_outlives_the_copy)
{
    const fleet::TargetRecord record = recordWith("a", 1, 7);
    TargetDirectory directory;
    directory.put(record);
    directory.remove(record.id, SteadyTime {}, Start - Milliseconds(3000));
    directory.replaceAll(std::span(&record, 1), Restored, Start);
    cr_assert(directory.usable(Pool, Start).empty());
    cr_assert(directory.usable(Pool, Restored.mayBeOutdatedUntil - Milliseconds(1)).empty());
    directory.expire(Restored.mayBeOutdatedUntil - Milliseconds(1));
    cr_assert(directory.usable(Pool, Restored.mayBeOutdatedUntil).empty());
    directory.expire(Restored.mayBeOutdatedUntil);
    cr_assert_eq(directory.usable(Pool, Restored.mayBeOutdatedUntil).size(), 1U);

    TargetDirectory rewritten;
    rewritten.put(record);
    rewritten.remove(record.id, SteadyTime {}, Start - Milliseconds(3000));
    rewritten.replaceAll(std::span(&record, 1), Restored, Start);
    rewritten.put(recordWith("a", 1, 8));
    cr_assert_eq(rewritten.usable(Pool, Start).size(), 1U);

    TargetDirectory gone;
    gone.put(record);
    gone.remove(record.id, SteadyTime {}, Start - Milliseconds(3000));
    gone.replaceAll(std::span(&record, 1), Restored, Start);
    gone.remove(record.id, Restored.mayReturnUntil, Start + Milliseconds(1500));
    cr_assert(gone.usable(Pool, Restored.mayBeOutdatedUntil).empty());
}

Test(restored_directory, targets_that_the_copy_lacks_are_used_until_they_should_be_back)
{
    TargetDirectory directory;
    directory.put(recordWith("a", 1, 7));
    directory.replaceAll({}, Restored, Start);
    cr_assert_eq(directory.usable(Pool, Start + Milliseconds(1999)).size(), 1U);
    cr_assert(directory.usable(Pool, Restored.mayReturnUntil).empty());
}

// Guards against a target that is excluded for the sake of an older one at its address, because the
// restored store numbers both anew.
Test(restored_directory, the_later_of_two_targets_at_an_address_stays_in_use)
{
    fleet::TargetRecord older = recordWith("older", 1, 3);
    older.registration = { 1, 50 };
    fleet::TargetRecord later = recordWith("later", 2, 3);
    later.registration = { 1, 130 };
    TargetDirectory directory;
    directory.put(older);
    directory.put(later);
    older.registration = { 2, 50 };
    directory.replaceAll(std::span(&older, 1), Restored, Start);
    const std::vector<TargetState*> usable = directory.usable(Pool, Start);
    cr_assert_eq(usable.size(), 1U);
    cr_assert(usable.front()->record.id == TargetId("later"));
    // Its new registration has a lower number, in the new era.
    later.registration = { 2, 55 };
    directory.put(later);
    cr_assert_eq(directory.usable(Pool, Start).size(), 1U);
    cr_assert(directory.usable(Pool, Start).front()->record.id == TargetId("later"));
}

Test(directory, a_target_that_requested_a_pause_is_not_avoided_beyond_it)
{
    TargetDirectory directory;
    directory.put(target("a"));
    directory.noteResult(TargetId("a"), AttemptResult::Paused, Start);
    cr_assert(!directory.find(TargetId("a"))->isAvoided(Start));
    directory.noteResult(TargetId("a"), AttemptResult::Refused, Start);
    cr_assert(directory.find(TargetId("a"))->isAvoided(Start));
}

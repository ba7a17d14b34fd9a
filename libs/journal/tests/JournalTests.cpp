#include "journal/Journal.h"

#include <criterion/criterion.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::journal;

namespace {

/** Journals of several processes over one in-memory store. */
struct JournalFixture {
    std::shared_ptr<platform::MemoryBackend> backend = std::make_shared<platform::MemoryBackend>();
    platform::Store store { backend };

    std::unique_ptr<Journal> openJournal(const std::string& target, const std::string& incarnation)
    {
        Options options;
        options.pool = PoolId("receipts");
        options.self = TargetId(target);
        options.incarnation = Incarnation(incarnation);
        options.shards = 1;
        return std::make_unique<Journal>(store, options);
    }

    /** The in-memory store has no clock, so the test deletes the owner's lease key. */
    void expireLease(const std::string& target, const std::string& incarnation)
    {
        std::lock_guard lock(backend->mutex);
        backend->entries.erase("journal-owners/" + target + "/" + incarnation);
    }
};

BeginOutcome begin(Journal& journal, const std::string& key, uint64_t fingerprint = 7)
{
    std::promise<BeginOutcome> promise;
    Call call;
    call.key = IdempotencyKey(key);
    call.request = RequestId("r");
    call.fingerprint = fingerprint;
    journal.begin(call, [&promise](const BeginOutcome& outcome) { promise.set_value(outcome); });
    return promise.get_future().get();
}

bool finish(Journal& journal, const std::string& key, const std::string& body)
{
    std::promise<bool> promise;
    journal.finish(IdempotencyKey(key), { 200, body },
        [&promise](bool isStored) { promise.set_value(isStored); });
    return promise.get_future().get();
}

} // namespace

Test(journal, a_new_owner_answers_a_finished_call_from_the_store)
{
    JournalFixture fixture;
    std::unique_ptr<Journal> first = fixture.openJournal("a-1", "one");
    cr_assert(std::holds_alternative<MayStart>(begin(*first, "k")));
    cr_assert(std::holds_alternative<InProgress>(begin(*first, "k")));
    cr_assert(finish(*first, "k", "answer"));
    fixture.expireLease("a-1", "one");
    std::unique_ptr<Journal> second = fixture.openJournal("a-2", "two");
    const BeginOutcome outcome = begin(*second, "k");
    cr_assert(std::holds_alternative<AlreadyFinished>(outcome));
    cr_assert_eq(std::get<AlreadyFinished>(outcome).result.body, "answer");
    cr_assert(std::holds_alternative<KeyMismatch>(begin(*second, "k", 8)));
}

Test(journal, a_new_owner_does_not_restart_a_started_call)
{
    JournalFixture fixture;
    std::unique_ptr<Journal> first = fixture.openJournal("a-1", "one");
    cr_assert(std::holds_alternative<MayStart>(begin(*first, "k")));
    fixture.expireLease("a-1", "one");
    std::unique_ptr<Journal> second = fixture.openJournal("a-2", "two");
    cr_assert(std::holds_alternative<Interrupted>(begin(*second, "k")));
}

Test(journal, a_replaced_owner_starts_no_more_calls)
{
    JournalFixture fixture;
    std::unique_ptr<Journal> first = fixture.openJournal("a-1", "one");
    begin(*first, "k1");
    fixture.expireLease("a-1", "one");
    std::unique_ptr<Journal> second = fixture.openJournal("a-2", "two");
    begin(*second, "k2");
    const BeginOutcome outcome = begin(*first, "k3");
    cr_assert(std::holds_alternative<OwnedElsewhere>(outcome));
    cr_assert_eq(std::get<OwnedElsewhere>(outcome).owner.text(), "a-2");
}

Test(journal, a_live_owner_is_not_replaced)
{
    JournalFixture fixture;
    std::unique_ptr<Journal> first = fixture.openJournal("a-1", "one");
    begin(*first, "k1");
    std::unique_ptr<Journal> second = fixture.openJournal("a-2", "two");
    cr_assert(std::holds_alternative<OwnedElsewhere>(begin(*second, "k2")));
}

Test(journal, a_call_can_start_again_after_its_start_was_abandoned)
{
    JournalFixture fixture;
    std::unique_ptr<Journal> journal = fixture.openJournal("a-1", "one");
    cr_assert(std::holds_alternative<MayStart>(begin(*journal, "k")));
    journal->abandon(IdempotencyKey("k"));
    cr_assert(std::holds_alternative<MayStart>(begin(*journal, "k")));
}

Test(journal, a_lost_store_response_neither_loses_nor_duplicates_a_start)
{
    for (int lostResponses = 1; lostResponses <= 8; ++lostResponses) {
        JournalFixture fixture;
        std::unique_ptr<Journal> journal = fixture.openJournal("a-1", "one");
        fixture.backend->answersToLose = lostResponses;
        int granted = 0;
        for (int attempt = 0; attempt < 10; ++attempt)
            granted += std::holds_alternative<MayStart>(begin(*journal, "k")) ? 1 : 0;
        cr_assert_eq(granted, 1);
    }
}

Test(journal, during_a_store_outage_no_call_starts_and_results_are_kept)
{
    JournalFixture fixture;
    std::unique_ptr<Journal> journal = fixture.openJournal("a-1", "one");
    cr_assert(std::holds_alternative<MayStart>(begin(*journal, "k")));
    fixture.backend->isDown = true;
    cr_assert_not(finish(*journal, "k", "answer"));
    cr_assert(std::holds_alternative<Unavailable>(begin(*journal, "other")));
    fixture.backend->isDown = false;
    const BeginOutcome outcome = begin(*journal, "k");
    cr_assert(std::holds_alternative<AlreadyFinished>(outcome));
    cr_assert_eq(std::get<AlreadyFinished>(outcome).result.body, "answer");
}

Test(journal, many_calls_share_a_write_and_a_new_owner_knows_old_records)
{
    constexpr int Calls = 600;
    JournalFixture fixture;
    std::unique_ptr<Journal> journal = fixture.openJournal("a-1", "one");
    std::atomic<int> granted { 0 };
    std::atomic<int> stored { 0 };
    for (int number = 0; number < Calls; ++number) {
        Call call;
        call.key = IdempotencyKey(std::to_string(number));
        journal->begin(call, [&, key = call.key](const BeginOutcome& outcome) {
            granted += std::holds_alternative<MayStart>(outcome) ? 1 : 0;
            journal->finish(key, { 200, "x" }, [&](bool isStored) { stored += isStored ? 1 : 0; });
        });
    }
    constexpr Milliseconds CheckInterval { 5 };
    while (stored < Calls)
        std::this_thread::sleep_for(CheckInterval);
    cr_assert_eq(granted.load(), Calls);
    cr_assert_lt(fixture.backend->writes, Calls / 10);
    fixture.expireLease("a-1", "one");
    std::unique_ptr<Journal> successor = fixture.openJournal("a-2", "two");
    for (int number = 0; number < Calls; number += 7) {
        cr_assert(
            std::holds_alternative<AlreadyFinished>(begin(*successor, std::to_string(number), 0)));
    }
}

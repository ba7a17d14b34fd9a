#include "journal/Journal.h"

#include <criterion/criterion.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::journal;

namespace {

/** Two processes' journals over one store inside the test. */
struct Owners {
    std::shared_ptr<platform::MemoryBackend> backend = std::make_shared<platform::MemoryBackend>();
    platform::Store store { backend };

    std::unique_ptr<Journal> open(const std::string& target, const std::string& incarnation)
    {
        Options options;
        options.pool = PoolId("receipts");
        options.self = TargetId(target);
        options.incarnation = Incarnation(incarnation);
        options.shards = 1;
        return std::make_unique<Journal>(store, options);
    }

    /** The stand-in store has no clock: the owner's lease is taken away by hand. */
    void lapse(const std::string& target, const std::string& incarnation)
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

Test(journal, a_finished_call_is_answered_from_the_store_by_a_successor)
{
    Owners owners;
    std::unique_ptr<Journal> first = owners.open("a-1", "one");
    cr_assert(std::holds_alternative<MayStart>(begin(*first, "k")));
    cr_assert(std::holds_alternative<InProgress>(begin(*first, "k")));
    cr_assert(finish(*first, "k", "answer"));
    owners.lapse("a-1", "one");
    std::unique_ptr<Journal> second = owners.open("a-2", "two");
    const BeginOutcome outcome = begin(*second, "k");
    cr_assert(std::holds_alternative<AlreadyFinished>(outcome));
    cr_assert_eq(std::get<AlreadyFinished>(outcome).result.body, "answer");
    cr_assert(std::holds_alternative<KeyMismatch>(begin(*second, "k", 8)));
}

Test(journal, a_started_call_is_not_started_again_by_a_successor)
{
    Owners owners;
    std::unique_ptr<Journal> first = owners.open("a-1", "one");
    cr_assert(std::holds_alternative<MayStart>(begin(*first, "k")));
    owners.lapse("a-1", "one");
    std::unique_ptr<Journal> second = owners.open("a-2", "two");
    cr_assert(std::holds_alternative<Interrupted>(begin(*second, "k")));
}

Test(journal, an_owner_that_was_succeeded_starts_nothing_more)
{
    Owners owners;
    std::unique_ptr<Journal> first = owners.open("a-1", "one");
    begin(*first, "k1");
    owners.lapse("a-1", "one");
    std::unique_ptr<Journal> second = owners.open("a-2", "two");
    begin(*second, "k2");
    const BeginOutcome outcome = begin(*first, "k3");
    cr_assert(std::holds_alternative<OwnedElsewhere>(outcome));
    cr_assert_eq(std::get<OwnedElsewhere>(outcome).owner.text(), "a-2");
}

Test(journal, a_live_owner_is_not_succeeded)
{
    Owners owners;
    std::unique_ptr<Journal> first = owners.open("a-1", "one");
    begin(*first, "k1");
    std::unique_ptr<Journal> second = owners.open("a-2", "two");
    cr_assert(std::holds_alternative<OwnedElsewhere>(begin(*second, "k2")));
}

Test(journal, a_start_that_was_never_handed_over_may_be_made_again)
{
    Owners owners;
    std::unique_ptr<Journal> journal = owners.open("a-1", "one");
    cr_assert(std::holds_alternative<MayStart>(begin(*journal, "k")));
    journal->abandon(IdempotencyKey("k"));
    cr_assert(std::holds_alternative<MayStart>(begin(*journal, "k")));
}

Test(journal, a_lost_answer_neither_loses_nor_doubles_a_start)
{
    for (int lost = 1; lost <= 8; ++lost) {
        Owners owners;
        std::unique_ptr<Journal> journal = owners.open("a-1", "one");
        owners.backend->answersToLose = lost;
        int granted = 0;
        for (int sending = 0; sending < 10; ++sending)
            granted += std::holds_alternative<MayStart>(begin(*journal, "k")) ? 1 : 0;
        cr_assert_eq(granted, 1);
    }
}

Test(journal, with_the_store_away_nothing_starts_and_results_are_kept)
{
    Owners owners;
    std::unique_ptr<Journal> journal = owners.open("a-1", "one");
    cr_assert(std::holds_alternative<MayStart>(begin(*journal, "k")));
    owners.backend->isDown = true;
    cr_assert_not(finish(*journal, "k", "answer"));
    cr_assert(std::holds_alternative<Unavailable>(begin(*journal, "other")));
    owners.backend->isDown = false;
    const BeginOutcome outcome = begin(*journal, "k");
    cr_assert(std::holds_alternative<AlreadyFinished>(outcome));
    cr_assert_eq(std::get<AlreadyFinished>(outcome).result.body, "answer");
}

Test(journal, many_calls_share_a_write_and_old_records_stay_known)
{
    constexpr int Calls = 600;
    Owners owners;
    std::unique_ptr<Journal> journal = owners.open("a-1", "one");
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
    cr_assert_lt(owners.backend->writes, Calls / 10);
    owners.lapse("a-1", "one");
    std::unique_ptr<Journal> successor = owners.open("a-2", "two");
    for (int number = 0; number < Calls; number += 7) {
        cr_assert(
            std::holds_alternative<AlreadyFinished>(begin(*successor, std::to_string(number), 0)));
    }
}

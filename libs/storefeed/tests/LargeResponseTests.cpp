// Responses that are too large to be decoded on the event loop.
#include "FakeFleetStore.h"
#include "storefeed/StoreFeed.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::storefeed;

namespace {

constexpr size_t LargeValueBytes = 300000;

/** Follows a fake store and collects what it is told. */
struct FeedFixture {
    fakes::FakeFleetStore store;
    channels::EventLoop loop;
    StoreClient client { loop, store.address() };
    std::map<std::string, std::string> values;
    /** Sizes of the values of "a", in the order in which they were delivered. */
    std::vector<size_t> sizes;
    StoreFeed feed { loop, client, { {}, Milliseconds(500), Milliseconds(0) },
        { [this](std::span<const adapter::StoreItem> items, const fleet::StoreRecovery&) {
             for (const adapter::StoreItem& item : items)
                 note(item);
         },
            [this](const adapter::KeyChange& change, const fleet::StoreRecovery&) {
                if (const adapter::KeyWritten* written = std::get_if<adapter::KeyWritten>(&change))
                    note(written->item);
            } } };

    void note(const adapter::StoreItem& item)
    {
        values[item.key] = item.value;
        if (item.key == "a")
            sizes.push_back(item.value.size());
    }

    void runUntil(const std::function<bool()>& condition)
    {
        // Only a hang reaches this limit; no outcome depends on it.
        const SteadyTime end = steadyNow() + std::chrono::seconds(30);
        while (!condition()) {
            cr_assert(steadyNow() < end, "The awaited condition never became true.");
            channels::Timer pause(loop);
            pause.arm(Milliseconds(10), [this] { loop.stop(); });
            loop.run();
            loop.restart();
        }
    }
};

} // namespace

// Guards against large values that are lost, or delivered after later ones.
Test(large_responses, ranges_and_changes_are_delivered_in_order)
{
    FeedFixture fixture;
    fixture.store.put("a", std::string(LargeValueBytes, 'x'));
    fixture.feed.start();
    fixture.runUntil([&] { return fixture.sizes.size() == 1; });
    for (const size_t size : { LargeValueBytes + 1, size_t { 1 }, LargeValueBytes + 2 }) {
        fixture.store.put("a", std::string(size, 'y'));
        fixture.runUntil([&] { return fixture.values["a"].size() == size; });
    }
    cr_expect(std::is_sorted(fixture.sizes.begin(), fixture.sizes.begin() + 2));
    cr_expect_eq(fixture.sizes.back(), LargeValueBytes + 2);
    cr_expect(fixture.feed.isConnected());
}

// Guards against a response of an earlier era that is applied because its decoding took long.
Test(large_responses, a_restore_drops_the_response_that_is_being_decoded)
{
    FeedFixture fixture;
    fixture.store.put("a", std::string(LargeValueBytes, 'x'));
    const std::shared_ptr<const fakes::FakeFleetStore::Copy> copy = fixture.store.copy();
    fixture.feed.start();
    fixture.runUntil([&] { return fixture.sizes.size() == 1; });
    for (int round = 0; round < 5; ++round) {
        fixture.store.put("a", std::string(LargeValueBytes + 1, 'y'));
        fixture.store.restore(*copy);
        fixture.store.put("b", std::to_string(round));
        fixture.runUntil([&] { return fixture.values["b"] == std::to_string(round); });
        cr_expect_eq(fixture.values["a"].size(), LargeValueBytes);
    }
}

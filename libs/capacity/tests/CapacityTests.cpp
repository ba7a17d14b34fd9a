#include "capacity/Capacity.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::capacity;

namespace {

constexpr RequestMemory::Limits Limits { 1000, 200, 100 };
const SteadyTime Start { std::chrono::hours(1) };

/** A request that counts what it is told. */
struct Request {
    explicit Request(const std::shared_ptr<RequestMemory>& memory, SteadyTime beganAt = Start,
        HeldMemory::Kind kind = HeldMemory::Kind::Request)
        : held(std::make_unique<HeldMemory>(
            memory,
            [this] {
                gaveWay += 1;
                held.reset();
            },
            beganAt, kind))
    {
    }
    void serve()
    {
        held->beginService([this] { resumed += 1; });
    }

    int gaveWay = 0;
    int resumed = 0;
    std::unique_ptr<HeldMemory> held;
};

} // namespace

Test(request_memory, the_largest_unfinished_request_gives_way)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    Request small(memory);
    Request large(memory);
    Request next(memory);
    cr_assert(small.held->resize(150, Start));
    cr_assert(large.held->resize(500, Start));
    cr_assert(next.held->resize(300, Start));
    cr_expect_eq(large.gaveWay, 1);
    cr_expect_eq(small.gaveWay + next.gaveWay, 0);
    cr_expect_eq(memory->total(), 450U);
}

// Guards against callers that send a byte now and then, and so appear to make progress.
Test(request_memory, the_oldest_of_equal_requests_gives_way)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    Request old(memory);
    Request young(memory, Start + Milliseconds(900));
    cr_assert(young.held->resize(400, Start + Milliseconds(950)));
    cr_assert(old.held->resize(399, Start + Milliseconds(960)));
    Request next(memory, Start + Milliseconds(990));
    cr_assert(next.held->resize(101, Start + Milliseconds(1000)));
    cr_expect_eq(old.gaveWay, 1);
    cr_expect_eq(young.gaveWay + next.gaveWay, 0);
}

Test(request_memory, a_request_alone_gives_way_itself)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    Request request(memory);
    cr_assert(request.held->resize(800, Start));
    cr_assert_not(request.held->resize(801, Start));
    cr_expect_eq(request.gaveWay, 0);
}

// Guards against targets that send events without end and displace the requests of callers.
Test(request_memory, a_large_event_gives_way_before_requests_do)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    Request request(memory);
    Request event(memory, Start, HeldMemory::Kind::Event);
    cr_assert(request.held->resize(500, Start));
    cr_assert(event.held->resize(300, Start));
    cr_assert_not(event.held->resize(301, Start));
    cr_expect_eq(request.gaveWay + event.gaveWay, 0);
}

// Guards against streams that make progress and lose their events to one that makes none.
Test(request_memory, the_largest_and_oldest_event_gives_way_to_a_small_one)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    const SteadyTime now = Start + Milliseconds(1000);
    Request endless(memory, Start, HeldMemory::Kind::Event);
    Request sound(memory, now, HeldMemory::Kind::Event);
    cr_assert(sound.held->resize(100, now));
    cr_assert(endless.held->resize(700, now));
    std::vector<std::unique_ptr<Request>> others;
    for (int count = 0; count < 3; ++count) {
        others.push_back(std::make_unique<Request>(memory, now, HeldMemory::Kind::Event));
        cr_assert(others.back()->held->resize(100, now));
    }
    cr_expect_eq(endless.gaveWay, 1);
    cr_expect_eq(sound.gaveWay, 0);
}

Test(request_memory, served_requests_do_not_give_way)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    Request served(memory);
    cr_assert(served.held->resize(800, Start));
    served.serve();
    Request next(memory);
    cr_assert_not(next.held->resize(101, Start + Milliseconds(10)));
    cr_expect_eq(served.gaveWay, 0);
}

Test(request_memory, small_requests_find_room_beside_large_ones)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    Request large(memory);
    cr_assert(large.held->resize(800, Start));
    large.serve();
    Request small(memory);
    cr_assert(small.held->resize(100, Start));
    Request another(memory, Start + Milliseconds(5));
    cr_assert(another.held->resize(100, Start + Milliseconds(5)));
    Request third(memory, Start + Milliseconds(6));
    cr_assert(third.held->resize(50, Start + Milliseconds(6)));
    cr_expect_eq(small.gaveWay, 1);
    cr_expect_leq(memory->total(), Limits.totalBytes);
}

Test(request_memory, a_large_request_does_not_displace_small_ones)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    std::list<Request> small;
    for (int count = 0; count < 8; ++count)
        cr_assert(small.emplace_back(memory).held->resize(100, Start));
    Request large(memory, Start + Milliseconds(100));
    cr_assert_not(large.held->resize(300, Start + Milliseconds(100)));
    for (const Request& request : small)
        cr_expect_eq(request.gaveWay, 0);
}

// Guards against responses that all wait for memory which only the others can release.
Test(request_memory, one_served_request_goes_on_when_memory_is_short)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    Request first(memory);
    Request second(memory);
    Request third(memory);
    for (Request* request : { &first, &second, &third }) {
        cr_assert(request->held->resize(250, Start));
        request->serve();
    }
    cr_assert(first.held->resize(400, Start));
    cr_assert_not(second.held->resize(300, Start));
    cr_assert_not(third.held->resize(300, Start));
    cr_assert(first.held->resize(500, Start));
    cr_expect_eq(second.resumed + third.resumed, 0);
    first.held.reset();
    cr_expect_eq(second.resumed, 1);
    cr_expect_eq(third.resumed, 1);
    cr_expect_eq(memory->total(), 600U);
}

Test(request_memory, waiting_requests_are_resumed_one_by_one)
{
    const std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(Limits);
    std::vector<std::unique_ptr<Request>> requests;
    for (int count = 0; count < 4; ++count) {
        requests.push_back(std::make_unique<Request>(memory));
        cr_assert(requests.back()->held->resize(200, Start));
        requests.back()->serve();
    }
    cr_assert(requests[0]->held->resize(900, Start));
    for (int count = 1; count < 4; ++count)
        cr_assert_not(requests[count]->held->resize(400, Start));
    requests[0]->held.reset();
    cr_expect_eq(requests[1]->resumed, 1);
    cr_expect_eq(requests[2]->resumed + requests[3]->resumed, 0);
    requests[1]->held.reset();
    cr_expect_eq(requests[2]->resumed, 1);
}

Test(caller_capacity, leaves_room_for_the_process)
{
    constexpr size_t Memory = size_t { 160 } << 20;
    constexpr size_t Descriptors = 4100;
    const CallerCapacity capacity = callerCapacity(Memory, Descriptors);
    cr_expect_leq(capacity.requests.totalBytes + capacity.unsentBytes + capacity.prefixIndexBytes,
        Memory * 7 / 10);
    const size_t used
        = 2 * capacity.connections + 2 * capacity.pageConnections + capacity.idleTargetConnections;
    cr_expect_leq(used, Descriptors - 200);
    // A request and a response of 4 MB each.
    const CallerCapacity smallest = callerCapacity(size_t { 32 } << 20, Descriptors);
    cr_expect_geq(smallest.requests.totalBytes - smallest.requests.reservedBytes, 8U << 20);
    cr_expect_geq(smallest.unsentBytes, 4U << 20);
}

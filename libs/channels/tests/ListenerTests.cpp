#include "LoopFixture.h"

#include <sys/resource.h>

using namespace citronspoke;
using namespace citronspoke::channels;
using namespace citronspoke::channels::tests;

namespace {

/** A listener for two connections, which it accepts and keeps. */
struct FullListener {
    explicit FullListener(std::function<bool()> makeRoom)
        : listener(loop, port.address(), { 2, std::move(makeRoom) },
            [this](const ConnectionPointer& connection) {
                connection->start({});
                accepted.push_back(connection);
                isThirdAccepted = accepted.size() == 3;
            })
    {
        for (int count = 0; count < 2; ++count)
            open();
    }
    void waitUntilFull()
    {
        bool isFull = false;
        Timer poll(loop);
        std::function<void()> check = [&] {
            isFull = accepted.size() == 2;
            poll.arm(Milliseconds(1), check);
        };
        check();
        runUntil(loop, isFull);
    }
    /** Connects one more peer. */
    void open()
    {
        Connection::Handlers handlers;
        handlers.onEnd = [this](ConnectionEnd) { isPeerClosed = true; };
        peers.push_back(connect(loop, port.address(), HangLimit));
        peers.back()->start(std::move(handlers));
    }

    EventLoop loop;
    const ReservedPort port;
    std::vector<ConnectionPointer> accepted;
    std::vector<ConnectionPointer> peers;
    bool isThirdAccepted = false;
    bool isPeerClosed = false;
    Listener listener;
};

} // namespace

Test(listeners, a_full_one_makes_room_for_another_connection)
{
    FullListener* full = nullptr;
    FullListener fullListener([&full] {
        full->accepted.front()->close();
        return true;
    });
    full = &fullListener;
    full->open();
    runUntil(full->loop, full->isThirdAccepted);
    cr_assert(full->isPeerClosed);
}

Test(listeners, a_full_one_closes_another_connection)
{
    FullListener full([] { return false; });
    full.open();
    runUntil(full.loop, full.isPeerClosed);
    cr_assert_eq(full.accepted.size(), 2U);
}

// Guards against connections that nobody owns any more and that are not counted.
Test(listeners, connections_that_end_are_closed_first)
{
    bool isAsked = false;
    FullListener full([&isAsked] { return isAsked = true; });
    full.waitUntilFull();
    full.accepted.front()->closeAfterWrites(0);
    full.open();
    runUntil(full.loop, full.isThirdAccepted);
    cr_assert_not(isAsked);
}

// Guards against peers that read the end of a response slowly and so keep all connections.
Test(listeners, connections_that_send_their_last_response_are_closed_last)
{
    constexpr size_t MoreThanTheKernelHolds = size_t { 64 } << 20;
    bool isAsked = false;
    FullListener full([&isAsked] {
        isAsked = true;
        return false;
    });
    full.waitUntilFull();
    full.peers.front()->setReading(false);
    full.accepted.front()->write(std::string(MoreThanTheKernelHolds, 'x'));
    full.accepted.front()->closeAfterWrites(0);
    full.open();
    runUntil(full.loop, full.isThirdAccepted);
    cr_assert(isAsked);
}

// Guards against a loop that accepts over and over while there are no descriptors.
Test(listeners, without_descriptors_wait_before_they_accept_again)
{
    EventLoop loop;
    const ReservedPort port;
    size_t attempts = 0;
    bool isAccepted = false;
    const Listener listener(loop, port.address(), { 64, [&attempts] { return ++attempts > 0; } },
        [&isAccepted](const ConnectionPointer&) { isAccepted = true; });
    const ConnectionPointer peer = connect(loop, port.address(), HangLimit);
    rlimit before {};
    getrlimit(RLIMIT_NOFILE, &before);
    // The peer has its descriptor already; the accepted connection gets none.
    rlimit none = before;
    none.rlim_cur = 0;
    setrlimit(RLIMIT_NOFILE, &none);
    Timer restore(loop);
    restore.arm(Milliseconds(500), [&before] { setrlimit(RLIMIT_NOFILE, &before); });
    runUntil(loop, isAccepted);
    cr_expect_geq(attempts, 1U);
    cr_expect_leq(attempts, 10U);
}

// Connections that are closed while their peers still send.
#include "LoopFixture.h"

using namespace citronspoke;
using namespace citronspoke::channels;
using namespace citronspoke::channels::tests;

namespace {

constexpr size_t PartBytes = size_t { 64 } << 10;

/** A server that responds to the first bytes and closes, and a peer that sends on and reads the
 * response only then. */
struct ClosingServer {
    ClosingServer(size_t maxDiscardedBytes, size_t sentBytes)
        : remaining(sentBytes)
        , listener(loop, port.address(), { 8, {} },
              [this, maxDiscardedBytes](const ConnectionPointer& connection) {
                  Connection::Handlers handlers;
                  handlers.onBytes = [connection, maxDiscardedBytes](std::string_view) {
                      connection->write("refused");
                      connection->closeAfterWrites(maxDiscardedBytes);
                  };
                  connection->start(std::move(handlers));
              })
        , peer(connect(loop, port.address(), HangLimit))
    {
        Connection::Handlers handlers;
        handlers.onWritten = [this] { send(); };
        handlers.onBytes = [this](std::string_view bytes) { received += bytes; };
        handlers.onEnd = [this](ConnectionEnd) { hasEnded = true; };
        peer->setReading(false);
        peer->start(std::move(handlers));
        send();
    }
    void send()
    {
        if (remaining == 0)
            peer->setReading(true);
        if (remaining == 0 || hasEnded)
            return;
        const size_t size = std::min(PartBytes, remaining);
        remaining -= size;
        peer->write(std::string(size, 'x'));
    }

    EventLoop loop;
    const ReservedPort port;
    size_t remaining;
    std::string received;
    bool hasEnded = false;
    Listener listener;
    ConnectionPointer peer;
};

} // namespace

// Guards against work that peers who send without end decide on.
Test(closing, resets_a_peer_that_sends_without_end)
{
    constexpr size_t Sent = size_t { 1 } << 30;
    ClosingServer server(PartBytes, Sent);
    runUntil(server.loop, server.hasEnded);
    // The kernel's buffers hold some megabytes.
    cr_expect_gt(server.remaining, Sent - (size_t { 64 } << 20));
}

Test(closing, a_peer_that_sends_the_rest_of_its_request_gets_the_response)
{
    constexpr size_t Sent = size_t { 8 } << 20;
    ClosingServer server(Sent, Sent);
    runUntil(server.loop, server.hasEnded);
    cr_expect_eq(server.remaining, 0U);
    cr_expect(server.received == "refused");
}

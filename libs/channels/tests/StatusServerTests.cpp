#include "LoopFixture.h"

using namespace citronspoke;
using namespace citronspoke::channels;
using namespace citronspoke::channels::tests;

namespace {

const std::string PageRequest = "GET /page HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

Test(status_servers, respond_to_pipelined_requests_in_order)
{
    EventLoop loop;
    const ReservedPort port;
    size_t served = 0;
    const StatusServer server(loop, port.address(), 8, [&served](std::string_view) {
        return StatusServer::Page { 200, "text/plain", "page " + std::to_string(++served) };
    });
    std::string received;
    bool isComplete = false;
    const ConnectionPointer caller = connect(loop, port.address(), HangLimit);
    Connection::Handlers handlers;
    handlers.onBytes = [&](std::string_view bytes) {
        received += bytes;
        isComplete = received.ends_with("page 3");
    };
    caller->start(std::move(handlers));
    caller->write(PageRequest + PageRequest + PageRequest);
    runUntil(loop, isComplete);
    cr_assert_lt(received.find("page 1"), received.find("page 2"));
}

// Guards against pages that pile up for callers that do not read them.
Test(status_servers, wait_until_their_responses_are_read)
{
    constexpr size_t PageBytes = size_t { 1 } << 20;
    constexpr size_t Requests = 500;
    EventLoop loop;
    const ReservedPort port;
    size_t served = 0;
    const StatusServer server(loop, port.address(), 8, [&served](std::string_view) {
        served += 1;
        return StatusServer::Page { 200, "text/plain", std::string(PageBytes, 'x') };
    });
    const ConnectionPointer caller = connect(loop, port.address(), HangLimit);
    caller->setReading(false);
    caller->start({});
    std::string requests;
    for (size_t count = 0; count < Requests; ++count)
        requests += PageRequest;
    caller->write(requests);
    // Until the kernel's buffers are full.
    bool isHeldOff = false;
    size_t before = 0;
    Timer poll(loop);
    std::function<void()> check = [&] {
        isHeldOff = served > 0 && std::exchange(before, served) == served;
        poll.arm(Milliseconds(200), check);
    };
    check();
    runUntil(loop, isHeldOff);
    cr_assert_lt(served, Requests / 2);
}

Test(status_servers, close_the_longest_inactive_connection_for_another)
{
    EventLoop loop;
    const ReservedPort port;
    const StatusServer server(
        loop, port.address(), 1, [](std::string_view) { return StatusServer::Page {}; });
    bool isFirstClosed = false;
    const ConnectionPointer first = connect(loop, port.address(), HangLimit);
    Connection::Handlers firstHandlers;
    firstHandlers.onEnd = [&isFirstClosed](ConnectionEnd) { isFirstClosed = true; };
    first->start(std::move(firstHandlers));
    bool isServed = false;
    const ConnectionPointer second = connect(loop, port.address(), HangLimit);
    Connection::Handlers secondHandlers;
    secondHandlers.onBytes
        = [&isServed](std::string_view bytes) { isServed = bytes.starts_with("HTTP/1.1 200"); };
    second->start(std::move(secondHandlers));
    second->write(PageRequest);
    runUntil(loop, isServed);
    runUntil(loop, isFirstClosed);
}

// Handlers that throw exceptions which no code expects, as libraries do for odd input.
#include "LoopFixture.h"
#include "telemetry/Telemetry.h"

#include <stdexcept>

using namespace citronspoke;
using namespace citronspoke::channels;
using namespace citronspoke::channels::tests;

namespace {

[[noreturn]] void fail() { throw std::runtime_error("odd input"); }

bool isCounted(std::string_view work)
{
    const std::string line
        = "citronspoke_unexpected_exceptions_total{work=\"" + std::string(work) + "\"} 1\n";
    return telemetry::metricsText().find(line) != std::string::npos;
}

} // namespace

// Each test guards against a process that one unit of work ends for all others.

Test(throwing_handlers, a_task_ends_no_other_task)
{
    EventLoop loop;
    bool hasRun = false;
    loop.post([] { fail(); });
    loop.post([&hasRun] { hasRun = true; });
    runUntil(loop, hasRun);
    cr_assert(isCounted("callback"));
}

Test(throwing_handlers, a_connection_ends_no_other_connection)
{
    EventLoop loop;
    const ReservedPort reserved;
    const fleet::Address address = reserved.address();
    std::vector<ConnectionPointer> accepted;
    const Listener listener(
        loop, address, { 64, {} }, [&accepted](const ConnectionPointer& connection) {
            Connection::Handlers handlers;
            handlers.onBytes = [raw = connection.get()](std::string_view bytes) {
                if (bytes == "odd")
                    fail();
                raw->write(std::string(bytes));
            };
            accepted.push_back(connection);
            connection->start(std::move(handlers));
        });
    const ConnectionPointer odd = connect(loop, address, HangLimit);
    const ConnectionPointer other = connect(loop, address, HangLimit);
    bool isOddClosed = false;
    Connection::Handlers handlers;
    handlers.onEnd = [&isOddClosed](ConnectionEnd) { isOddClosed = true; };
    odd->start(std::move(handlers));
    odd->write("odd");
    runUntil(loop, isOddClosed);
    bool isAnswered = false;
    Connection::Handlers otherHandlers;
    otherHandlers.onBytes
        = [&isAnswered](std::string_view bytes) { isAnswered = bytes == "plain"; };
    other->start(std::move(otherHandlers));
    other->write("plain");
    runUntil(loop, isAnswered);
    cr_assert(isCounted("connection"));
}

Test(throwing_handlers, a_handler_that_throws_is_told_of_the_end)
{
    EventLoop loop;
    const ReservedPort reserved;
    const fleet::Address address = reserved.address();
    std::vector<ConnectionPointer> accepted;
    const Listener listener(
        loop, address, { 64, {} }, [&accepted](const ConnectionPointer& connection) {
            accepted.push_back(connection);
            connection->start({});
            connection->write("odd");
        });
    const ConnectionPointer connection = connect(loop, address, HangLimit);
    bool hasEnded = false;
    Connection::Handlers handlers;
    handlers.onBytes = [](std::string_view) { fail(); };
    handlers.onEnd = [&hasEnded](ConnectionEnd end) { hasEnded = end == ConnectionEnd::Broken; };
    connection->start(std::move(handlers));
    runUntil(loop, hasEnded);
}

Test(throwing_handlers, a_listener_goes_on_to_accept)
{
    EventLoop loop;
    const ReservedPort reserved;
    const fleet::Address address = reserved.address();
    size_t accepted = 0;
    bool isSecondAccepted = false;
    const Listener listener(loop, address, { 64, {} }, [&](const ConnectionPointer&) {
        isSecondAccepted = ++accepted == 2;
        fail();
    });
    const ConnectionPointer first = connect(loop, address, HangLimit);
    const ConnectionPointer second = connect(loop, address, HangLimit);
    runUntil(loop, isSecondAccepted);
}

Test(throwing_handlers, a_datagram_port_goes_on_to_receive)
{
    EventLoop loop;
    const ReservedPort reserved;
    const fleet::Address address = reserved.address();
    bool isSecondReceived = false;
    DatagramPort port(loop, address, [&isSecondReceived](std::string_view datagram) {
        isSecondReceived = datagram == "plain";
        if (!isSecondReceived)
            fail();
    });
    port.send(address, "odd");
    port.send(address, "plain");
    runUntil(loop, isSecondReceived);
    cr_assert(isCounted("datagram"));
}

Test(addresses, that_are_no_ip_cannot_be_connected_to)
{
    EventLoop loop;
    const ConnectionPointer connection = connect(loop, { "localhost", 80 }, HangLimit);
    bool hasFailed = false;
    Connection::Handlers handlers;
    handlers.onEnd
        = [&hasFailed](ConnectionEnd end) { hasFailed = end == ConnectionEnd::ConnectFailed; };
    connection->start(std::move(handlers));
    runUntil(loop, hasFailed);
}

Test(addresses, that_are_no_ip_get_no_datagrams)
{
    EventLoop loop;
    const ReservedPort reserved;
    DatagramPort port(loop, reserved.address(), [](std::string_view) {});
    port.send({ "localhost", 80 }, "plain");
    cr_assert(telemetry::metricsText().find("citronspoke_datagrams_not_sent_total 1\n")
        != std::string::npos);
}

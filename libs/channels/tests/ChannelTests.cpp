#include "RawServer.h"

#include <array>
#include <thread>

using namespace citronspoke;
using namespace citronspoke::channels;
using namespace citronspoke::channels::tests;

namespace {

constexpr Milliseconds Limit { 5000 };

const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

Result runExchange(EventLoop& loop, ConnectionPool& pool, const fleet::Address& address)
{
    Result result;
    const ExchangePointer exchange
        = pool.start({ address, "target" }, Request, nullptr, Limit, collect(loop, result));
    Timer timer(loop);
    timer.arm(Limit, [&loop] { loop.stop(); });
    loop.run();
    loop.restart();
    return result;
}

} // namespace

Test(connections, closed_with_unsent_bytes_are_reset)
{
    RawServer server;
    ssize_t last = 1;
    int error = 0;
    std::jthread peer([&] {
        const int connection = server.acceptOne();
        std::this_thread::sleep_for(Milliseconds(300));
        std::array<char, 65536> buffer {};
        while ((last = read(connection, buffer.data(), buffer.size())) > 0) { }
        error = errno;
        close(connection);
    });
    EventLoop loop;
    const ConnectionPointer connection = connect(loop, server.address(), Limit);
    connection->start({});
    connection->write(std::string(32 << 20, 'x'));
    Timer timer(loop);
    timer.arm(Milliseconds(100), [&] {
        connection->close();
        loop.stop();
    });
    loop.run();
    peer.join();
    cr_assert_eq(last, -1, "Bytes unsent at close must not arrive later.");
    cr_assert_eq(error, ECONNRESET);
}

Test(exchanges, reuse_a_persistent_connection)
{
    RawServer server;
    std::jthread peer([&] {
        const int connection = server.acceptOne();
        for (int request = 0; request < 2; ++request) {
            RawServer::readHead(connection);
            RawServer::send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
        close(connection);
    });
    EventLoop loop;
    ConnectionPool pool(loop, {});
    for (int request = 0; request < 2; ++request)
        cr_assert(runExchange(loop, pool, server.address()).end == ExchangeEnd::Complete);
    cr_assert_eq(pool.connectionsOpened(), 1U);
}

Test(exchanges, never_reuse_a_connection_with_extra_bytes)
{
    RawServer server;
    std::jthread peer([&] {
        for (int request = 0; request < 2; ++request) {
            const int connection = server.acceptOne();
            RawServer::readHead(connection);
            RawServer::send(connection,
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n");
            close(connection);
        }
    });
    EventLoop loop;
    ConnectionPool pool(loop, {});
    for (int request = 0; request < 2; ++request) {
        const Result result = runExchange(loop, pool, server.address());
        cr_assert(result.end == ExchangeEnd::Complete);
        cr_assert(result.body == "ok");
    }
    cr_assert_eq(pool.connectionsOpened(), 2U);
}

Test(exchanges, skip_the_late_response_to_an_earlier_request)
{
    RawServer server;
    std::jthread peer([&] {
        const int connection = server.acceptOne();
        RawServer::readHead(connection);
        RawServer::send(connection,
            "HTTP/1.1 200 OK\r\nX-Of: other\r\nContent-Length: 3\r\n\r\nold"
            "HTTP/1.1 200 OK\r\nX-Of: this\r\nContent-Length: 3\r\n\r\nnew");
        close(connection);
    });
    EventLoop loop;
    ConnectionPool pool(loop, {});
    Result result;
    Exchange::Handlers handlers = collect(loop, result);
    handlers.matchesRequest = [](const http1::ResponseHead& head) {
        return head.headers.find("X-Of").value_or("") == "this";
    };
    const ExchangePointer exchange
        = pool.start({ server.address(), "target" }, Request, nullptr, Limit, std::move(handlers));
    loop.run();
    cr_assert(result.end == ExchangeEnd::Complete);
    cr_assert(result.body == "new");
}

Test(exchanges, with_truncated_or_malformed_responses_are_broken)
{
    for (const std::string_view response : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
             "garbage\r\n\r\n", "" }) {
        RawServer server;
        std::jthread peer([&] {
            const int connection = server.acceptOne();
            RawServer::readHead(connection);
            RawServer::send(connection, response);
            close(connection);
        });
        EventLoop loop;
        ConnectionPool pool(loop, {});
        cr_expect(runExchange(loop, pool, server.address()).end == ExchangeEnd::Broken, "%.*s",
            static_cast<int>(response.size()), response.data());
    }
}

Test(exchanges, to_a_closed_port_end_as_not_sent)
{
    fleet::Address address;
    {
        RawServer server;
        address = server.address();
    }
    EventLoop loop;
    ConnectionPool pool(loop, {});
    cr_assert(runExchange(loop, pool, address).end == ExchangeEnd::NotSent);
}

Test(exchanges, too_old_for_one_request_leaves_a_connection_for_others)
{
    RawServer server;
    constexpr std::string_view Response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::jthread peer([&] {
        const int first = server.acceptOne();
        RawServer::readHead(first);
        RawServer::send(first, Response);
        const int second = server.acceptOne();
        RawServer::readHead(second);
        RawServer::readHead(first);
        RawServer::send(first, Response);
        close(first);
        close(second);
    });
    EventLoop loop;
    ConnectionPool pool(loop, {});
    cr_assert(runExchange(loop, pool, server.address()).end == ExchangeEnd::Complete);
    const ExchangePointer unanswered
        = pool.start({ server.address(), "target" }, Request, nullptr, Milliseconds(0), {});
    cr_assert(runExchange(loop, pool, server.address()).end == ExchangeEnd::Complete);
    cr_assert_eq(pool.connectionsOpened(), 2U,
        "The first two requests open one connection each, the third reuses one.");
}

// Responses that servers in trouble send.
#include "FakeHttpServer.h"
#include "transport/Transport.h"

#include <criterion/criterion.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::transport;
using fakes::FakeConnection;
using fakes::FakeHttpServer;
using fakes::FakeRequest;

namespace {

constexpr Milliseconds CallLimit { 10000 };
/** More than any response that these clients collect. */
constexpr size_t ByteLimit = size_t { 64 } << 20;
constexpr size_t PieceBytes = 16000;

HttpRequest requestTo(const FakeHttpServer& server)
{
    HttpRequest request;
    request.target = "http://" + server.address().text() + "/x";
    return request;
}

bool isAnswered(const FakeHttpServer& server)
{
    try {
        callHttp(requestTo(server), CallLimit);
        return true;
    } catch (const HttpFailed&) {
        return false;
    }
}

/** Sends the head and then the piece over and over. @return the handler of a server. */
FakeHttpServer::Handler sendEndlessly(
    std::string head, std::string_view repeated, std::atomic<size_t>& sent)
{
    std::string piece;
    while (piece.size() < PieceBytes)
        piece += repeated;
    return [head = std::move(head), piece, &sent](const FakeRequest&, FakeConnection& connection) {
        connection.send(head);
        while (connection.isOpen() && sent < ByteLimit) {
            connection.send(piece);
            sent += piece.size();
        }
        connection.reset();
    };
}

StreamEnd streamFrom(
    const FakeHttpServer& server, const std::function<bool(std::string_view)>& onData)
{
    std::promise<StreamEnd> end;
    StreamClient client;
    client.start(requestTo(server), true,
        { onData, [&end](const StreamEnd& ended) { end.set_value(ended); } });
    return end.get_future().get();
}

} // namespace

// Guards against a status that HTTP does not have, which callers would get as an answer.
Test(http_client, responses_that_http_does_not_have_are_none)
{
    for (const uint32_t status : { 0U, 99U, 200U, 404U, 599U, 600U, 999U }) {
        FakeHttpServer server([status](const FakeRequest&, FakeConnection& connection) {
            std::string digits = std::to_string(status);
            digits.insert(0, 3 - digits.size(), '0');
            connection.send("HTTP/1.1 " + digits + " Odd\r\nContent-Length: 2\r\n\r\nok");
        });
        const bool isResponse = status >= 200 && status <= 599;
        cr_expect_eq(isAnswered(server), isResponse, "status %u", status);
        const StreamEnd end = streamFrom(server, [](std::string_view) { return true; });
        cr_expect_eq(end.complete, isResponse, "status %u", status);
    }
}

// Guards against a client that collects what a server sends until its memory ends.
Test(http_client, responses_without_end_are_broken_off)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [start, repeated] : std::vector<std::pair<std::string, std::string>> {
             { head + "\r\n", "x" }, { head, "a:b\r\n" }, { head + "a: ", "x" } }) {
        std::atomic<size_t> sent { 0 };
        FakeHttpServer server(sendEndlessly(start, repeated, sent));
        cr_expect_not(isAnswered(server));
        cr_expect_lt(sent.load(), ByteLimit, "%s", repeated.c_str());
    }
}

Test(http_client, streams_end_when_their_receiver_wants_no_more)
{
    std::atomic<size_t> sent { 0 };
    FakeHttpServer server(sendEndlessly("HTTP/1.1 200 OK\r\n\r\n", "x", sent));
    size_t received = 0;
    const StreamEnd end = streamFrom(server, [&received](std::string_view data) {
        received += data.size();
        return received < PieceBytes;
    });
    cr_expect_not(end.complete);
    cr_expect(end.mayHaveArrived);
    cr_expect_lt(sent.load(), ByteLimit);
}

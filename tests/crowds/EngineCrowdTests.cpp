// Crowds of callers whose targets send bytes that are no answer, without end. Each test runs alone:
// a gateway with small limits must live and stay within them, and serve an ordinary request
// meanwhile.
#include "CrowdFleet.h"

#include <criterion/criterion.h>
#include <thread>

using namespace citronspoke;
using namespace citronspoke::crowds;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

constexpr size_t CrowdSize = 60;
constexpr size_t PieceBytes = 16000;
constexpr int TimeLimitMs = 20000;

const fakes::RouteOptions Streams { "streaming", "app", TimeLimitMs };
const fakes::RouteOptions ResumableStreams { "streaming", "app", TimeLimitMs, 2, true };
const fakes::RouteOptions Prompts { "streaming", "llm", TimeLimitMs, 2, true, true };

std::string signedHead(const FakeRequest& request, std::string_view lastFields)
{
    std::string text = "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nX-Attempt-Id: ";
    return text.append(request.field("X-Attempt-Id")).append("\r\n").append(lastFields);
}

/** Sends the piece over and over. @param most bytes after which nothing more is sent. */
void sendEndlessly(FakeConnection& connection, std::string_view piece, size_t most = SIZE_MAX)
{
    for (size_t sent = 0; connection.isOpen() && sent < most; sent += piece.size())
        connection.send(piece);
    connection.waitForClose();
}

std::string pieceOf(std::string_view repeated)
{
    std::string piece;
    while (piece.size() < PieceBytes)
        piece += repeated;
    return piece;
}

void beginEvents(const FakeRequest& request, FakeConnection& connection)
{
    connection.send(signedHead(
        request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
}

/**
 * Asks for streams on all connections of a crowd.
 * @param extraLines of each request; they end with CRLF.
 */
void expectBorne(ScriptedStreams streams, std::string_view extraLines = {})
{
    /** Until all targets have sent what the gateway takes in. */
    constexpr Milliseconds SendingTime { 2000 };
    CrowdFleet fleet(std::move(streams));
    Crowd crowd(fleet.callers(), CrowdSize);
    const std::string request
        = requestHead("POST", std::string(extraLines) + "Content-Length: 0\r\n", "/s/x");
    crowd.send(request, request.size(), [&fleet] { fleet.gateway().sampleDescriptors(); });
    std::this_thread::sleep_for(SendingTime);
    fleet.expectSound(crowd.receive());
}

} // namespace

// Guards against a gateway that keeps the beginning of an event for each stream until its memory
// ends.
Test(engine_crowds, events_without_end)
{
    expectBorne({ Streams, [](const FakeRequest& request, FakeConnection& connection) {
                     beginEvents(request, connection);
                     sendEndlessly(connection, http1::composeChunk(std::string(PieceBytes, 'x')));
                 } });
}

// Guards against the same where each event stays below the limit on a single one.
Test(engine_crowds, large_events_that_are_never_finished)
{
    constexpr size_t Sent = 1000000;
    expectBorne({ Streams, [](const FakeRequest& request, FakeConnection& connection) {
                     beginEvents(request, connection);
                     sendEndlessly(
                         connection, http1::composeChunk(std::string(PieceBytes, 'x')), Sent);
                 } });
}

// Guards against heads of many short fields, which take many times their size once they are parsed.
Test(engine_crowds, heads_of_short_fields_without_end)
{
    expectBorne({ Streams, [](const FakeRequest& request, FakeConnection& connection) {
                     connection.send(signedHead(request, ""));
                     sendEndlessly(connection, pieceOf("a:\r\n"));
                 } });
}

// Guards against the same where the target does not go on to the limit on a head.
Test(engine_crowds, heads_of_short_fields_that_are_never_finished)
{
    constexpr size_t Sent = size_t { 64 } << 10;
    expectBorne({ Streams, [](const FakeRequest& request, FakeConnection& connection) {
                     connection.send(signedHead(request, ""));
                     sendEndlessly(connection, pieceOf("a:\r\n"), Sent);
                 } });
}

// Guards against responses to a gateway's own calls: here, whether a target has restarted.
Test(engine_crowds, reports_without_end)
{
    expectBorne({ ResumableStreams,
                    [](const FakeRequest& request, FakeConnection& connection) {
                        connection.send(signedHead(request, "\r\n"));
                        sendEndlessly(connection, std::string(PieceBytes, ' '));
                    } },
        "Last-Event-Id: 2\r\nResumes: earlier\r\n");
}

// Guards against the same: here, the release of a prompt whose decode engine broke off.
Test(engine_crowds, responses_to_releases_without_end)
{
    expectBorne({ Prompts,
                    [](const FakeRequest& request, FakeConnection& connection) {
                        if (request.head.method == "DELETE") {
                            connection.send("HTTP/1.1 200 OK\r\n\r\n");
                            sendEndlessly(connection, std::string(PieceBytes, ' '));
                        } else if (!request.field("X-Kv-Source").empty()) {
                            connection.reset();
                        } else {
                            http1::Headers headers;
                            headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
                            connection.answer(
                                200, headers, R"({"kvHandle":"h1","tokens":1460,"version":1})");
                        }
                    } },
        "X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prefix-Hash: 5c1e:800,91bd:660\r\n");
}

// Guards against prompts whose prefill never ends, and against a body that is held until it is
// whole.
Test(engine_crowds, prefill_responses_without_end)
{
    expectBorne({ Prompts,
                    [](const FakeRequest& request, FakeConnection& connection) {
                        connection.send(signedHead(request, "\r\n"));
                        sendEndlessly(connection, std::string(PieceBytes, ' '));
                    } },
        "X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prefix-Hash: 5c1e:800,91bd:660\r\n");
}

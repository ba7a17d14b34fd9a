// Callers that read slowly or not at all, while the gateway holds their responses.
#include "CallerBuffers.h"
#include "GatewayFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

/** More than the operating system holds for both connections. */
constexpr size_t StreamBytes = size_t { 48 } << 20;
constexpr size_t EventBytes = 64000;

/** Sends a stream of StreamBytes. @param sent counts the bytes that were sent. */
void sendLongStream(
    const FakeRequest& request, FakeConnection& connection, std::atomic<size_t>& sent)
{
    http1::Headers headers;
    headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
    headers.add("X-Server-Stamp", "stamp");
    headers.add("Content-Type", "text/event-stream");
    headers.add("Transfer-Encoding", "chunked");
    connection.send(http1::composeResponse(200, "OK", headers));
    for (size_t id = 1; id * EventBytes < StreamBytes && connection.isOpen(); ++id) {
        connection.send(http1::composeChunk(
            "id: " + std::to_string(id) + "\ndata: " + std::string(EventBytes, 'x') + "\n\n"));
        sent += EventBytes;
    }
    connection.send(http1::LastChunk);
}

struct LongStreams {
    LongStreams()
    {
        fixture.addRoute("/s/", { "streaming", "app", 20000, 2, true });
        fixture.declare(1);
        fixture.addTarget("one", "app", [this](const FakeRequest& request, FakeConnection& to) {
            sendLongStream(request, to, sent);
        });
        fixture.start();
        GatewayFixture::waitUntil([this] { return fixture.readiness() == 200; });
    }
    /** Waits until the target sends no more. */
    void waitUntilPaused()
    {
        size_t before = 0;
        GatewayFixture::waitUntil([&] {
            std::this_thread::sleep_for(Milliseconds(300));
            return sent > 0 && std::exchange(before, sent.load()) == sent;
        });
    }

    std::atomic<size_t> sent { 0 };
    GatewayFixture fixture;
};

} // namespace

// Guards against a gateway that reads a stream faster than its caller and holds the rest.
Test(slow_callers, a_target_waits_for_a_caller_that_does_not_read)
{
    LongStreams streams;
    Caller caller(streams.fixture.callers());
    caller.send(requestText("GET", "/s/x", "a1", "Connection: close\r\n"));
    streams.waitUntilPaused();
    cr_assert_lt(streams.sent.load(), StreamBytes - EventBytes);
    const CallerResponse response = caller.receiveToEnd();
    cr_assert_eq(response.status, 200U);
    cr_assert(response.isComplete);
}

// Guards against many such callers, who together need more memory than a gateway has.
Test(slow_callers, many_callers_that_do_not_read_are_served_when_they_do)
{
    constexpr size_t Count = 8;
    LongStreams streams;
    std::vector<std::unique_ptr<Caller>> callers;
    for (size_t index = 0; index < Count; ++index) {
        callers.push_back(std::make_unique<Caller>(streams.fixture.callers()));
        callers.back()->send(
            requestText("GET", "/s/x", "a" + std::to_string(index), "Connection: close\r\n"));
    }
    streams.waitUntilPaused();
    cr_assert_lt(streams.sent.load(), Count * (StreamBytes - EventBytes));
    for (const std::unique_ptr<Caller>& caller : callers)
        cr_expect(caller->receiveToEnd().isComplete);
}

// Guards against large responses that are whole already, so that no target can wait.
Test(caller_buffers, disconnect_the_slowest_above_their_limit)
{
    constexpr size_t MaxBytes = size_t { 24 } << 20;
    CallerBuffers buffers(MaxBytes);
    const SteadyTime start { std::chrono::hours(1) };
    constexpr size_t Size = size_t { 4 } << 20;
    std::array<int, 7> callers {};
    for (size_t index = 0; index < callers.size(); ++index) {
        buffers.update(
            &callers[index], Size, [&callers, index] { callers[index] += 1; },
            start + Milliseconds(100 * index));
        cr_assert_leq(buffers.total(), MaxBytes);
        cr_assert_eq(buffers.isFull(), index >= 3);
    }
    cr_assert_eq(callers[0], 1);
    for (size_t index = 1; index < callers.size(); ++index)
        cr_assert_eq(callers[index], 0);
    for (const int& caller : callers)
        buffers.remove(&caller);
    cr_assert_eq(buffers.total(), 0U);
}

// Crowds of callers that send large, slow or unfinished requests. Each test runs alone: a process
// of the system with small limits must live and stay within them, and serve an ordinary request
// while the crowd's connections are open.
#include "CrowdFleet.h"
#include "FakeDocuments.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::crowds;

namespace {

constexpr size_t CrowdSize = 60;

std::string withLength(size_t length)
{
    return requestHead("POST", "Content-Length: " + std::to_string(length) + "\r\n");
}

std::string chunkedHead() { return requestHead("POST", "Transfer-Encoding: chunked\r\n"); }

std::string chunkOf(size_t size) { return http1::composeChunk(std::string(size, 'x')); }

std::string repeated(std::string_view text, size_t times)
{
    std::string whole;
    whole.reserve(text.size() * times);
    for (size_t count = 0; count < times; ++count)
        whole += text;
    return whole;
}

/** Sends a request that lacks its end on all connections of a crowd. */
void expectUnfinishedIsBorne(const std::string& unfinished, size_t sliceBytes)
{
    CrowdFleet fleet;
    Crowd crowd(fleet.callers(), CrowdSize);
    crowd.send(unfinished, sliceBytes, [&fleet] { fleet.gateway().sampleDescriptors(); });
    crowd.waitUntilRead();
    fleet.expectSound(crowd.receive());
    // What was not received as a whole has not run; one run is the ordinary request's.
    cr_expect_eq(fleet.runs(), 1U);
}

/** Sends a request that is too large on all connections of a crowd. */
void expectExcessIsBorne(const std::string& head, const std::string& part)
{
    constexpr size_t SentBytes = 6 * MaxBodyBytes;
    CrowdFleet fleet;
    Crowd crowd(fleet.callers(), CrowdSize);
    crowd.sendRepeated(head, part, SentBytes, [&fleet] { fleet.gateway().sampleDescriptors(); });
    fleet.expectSound(crowd.receiveAll());
    cr_expect_eq(fleet.runs(), 1U);
}

} // namespace

Test(request_crowds, whole_bodies_without_the_last_byte)
{
    const std::string request = withLength(MaxBodyBytes) + std::string(MaxBodyBytes - 1, 'x');
    expectUnfinishedIsBorne(request, request.size());
}

Test(request_crowds, bodies_in_pieces_without_the_last_byte)
{
    constexpr size_t PieceBytes = size_t { 16 } << 10;
    const std::string request = withLength(MaxBodyBytes) + std::string(MaxBodyBytes - 1, 'x');
    expectUnfinishedIsBorne(request, PieceBytes);
}

Test(request_crowds, large_chunks_without_the_last_one)
{
    const std::string request
        = chunkedHead() + chunkOf(MaxBodyBytes / 4) + chunkOf(MaxBodyBytes * 3 / 4);
    expectUnfinishedIsBorne(request, request.size());
}

Test(request_crowds, chunks_of_one_byte_without_the_last_one)
{
    constexpr size_t Chunks = 600000;
    constexpr size_t PieceBytes = size_t { 64 } << 10;
    expectUnfinishedIsBorne(chunkedHead() + repeated("1\r\nx\r\n", Chunks), PieceBytes);
}

// Trailers are not part of the body.
Test(request_crowds, trailers_without_an_end)
{
    constexpr size_t Trailers = 12000;
    expectUnfinishedIsBorne(
        chunkedHead() + "1\r\nx\r\n0\r\n" + repeated("a:b\r\n", Trailers), MaxHeadBytes);
}

// A head of many short fields takes several times its size once it is parsed.
Test(request_crowds, many_header_fields_without_the_body)
{
    constexpr size_t Fields = 12000;
    expectUnfinishedIsBorne(
        requestHead("POST", repeated("a:b\r\n", Fields) + "Content-Length: 9\r\n"), MaxHeadBytes);
}

Test(request_crowds, a_length_far_over_the_limit)
{
    expectExcessIsBorne(withLength(100'000'000'000), std::string(MaxBodyBytes, 'x'));
}

Test(request_crowds, a_chunk_far_over_the_limit)
{
    expectExcessIsBorne(chunkedHead() + "80000000\r\n", std::string(MaxBodyBytes / 8, 'x'));
}

Test(request_crowds, chunks_that_never_end)
{
    expectExcessIsBorne(chunkedHead(), chunkOf(MaxBodyBytes / 8));
}

// Nothing is wrong with these requests, but they are more than the process can hold at once.
Test(request_crowds, complete_bodies_at_once)
{
    CrowdFleet fleet("ok", Milliseconds(200));
    Crowd crowd(fleet.callers(), CrowdSize);
    const std::string request = withLength(MaxBodyBytes) + std::string(MaxBodyBytes, 'x');
    crowd.send(request, request.size(), [&fleet] { fleet.gateway().sampleDescriptors(); });
    const std::span<const CrowdReply> replies = crowd.receiveAll();
    size_t served = 0;
    for (const CrowdReply& reply : replies) {
        cr_expect(reply.isClosed || reply.status() != 0);
        served += reply.status() == 200 ? 1 : 0;
    }
    fleet.expectSound(replies);
    cr_expect_leq(served, fleet.runs());
}

// The gateway holds a response until it is whole, so that no target can wait.
Test(request_crowds, large_responses_at_once)
{
    CrowdFleet fleet(std::string(MaxBodyBytes, 'x'));
    Crowd crowd(fleet.callers(), CrowdSize);
    const std::string request = requestHead("GET", "");
    crowd.send(request, request.size(), [&fleet] { fleet.gateway().sampleDescriptors(); });
    const std::span<const CrowdReply> replies = crowd.receiveAll();
    for (const CrowdReply& reply : replies)
        cr_expect(reply.isClosed || reply.status() != 0);
    fleet.expectSound(replies);
}

// What callers send is also in the log, whose lines wait to be written.
Test(request_crowds, long_attempt_ids)
{
    constexpr size_t IdBytes = size_t { 14 } << 10;
    constexpr size_t Rounds = 40;
    const std::string request = "GET /a/x HTTP/1.1\r\nHost: " + std::string(fakes::RouteHost)
        + "\r\nX-Attempt-Id: " + std::string(IdBytes, 'a') + "\r\n\r\n";
    CrowdFleet fleet;
    for (size_t round = 0; round < Rounds; ++round) {
        Crowd crowd(fleet.callers(), CrowdSize);
        crowd.send(request, request.size());
        crowd.receiveAll();
        fleet.gateway().sampleDescriptors();
    }
    fleet.expectSound({});
}

// One request that is as large as the declaration allows is served while nothing else happens.
Test(request_crowds, single_requests_within_the_limits_are_served)
{
    const std::string body(MaxBodyBytes, 'x');
    const std::vector<std::string> requests {
        withLength(MaxBodyBytes) + body,
        chunkedHead() + chunkOf(MaxBodyBytes) + std::string(http1::LastChunk),
        chunkedHead() + repeated("1\r\nx\r\n", MaxBodyBytes) + std::string(http1::LastChunk),
        requestHead("GET", repeated("a:b\r\n", 2000)),
    };
    CrowdFleet fleet;
    for (const std::string& request : requests)
        cr_expect_eq(fleet.statusOf(request), 200U);
    fleet.expectSound({});
    cr_expect_eq(fleet.runs(), requests.size() + 1);
}

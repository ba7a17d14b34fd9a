// Crowds of connections that stay open, and of requests to the pages for operators and load
// balancers. The same bounds hold as in RequestCrowdTests.cpp.
#include "CrowdFleet.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::crowds;

namespace {

/** More than the process may open. */
constexpr size_t ConnectionCount = 400;

void expectConnectionsAreBorne(std::string_view sent)
{
    CrowdFleet fleet;
    Crowd crowd(fleet.callers(), ConnectionCount);
    crowd.send(sent, sent.size(), [&fleet] { fleet.gateway().sampleDescriptors(); });
    crowd.waitUntilRead();
    fleet.expectSound(crowd.receive());
}

void expectPageRequestsAreBorne(
    const fleet::Address& address, ProcessUnderTest& process, std::string_view path)
{
    constexpr size_t ClientCount = 20;
    constexpr size_t RequestCount = 4000;
    std::string request = "GET ";
    request.append(path).append(" HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string requests;
    for (size_t count = 0; count < RequestCount; ++count)
        requests += request;
    {
        Crowd crowd(address, ClientCount);
        crowd.stopReceiving();
        crowd.send(requests, requests.size(), [&process] { process.sampleDescriptors(); });
        crowd.waitUntilRead();
        cr_expect_eq(exchangeStatus(address, request), 200U);
        process.expectWithinLimits();
    }
    Crowd connections(address, ConnectionCount);
    connections.send("G", 1);
    connections.waitUntilRead();
    process.sampleDescriptors();
    cr_expect_eq(exchangeStatus(address, request), 200U);
    process.expectWithinLimits();
}

} // namespace

Test(connection_crowds, connections_that_send_nothing) { expectConnectionsAreBorne(""); }

Test(connection_crowds, connections_that_send_one_byte) { expectConnectionsAreBorne("G"); }

Test(connection_crowds, requests_to_the_operators_page_of_a_gateway)
{
    CrowdFleet fleet;
    expectPageRequestsAreBorne(fleet.operators(), fleet.gateway(), "/metrics");
    fleet.expectSound({});
}

Test(connection_crowds, requests_to_the_readiness_page_of_a_gateway)
{
    CrowdFleet fleet;
    expectPageRequestsAreBorne(fleet.readiness(), fleet.gateway(), "/readyz");
    fleet.expectSound({});
}

Test(connection_crowds, requests_to_the_operators_page_of_a_sidecar)
{
    fakes::FakeHttpServer engine([](const fakes::FakeRequest&, fakes::FakeConnection& connection) {
        connection.answer(503, {}, "");
    });
    localfleet::PortPicker ports;
    const fleet::Address operators { "127.0.0.1", ports.pick() };
    ProcessUnderTest sidecar("citronspoke-sidecar",
        "id = \"sidecar-1\"\nzone = \"zone-a\"\nengine = \"" + engine.address().text()
            + "\"\noperator = \"" + operators.text() + "\"\n" + limitSettings(TestLimits),
        TestLimits);
    const SteadyTime start = steadyNow();
    while (exchangeStatus(operators, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n") != 200)
        cr_assert(steadyNow() - start < std::chrono::seconds(30));
    expectPageRequestsAreBorne(operators, sidecar, "/metrics");
}

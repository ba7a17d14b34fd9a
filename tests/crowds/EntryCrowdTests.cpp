// The same crowds at the entry, the program of the product's own interface.
#include "CrowdFleet.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::crowds;

Test(entry_crowds, whole_bodies_without_the_last_byte)
{
    constexpr size_t CrowdSize = 60;
    constexpr size_t BodyBytes = size_t { 4 } << 20;
    // The program has no settings for its limits yet.
    constexpr ProcessLimits EntryLimits { 96, 256 };
    localfleet::PortPicker ports;
    const auto address = [&ports] { return fleet::Address { "127.0.0.1", ports.pick() }; };
    const fleet::Address callers = address();
    const auto quoted = [](const std::string& text) { return "\"" + text + "\"\n"; };
    ProcessUnderTest entry("citronspoke-entry",
        "id = \"entry-1\"\nzone = \"zone-a\"\ncallers = " + quoted(callers.text()) + "mailbox = "
            + quoted("tcp://" + address().text()) + "operator = " + quoted(address().text())
            + "store = " + quoted("http://" + address().text())
            + "vm_list = " + quoted("http://" + address().text()),
        EntryLimits);
    const std::string health = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    const SteadyTime start = steadyNow();
    while (exchangeStatus(callers, health) != 200)
        cr_assert(steadyNow() - start < std::chrono::seconds(30));
    const std::string request = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: "
        + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes - 1, 'x');
    Crowd crowd(callers, CrowdSize);
    crowd.send(request, request.size(), [&entry] { entry.sampleDescriptors(); });
    crowd.waitUntilRead();
    cr_expect_eq(exchangeStatus(callers, health), 200U);
    entry.expectWithinLimits();
}

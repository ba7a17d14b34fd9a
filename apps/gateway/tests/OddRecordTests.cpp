// Records among those of the targets that another writer has left.
#include "VersionFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

namespace {

std::string recordText(
    std::string_view address, std::string_view slots = "4", std::string_view furtherFields = "")
{
    std::string text = R"({"service":"app","zone":"zone-a","state":"ready","address":")";
    text.append(address).append(R"(","slots":)").append(slots).append(furtherFields).append("}");
    return text;
}

/** Writes a record and asserts that gateways use the other targets, and follow the list. */
void assertOthersAreUsed(const std::string& value)
{
    GatewayFixture fixture;
    startTwoTargets(fixture, Repeatable, answerOk);
    fixture.store().put("servers/odd", value);
    // One gateway receives the record as a change, the other one reads it with the list.
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness(1) == 200; });
    fixture.addTarget("late", "app", answerOk);
    for (size_t gateway : { 0U, 1U }) {
        // The last report of the first gateway's work may name the new target as busy.
        std::this_thread::sleep_for(SettleTime);
        const size_t before = fixture.seenBy("late");
        for (int attempt = 0; attempt < 30; ++attempt) {
            Caller caller(fixture.callers(gateway));
            caller.send(requestText("GET", "/a/x", "a" + std::to_string(attempt)));
            cr_assert_eq(caller.receive().status, 200U);
        }
        cr_assert_gt(fixture.seenBy("late"), before);
    }
}

} // namespace

// Guards against gateways that end, or cease to follow the targets, because of one odd record.

Test(odd_records, with_a_host_name) { assertOthersAreUsed(recordText("localhost:8080")); }

Test(odd_records, with_an_ip_out_of_range) { assertOthersAreUsed(recordText("127.0.0.256:8080")); }

Test(odd_records, with_a_port_out_of_range) { assertOthersAreUsed(recordText("127.0.0.1:70000")); }

Test(odd_records, with_a_number_of_slots_that_is_too_large)
{
    assertOthersAreUsed(recordText("127.0.0.1:8080", "4294967296"));
}

Test(odd_records, with_a_number_beyond_all_types)
{
    assertOthersAreUsed(recordText("127.0.0.1:8080", "1e999"));
}

Test(odd_records, with_a_time_of_start_that_is_too_large)
{
    assertOthersAreUsed(recordText("127.0.0.1:8080", "4", R"(,"born":18446744073709551615)"));
}

Test(odd_records, nested_very_deeply)
{
    constexpr size_t Depth = 300000;
    const std::string nested = std::string(Depth, '[') + std::string(Depth, ']');
    assertOthersAreUsed(recordText("127.0.0.1:8080", "4", R"(,"labels":)" + nested));
}

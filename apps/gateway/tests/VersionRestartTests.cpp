// Streams that callers resume after all gateways were killed while versions changed.
#include "RestartFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

namespace {

constexpr std::string_view RecordKey = "citronspoke/versions/llm";

} // namespace

// Guards against a version that served and left without having been recorded.
Test(version_restarts, a_version_that_left_before_it_was_recorded_is_not_forgotten)
{
    RestartFixture fixture;
    fixture.store().refuseWrites(true);
    fixture.addEngine("old", "v1");
    fixture.start(1);
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    std::this_thread::sleep_for(SettleTime);
    Caller caller(fixture.callers());
    beginStream(caller, "a1");
    fixture.killGateway(0);
    fixture.replaceEngine("old", "new", "v2");
    fixture.store().refuseWrites(false);
    fixture.start(1);
    GatewayFixture::waitUntil([&] { return fixture.readiness(1) == 200; });
    std::this_thread::sleep_for(SettleTime);
    Caller resuming(fixture.callers(1));
    resuming.send(resumeText("a2", "a1"));
    cr_assert_eq(resuming.receive().status, 503U);
    cr_assert_eq(fixture.seenBy("new"), 0U);
}

// Guards against a record of the first run that lacks the version of the second one.
Test(version_restarts, two_kills_within_the_lifetime_of_the_record_join_no_versions)
{
    RestartFixture fixture;
    fixture.addEngine("first", "v1");
    fixture.startGateways();
    GatewayFixture::waitUntil(
        [&] { return fixture.store().contents().contains(std::string(RecordKey)); });
    fixture.killGateways();
    fixture.replaceEngine("first", "second", "v2");
    fixture.startGateways();
    fixture.begin("a1");
    fixture.killGateways();
    // As it was before the second run: its write came too late.
    fixture.store().put(std::string(RecordKey), "v1\n");
    fixture.replaceEngine("second", "third", "v1");
    fixture.startGateways();
    cr_assert_eq(fixture.resume("a1"), 503U);
    cr_assert_eq(fixture.seenBy("third"), 0U);
}

// Guards against targets in the list being the only ones that a gateway knows of when it reads
// them after the store was down.
Test(version_restarts, a_store_that_is_down_while_gateways_start_joins_no_versions)
{
    RestartFixture fixture;
    fixture.addEngine("old", "v1");
    fixture.startGateways();
    fixture.begin("a1");
    fixture.killGateways();
    fixture.replaceEngine("old", "new", "v2");
    fixture.store().put(std::string(RecordKey), "");
    fixture.store().refuse(true);
    fixture.start(2);
    std::this_thread::sleep_for(SettleTime);
    cr_assert_eq(fixture.resume("a1"), 503U);
    fixture.store().refuse(false);
    std::this_thread::sleep_for(SettleTime);
    GatewayFixture::waitUntil([&] { return fixture.readiness(2) == 200; });
    cr_assert_eq(fixture.resume("a1"), 503U);
    cr_assert_eq(fixture.seenBy("new"), 0U);
}

// Guards against a record that a restore brought back to a time before the version that served.
Test(version_restarts, a_store_restored_while_no_gateway_runs_joins_no_versions)
{
    RestartFixture fixture;
    fixture.addEngine("new", "v2");
    fixture.store().put(std::string(RecordKey), "v2\n");
    const std::shared_ptr<const fakes::FakeFleetStore::Copy> copy = fixture.store().copy();
    fixture.replaceEngine("new", "old", "v1");
    fixture.startGateways();
    fixture.begin("a1");
    fixture.killGateways();
    fixture.store().restore(*copy);
    fixture.startGateways();
    cr_assert_eq(fixture.resume("a1"), 503U);
    cr_assert_eq(fixture.seenBy("new"), 0U);
}

// Guards against a record that was written only after the version that it lacks had left.
Test(version_restarts, a_record_written_late_joins_no_versions)
{
    RestartFixture fixture;
    fixture.addEngine("old", "v1");
    fixture.startGateways();
    fixture.begin("a1");
    fixture.killGateways();
    fixture.replaceEngine("old", "new", "v2");
    fixture.store().put(std::string(RecordKey), "v2\n");
    fixture.startGateways();
    cr_assert_eq(fixture.resume("a1"), 503U);
    cr_assert_eq(fixture.seenBy("new"), 0U);
}

// Guards against a record of an earlier time that names the version that serves again.
Test(version_restarts, versions_that_swap_places_are_not_joined)
{
    RestartFixture fixture;
    fixture.addEngine("a-1", "v1");
    fixture.addEngine("b-1", "v2");
    fixture.startGateways();
    fixture.begin("a1");
    const std::string begunAt = fixture.seenBy("a-1") > 0 ? "a" : "b";
    fixture.killGateways();
    fixture.store().remove("servers/a-1");
    fixture.store().remove("servers/b-1");
    // The engine at which the stream began has the other version now; the other one has left.
    const std::string version = begunAt == "a" ? "v2" : "v1";
    fixture.addEngine("c-1", version);
    fixture.store().put(std::string(RecordKey), version + "\n");
    fixture.startGateways();
    cr_assert_eq(fixture.resume("a1"), 503U);
    cr_assert_eq(fixture.seenBy("c-1"), 0U);
}

// Guards against a target that has restarted under its id with another version while no gateway
// ran, in the record of which only the new version is left.
Test(version_restarts, a_target_that_restarted_under_its_id_joins_no_versions)
{
    RestartFixture fixture;
    fixture.addEngine("one", "v1", 1000);
    fixture.startGateways();
    fixture.begin("a1");
    fixture.killGateways();
    fixture.store().put(std::string(RecordKey), "v2\n");
    fixture.addEngine("one", "v2");
    fixture.startGateways();
    const size_t before = fixture.seenBy("one");
    cr_assert_eq(fixture.resume("a1"), 503U);
    cr_assert_eq(fixture.seenBy("one"), before);
}

// Guards against streams that are refused after a kill of all gateways although targets of their
// version serve.
Test(version_restarts, streams_go_on_at_their_version_after_all_gateways_were_killed)
{
    constexpr size_t Streams = 20;
    RestartFixture fixture;
    fixture.startSidecar();
    fixture.addEngine("old", "v1");
    fixture.startGateways();
    for (size_t number = 0; number < Streams; ++number)
        fixture.begin("a" + std::to_string(number));
    fixture.killGateways();
    fixture.addEngine("new", "v2");
    fixture.startGateways();
    size_t served = 0;
    for (size_t number = 0; number < Streams; ++number)
        served += fixture.resume("a" + std::to_string(number)) == 200 ? 1 : 0;
    cr_assert_eq(served, Streams);
    cr_assert_eq(fixture.seenBy("old"), 2 * Streams);
    cr_assert_eq(fixture.seenBy("new"), 0U);
}

// Guards against a stream that goes on at another version because its own has left.
Test(version_restarts, a_stream_whose_version_left_with_the_gateways_is_refused)
{
    RestartFixture fixture;
    fixture.startSidecar();
    fixture.addEngine("old", "v1");
    fixture.startGateways();
    fixture.begin("a1");
    fixture.killGateways();
    fixture.replaceEngine("old", "new", "v2");
    fixture.startGateways();
    cr_assert_eq(fixture.resume("a1"), 503U);
    cr_assert_eq(fixture.seenBy("new"), 0U);
}

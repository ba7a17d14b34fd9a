// Streams that callers resume after all gateways were killed while versions changed.
#include "VersionFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

namespace {

constexpr std::string_view RecordKey = "citronspoke/versions/llm";

/** Pools of engines whose version changes while no gateway runs. */
class RestartFixture : public GatewayFixture {
public:
    RestartFixture()
    {
        addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
        declare(1);
    }
    ~RestartFixture() { isEnding = true; }
    RestartFixture(const RestartFixture&) = delete;
    RestartFixture& operator=(const RestartFixture&) = delete;

    /**
     * Adds an engine that leaves new streams open after two events and ends resumed ones. The
     * prefill engine has its version from now on.
     */
    void addEngine(const std::string& id, const std::string& version, int64_t startedAt = 0)
    {
        const Script script
            = [this](const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
                  if (!request.field("Last-Event-Id").empty()) {
                      streamToEnd(request, connection);
                      return;
                  }
                  sendEvents(request, connection, 1, 2);
                  waitUntil([this] { return isEnding.load(); });
              };
        addTarget(id, "llm", script, "decode", version, startedAt);
        addTarget("reader", "llm", prefillPrompt, "prefill", version);
    }
    /** Starts two gateways and waits until they serve. */
    void startGateways()
    {
        start(Gateways);
        for (size_t gateway = m_firstGateway; gateway < m_firstGateway + Gateways; ++gateway)
            waitUntil([&] { return readiness(gateway) == 200; });
        waitUntil([this] { return areAnnounced(); });
        std::this_thread::sleep_for(SettleTime);
    }
    void killGateways()
    {
        for (size_t count = 0; count < Gateways; ++count)
            killGateway(m_firstGateway++);
    }
    fleet::Address firstCallers() const { return callers(m_firstGateway); }
    /** Begins a stream at a gateway; the engine leaves it open. */
    void begin(const std::string& attempt)
    {
        m_callers.push_back(std::make_unique<Caller>(firstCallers()));
        beginStream(*m_callers.back(), attempt);
    }
    /** @return the status with which a stream is resumed. */
    uint32_t resume(const std::string& first)
    {
        Caller caller(firstCallers());
        caller.send(resumeText(first + "-again", first));
        return caller.receive().status;
    }
    /** Replaces an engine by one of another version. */
    void replaceEngine(
        const std::string& before, const std::string& after, const std::string& version)
    {
        store().remove("servers/" + before);
        addEngine(after, version);
    }

    std::atomic<bool> isEnding { false };

private:
    static constexpr size_t Gateways = 2;

    bool areAnnounced()
    {
        const std::map<std::string, std::string> contents = store().contents();
        return contents.contains(
                   "citronspoke/gateways/gateway-" + std::to_string(m_firstGateway + 1))
            && contents.contains(
                "citronspoke/gateways/gateway-" + std::to_string(m_firstGateway + Gateways));
    }

    size_t m_firstGateway = 0;
    std::vector<std::unique_ptr<Caller>> m_callers;
};

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

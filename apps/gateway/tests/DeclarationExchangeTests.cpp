// Gateways that the store does not serve, and the declaration that they get from others.
#include "OrganisationFixture.h"
#include "telemetry/Telemetry.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;

namespace {

/** Longer than the long poll of the fixture's gateways. */
constexpr Milliseconds WatchTime { 1800 };

/** Two gateways, of which the store can refuse the second one only. */
class ExchangeFixture : public OrganisationFixture {
public:
    void startBoth()
    {
        addRoute("/a/", Repeatable);
        declare(1);
        addTarget("one", "app", answerOk);
        useSecondStoreAddress(1);
        startReady(2);
        waitUntil([this] { return store().contents().contains(announcement(1)); });
        waitUntil([this] { return store().contents().contains(announcement(2)); });
        // Each gateway has read the other's announcement by then.
        std::this_thread::sleep_for(Milliseconds(1000));
    }

    static std::string announcement(int gateway)
    {
        return "citronspoke/gateways/gateway-" + std::to_string(gateway);
    }

    /** @return status of the response to a request with a key for a route that has a target. */
    uint32_t servedStatus(const std::string& key, size_t gateway) const
    {
        Caller caller(callers(gateway));
        caller.send(requestText("GET", "/a/x", "served", keyLine(key)));
        return caller.receive().status;
    }

    /** @return the response of a gateway to another one. */
    CallerResponse declarationOf(size_t gateway, const std::string& query) const
    {
        Caller caller(operatorAddress(gateway));
        caller.send("GET /declaration" + query + " HTTP/1.1\r\nHost: h\r\n\r\n");
        return caller.receive();
    }
};

} // namespace

// Guards against a removed key that stays valid at a gateway that the store does not serve.
Test(declaration_exchange, a_gateway_that_the_store_refuses_follows_another)
{
    ExchangeFixture fixture;
    fixture.startBoth();
    fixture.store().refuseSecondAddress(true);
    // The watch that the store already serves may still bring a change.
    std::this_thread::sleep_for(WatchTime);
    fixture.setOrganisation("a", {});
    fixture.setOrganisation("b", { KeyOfB, "new-key" });
    const SteadyTime declaredAt = steadyNow();
    fixture.declare(2);
    GatewayFixture::waitUntil([&] { return fixture.statusOf("new-key", 1) == 404; });
    // Apply time and clock skew of the deployments.
    cr_expect_lt((steadyNow() - declaredAt) / Milliseconds(1), 9000);
    cr_expect(telemetry::metricsText().find("declarations_fetched_total") != std::string::npos);
    // A 503 would show that the gateway does not count as confirmed.
    for (int second = 0; second < 4; ++second) {
        cr_expect_eq(fixture.statusOf(KeyOfA, 1), 401U);
        std::this_thread::sleep_for(Milliseconds(1000));
    }
}

// Guards against two gateways without the store that confirm each other's old declaration.
Test(declaration_exchange, a_gateway_without_the_store_confirms_nothing)
{
    ExchangeFixture fixture;
    fixture.startBoth();
    fixture.store().refuse(true);
    GatewayFixture::waitUntil([&] { return fixture.statusOf("unknown", 1) == 503; });
    std::this_thread::sleep_for(Milliseconds(1500));
    cr_expect_eq(fixture.statusOf("unknown", 1), 503U);
    cr_expect_eq(fixture.servedStatus(KeyOfA, 1), 200U);
}

// Guards against a gateway that starts with a restored store and accepts keys removed since.
Test(declaration_exchange, a_gateway_that_starts_with_an_older_document_gets_the_newer_one)
{
    ExchangeFixture fixture;
    fixture.addRoute("/a/", Repeatable);
    fixture.declare(1);
    fixture.addTarget("one", "app", answerOk);
    const std::shared_ptr<const fakes::FakeFleetStore::Copy> copy = fixture.store().copy();
    fixture.startReady(1);
    fixture.removeKeyOfA(2);
    fixture.store().restore(*copy);
    fixture.start(1);
    GatewayFixture::waitUntil([&] { return fixture.readiness(1) == 200; });
    GatewayFixture::waitUntil([&] { return fixture.statusOf(KeyOfA, 1) == 401; });
}

// Guards against keys on the network between gateways.
Test(declaration_exchange, the_document_holds_no_keys)
{
    ExchangeFixture fixture;
    fixture.startBoth();
    const CallerResponse response = fixture.declarationOf(0, "?after=0");
    cr_assert_eq(response.status, 200U);
    cr_expect(response.body.find("apiKeyDigests") != std::string::npos);
    cr_expect(response.body.find(KeyOfA) == std::string::npos);
    cr_expect(response.body.find(KeyOfB) == std::string::npos);
    cr_expect(response.headers.find("Store-Age-Ms").has_value());
    cr_expect_eq(fixture.declarationOf(0, "?after=1").status, 204U);
    cr_expect_eq(fixture.declarationOf(0, "?after=x").status, 204U);
    cr_expect_eq(fixture.declarationOf(0, "").status, 204U);
}

// Guards against the setting that has no effect, and against its effect where it is not set.
Test(declaration_exchange, unconfirmed_keys_are_refused_where_the_setting_says_so)
{
    ExchangeFixture fixture;
    fixture.refuseUnconfirmedKeys(Milliseconds(3000));
    fixture.startBoth();
    // The other gateway confirms the declaration for as long as the store serves it.
    fixture.store().refuseSecondAddress(true);
    std::this_thread::sleep_for(Milliseconds(5000));
    cr_expect_eq(fixture.servedStatus(KeyOfA, 1), 200U);
    fixture.store().refuse(true);
    for (size_t gateway = 0; gateway < 2; ++gateway)
        GatewayFixture::waitUntil([&] { return fixture.servedStatus(KeyOfA, gateway) == 503; });
    const size_t seenBefore = fixture.seen().size();
    for (size_t gateway = 0; gateway < 2; ++gateway)
        cr_expect_eq(fixture.servedStatus(KeyOfA, gateway), 503U);
    cr_expect_eq(fixture.seen().size(), seenBefore);
    fixture.store().refuse(false);
    for (size_t gateway = 0; gateway < 2; ++gateway)
        GatewayFixture::waitUntil([&] { return fixture.servedStatus(KeyOfA, gateway) == 200; });
}

// Guards against a large declaration that is not adopted, or adopted out of order.
Test(declaration_exchange, large_declarations_are_adopted_in_order)
{
    ExchangeFixture fixture;
    std::vector<std::string> keys;
    keys.reserve(3000);
    for (int key = 0; key < 3000; ++key)
        keys.push_back("key-number-" + std::to_string(key));
    fixture.setOrganisation("many", keys);
    fixture.startBoth();
    cr_expect_eq(fixture.statusOf("key-number-2999"), 404U);
    for (int version = 2; version < 12; ++version) {
        keys.back() = "key-of-revision-" + std::to_string(version);
        fixture.setOrganisation("many", keys);
        fixture.declare(version);
        std::this_thread::sleep_for(Milliseconds(20));
    }
    for (size_t gateway = 0; gateway < 2; ++gateway)
        GatewayFixture::waitUntil(
            [&] { return fixture.statusOf("key-of-revision-11", gateway) == 404; });
    fixture.setOrganisation("many", {});
    fixture.declare(12);
    GatewayFixture::waitUntil([&] { return fixture.statusOf("key-number-0") == 401; });
    std::this_thread::sleep_for(Milliseconds(500));
    cr_expect_eq(fixture.statusOf("key-of-revision-11"), 401U);
}

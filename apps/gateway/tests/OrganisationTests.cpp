// Callers' keys: which requests are served, and what targets and logs get of them.
#include "OrganisationFixture.h"
#include "telemetry/Telemetry.h"

#include <criterion/criterion.h>
#include <sys/mman.h>
#include <unistd.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

void startApplication(OrganisationFixture& fixture, const RouteOptions& options = Repeatable)
{
    fixture.addRoute("/a/", options);
    fixture.declare(1);
    fixture.addTarget("one", "app", answerOk);
    fixture.startReady();
}

/** Sends a request for a prompt and receives its whole stream from two engines. */
void streamWithKey(OrganisationFixture& fixture)
{
    fixture.addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
    fixture.declare(1);
    fixture.addTarget("reader", "llm", prefillPrompt, "prefill");
    std::atomic<bool> hasFailed = false;
    const GatewayFixture::Script decode
        = [&hasFailed](const FakeRequest& request, FakeConnection& connection) {
              const std::string last = request.field("Last-Event-Id");
              if (!hasFailed.exchange(true)) {
                  sendEvents(request, connection, 1, 2);
                  connection.reset();
                  return;
              }
              sendEvents(request, connection, last.empty() ? 1 : std::stoi(last) + 1, 4);
              connection.send(http1::LastChunk);
          };
    fixture.addTarget("first", "llm", decode, "decode");
    fixture.addTarget("second", "llm", decode, "decode");
    fixture.startReady();
    const CallerResponse response
        = sendRequest(fixture, requestText("POST", "/s/x", "r1", PromptLines + keyLine(KeyOfA)));
    cr_assert(response.isComplete);
}

} // namespace

// Guards against requests without a valid key that run.
Test(organisations, unknown_and_missing_keys_are_refused_before_anything_is_sent)
{
    OrganisationFixture fixture;
    startApplication(fixture);
    for (const std::string& lines : { std::string(), keyLine("other"), keyLine(KeyOfA + "x"),
             "Authorization: Bearer " + KeyOfA + "\r\n", keyLine(KeyOfA) + keyLine(KeyOfA),
             std::string("X-Tenant: a\r\n"), keyLine(std::string(300, 'k')) }) {
        const CallerResponse response
            = sendRequest(fixture, requestText("GET", "/a/x", "r1", lines));
        cr_expect_eq(response.status, 401U, "%s", lines.c_str());
        cr_expect(!response.headers.find("Retry-After"));
    }
    cr_expect_eq(fixture.seenBy("one"), 0U);
}

// Guards against a caller that names another organisation than its own.
Test(organisations, the_target_gets_the_organisation_of_the_key)
{
    OrganisationFixture fixture;
    startApplication(fixture);
    const CallerResponse response = sendRequest(
        fixture, requestText("GET", "/a/x", "r1", keyLine(KeyOfB) + "X-Tenant: a\r\n"));
    cr_assert_eq(response.status, 200U);
    const FakeRequest request = fixture.seen().back().request;
    cr_expect_eq(request.field("X-Tenant"), "b");
    cr_expect_eq(request.head.headers.count("X-Tenant"), 1U);
    cr_expect_eq(request.field("Authorization"), "");
}

// Guards against a key that reaches a target in a prefill, a decode, a resumed run or a release.
Test(organisations, no_step_sends_the_key_to_a_target)
{
    OrganisationFixture fixture;
    streamWithKey(fixture);
    cr_expect_geq(fixture.seen().size(), 4U);
    cr_expect(!fixture.wasSentToTargets(KeyOfA));
    for (const SeenRequest& seen : fixture.seen()) {
        if (seen.request.head.method == "POST")
            cr_expect_eq(seen.request.field("X-Tenant"), "a", "%s", seen.target.c_str());
    }
}

// Guards against keys in log lines and metrics, where many people read them.
Test(organisations, logs_and_metrics_do_not_hold_keys)
{
    const int log = memfd_create("log", 0);
    const int output = dup(STDOUT_FILENO);
    dup2(log, STDOUT_FILENO);
    telemetry::configureLogging(true);
    {
        OrganisationFixture fixture;
        // A malformed organisation, and a key that two organisations have.
        fixture.setOrganisation("c", { KeyOfB });
        fixture.setOrganisation("", { "key-of-none-33" });
        streamWithKey(fixture);
        cr_expect_eq(fixture.statusOf(KeyOfB), 401U);
        cr_expect_eq(fixture.statusOf("key-unknown-77"), 401U);
        fixture.removeKeyOfA(2);
    }
    telemetry::finishLogging();
    dup2(output, STDOUT_FILENO);
    std::string text(static_cast<size_t>(lseek(log, 0, SEEK_END)), ' ');
    cr_assert_eq(pread(log, text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    cr_expect(text.find("Refused a key.") != std::string::npos);
    cr_expect(text.find("Two organisations have the same key") != std::string::npos);
    cr_expect(text.find("Skipped a malformed organisation.") != std::string::npos);
    text += telemetry::metricsText();
    cr_expect(text.find("keys_refused_total") != std::string::npos);
    for (const std::string& key :
        { KeyOfA, KeyOfB, std::string("key-of-none-33"), std::string("key-unknown-77") })
        cr_expect(text.find(key) == std::string::npos, "%s", key.c_str());
}

// Guards against public routes that need a key, and against forged organisations there.
Test(organisations, a_public_route_needs_no_key)
{
    OrganisationFixture fixture;
    RouteOptions options = Repeatable;
    options.isPublic = true;
    startApplication(fixture, options);
    for (const auto& [lines, organisation] : std::map<std::string, std::string> {
             { "X-Tenant: a\r\n", "" }, { keyLine("other"), "" }, { keyLine(KeyOfA), "a" } }) {
        const CallerResponse response
            = sendRequest(fixture, requestText("GET", "/a/x", "r1", lines));
        cr_expect_eq(response.status, 200U);
        cr_expect_eq(fixture.seen().back().request.field("X-Tenant"), organisation);
        cr_expect_eq(fixture.seen().back().request.field("Authorization"), "");
    }
}

// Guards earlier deployments: no key is needed, and both fields reach the target.
Test(organisations, without_organisations_nothing_changes)
{
    GatewayFixture fixture;
    startTwoTargets(fixture, Repeatable, answerOk);
    cr_expect_eq(sendRequest(fixture, requestText("GET", "/a/x", "r1")).status, 200U);
    cr_expect_eq(sendRequest(fixture, requestText("GET", "/none", "r2")).status, 404U);
    const std::string lines = keyLine(KeyOfA) + "X-Tenant: mine\r\n";
    cr_expect_eq(sendRequest(fixture, requestText("GET", "/a/x", "r3", lines)).status, 200U);
    const FakeRequest request = fixture.seen().back().request;
    cr_expect_eq(request.field("Authorization"), "Token " + KeyOfA);
    cr_expect_eq(request.field("X-Tenant"), "mine");
}

// Guards against organisations whose requests are ordered by their route's priority.
Test(organisations, the_priority_of_the_organisation_goes_before_that_of_the_route)
{
    OrganisationFixture fixture;
    fixture.setOrganisation("a", { KeyOfA }, 4);
    fixture.addRoute("/e/", { "idempotent", "llm" });
    fixture.declare(1);
    fixture.addTarget("engine", "llm", answerOk, "decode");
    fixture.startReady();
    for (const auto& [key, priority] :
        std::map<std::string, std::string> { { KeyOfA, "4" }, { KeyOfB, "1" } }) {
        sendRequest(fixture, requestText("POST", "/e/x", "r1", keyLine(key)));
        cr_expect_eq(fixture.seen().back().request.field("X-Request-Priority"), priority);
    }
}

// Guards against a 401 for a valid key that a stale declaration does not have yet.
Test(organisations, a_stale_declaration_refuses_with_503)
{
    OrganisationFixture fixture;
    startApplication(fixture);
    fixture.store().refuse(true);
    CallerResponse response;
    GatewayFixture::waitUntil([&] {
        response = sendRequest(fixture, requestText("GET", "/a/x", "r1", keyLine("new")));
        return response.status != 401;
    });
    cr_expect_eq(response.status, 503U);
    cr_expect(response.headers.find("Retry-After").has_value());
    cr_expect_eq(
        sendRequest(fixture, requestText("GET", "/a/x", "r2", keyLine(KeyOfA))).status, 200U);
}

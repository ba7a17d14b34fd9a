#include "CrashQuarantine.h"
#include "GatewayFixture.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;
using namespace citronspoke::gateway::tests;
using fakes::FakeConnection;
using fakes::FakeRequest;

namespace {

fleet::TargetRecord target(const std::string& id)
{
    fleet::TargetRecord record;
    record.id = TargetId(id);
    return record;
}

http1::RequestHead head(const std::string& path, const std::string& attempt)
{
    http1::RequestHead head;
    head.method = "POST";
    head.target = path;
    head.headers.add("Host", "site.example");
    head.headers.add("X-Attempt-Id", attempt);
    return head;
}

/** Crashes on one path, serves all others. */
void crashOnPoison(const FakeRequest& request, FakeConnection& connection)
{
    if (request.head.target == "/a/poison")
        connection.reset();
    else
        answerSigned(request, connection);
}

} // namespace

Test(crash_watch, a_request_has_the_same_fingerprint_in_each_attempt)
{
    const fleet::Prompt prompt { "m", 100, 10, { { "5c1e", 80 }, { "91bd", 20 } } };
    const fleet::Prompt other { "m", 100, 10, { { "5c1e", 80 }, { "ffff", 20 } } };
    const std::vector<std::string> body { "body" };
    const std::vector<std::string> parts { "bo", "dy" };
    const std::vector<std::string> otherBody { "other" };
    const uint64_t first = CrashQuarantine::fingerprintOf(head("/a/x", "1"), body, prompt);
    cr_expect_eq(first, CrashQuarantine::fingerprintOf(head("/a/x", "2"), body, prompt));
    cr_expect_eq(first, CrashQuarantine::fingerprintOf(head("/a/x", "2"), parts, prompt));
    cr_expect_neq(first, CrashQuarantine::fingerprintOf(head("/a/y", "1"), body, prompt));
    cr_expect_neq(first, CrashQuarantine::fingerprintOf(head("/a/x", "1"), otherBody, prompt));
    cr_expect_neq(first, CrashQuarantine::fingerprintOf(head("/a/x", "1"), body, other));
}

Test(crash_watch, bans_after_three_targets_counting_each_crash_once)
{
    CrashQuarantine quarantine;
    for (int repeat = 0; repeat < 4; ++repeat)
        quarantine.notePossibleCrash(1, target("a"));
    quarantine.notePossibleCrash(1, target("b"));
    cr_assert_not(quarantine.remainingQuarantine(1).has_value());
    quarantine.notePossibleCrash(1, target("c"));
    cr_assert(quarantine.remainingQuarantine(1).has_value());
    quarantine.noteCompleted(1);
    cr_assert(
        quarantine.remainingQuarantine(1).has_value(), "A quarantine lasts until it expires.");
}

Test(crash_watch, a_completed_run_clears_a_suspected_request_at_all_gateways)
{
    CrashQuarantine here;
    CrashQuarantine there;
    here.setPublisher({ [&](const peers::CrashReport& report) { there.merge(report); },
        [&](uint64_t fingerprint) { there.mergeCleared(fingerprint); } });
    here.notePossibleCrash(1, target("a"));
    here.notePossibleCrash(1, target("b"));
    here.noteCompleted(1);
    there.notePossibleCrash(1, target("c"));
    cr_assert_not(there.remainingQuarantine(1).has_value());
}

Test(crash_watch, crashes_seen_by_different_gateways_add_up)
{
    CrashQuarantine here;
    CrashQuarantine there;
    here.setPublisher({ [&](const peers::CrashReport& report) { there.merge(report); }, {} });
    here.notePossibleCrash(1, target("a"));
    here.notePossibleCrash(1, target("b"));
    there.notePossibleCrash(1, target("c"));
    cr_assert(there.remainingQuarantine(1).has_value());
}

Test(crash_watch, resends_a_suspicion_once_and_a_quarantine_always)
{
    CrashQuarantine quarantine;
    quarantine.notePossibleCrash(1, target("a"));
    cr_assert_eq(quarantine.takeReportsToResend().size(), 1U);
    cr_assert(quarantine.takeReportsToResend().empty());
    quarantine.notePossibleCrash(1, target("b"));
    quarantine.notePossibleCrash(1, target("c"));
    for (int repeat = 0; repeat < 3; ++repeat) {
        const std::vector<peers::CrashReport> reports = quarantine.takeReportsToResend();
        cr_assert_eq(reports.size(), 1U);
        cr_expect_eq(reports.front().crashes.size(), 3U);
    }
}

Test(gateway, a_request_that_crashes_its_targets_is_stopped_after_three)
{
    GatewayFixture fixture;
    fixture.addRoute("/a/", { "idempotent" });
    fixture.declare(1);
    for (const char* id : { "one", "two", "three", "four", "five", "six" })
        fixture.addTarget(id, "app", crashOnPoison);
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
    CallerResponse last;
    for (int attempt = 0; attempt < 20; ++attempt)
        last
            = sendRequest(fixture, requestText("POST", "/a/poison", "a" + std::to_string(attempt)));
    cr_assert_eq(last.status, 503U);
    cr_assert(last.headers.find("Retry-After").has_value());
    std::set<std::string> crashed;
    for (const SeenRequest& seen : fixture.seen())
        crashed.insert(seen.target);
    cr_assert_eq(crashed.size(), 3U);
    cr_assert_eq(sendRequest(fixture, requestText("POST", "/a/x", "b1")).status, 200U);
}

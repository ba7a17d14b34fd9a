#include "Callers.h"

#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::tests;

namespace {

const std::vector<std::string> Engines { "e-1", "e-2", "e-3" };
const std::string Prompt = "Compare the wordings of policies 4 and 9.";
constexpr uint32_t Tokens = 300;

localfleet::FleetOptions engineFleet(
    const std::string& name, const std::map<std::string, std::string>& stopAt = {})
{
    localfleet::FleetOptions options = smallFleet(name);
    options.targets = Engines;
    options.stopAt = stopAt;
    return options;
}

bool isCompleteResponse(const StreamedResponse& response, uint32_t tokens = Tokens)
{
    return response.isComplete && response.tokens == expectedTokens(Prompt, tokens);
}

std::string targetOf(const StreamedResponse& response)
{
    const size_t first = response.lastEventId.find('/');
    const size_t second = response.lastEventId.rfind('/');
    return response.lastEventId.substr(first + 1, second - first - 1);
}

/** Streams a response and calls @p fault once, after some tokens have arrived. */
StreamedResponse streamWithFault(localfleet::LocalFleet& fleet, size_t entry,
    const std::function<void(const std::string& target)>& fault)
{
    bool isDone = false;
    return stream(fleet.callerUrl(entry), completionBody(Prompt, Tokens), ReviewKey, {},
        [&](const StreamedResponse& response) {
            constexpr size_t TokensBeforeFault = 20;
            if (!isDone && response.tokens.size() >= TokensBeforeFault) {
                isDone = true;
                fault(targetOf(response));
            }
            return true;
        });
}

constexpr std::array<const char*, 5> AgentSteps { "agent.before_accept", "agent.before_target",
    "agent.after_target", "agent.after_chunk:40", "agent.before_final" };

std::map<std::string, std::string> stopAgentAt(const char* point)
{
    return { { "agent:e-1", point } };
}

/** Sends requests until one stops the armed agent. @return that request's pending response. */
std::future<StreamedResponse> streamThroughArmedAgent(localfleet::LocalFleet& fleet)
{
    localfleet::ChildProcess& agent = fleet.process("agent:e-1");
    for (int request = 0; request < 60; ++request) {
        std::future<StreamedResponse> response = std::async(std::launch::async, [&fleet] {
            return stream(fleet.callerUrl(1), completionBody(Prompt, Tokens), ReviewKey);
        });
        while (response.wait_for(Milliseconds(5)) != std::future_status::ready) {
            if (agent.waitUntilStopped(Milliseconds(0)))
                return response;
        }
        cr_assert(isCompleteResponse(response.get()));
    }
    cr_assert_fail("No request reached the armed agent.");
    return {};
}

std::string caseName(const char* fault, int step)
{
    return std::string("answers-") + fault + "-" + AgentSteps[static_cast<size_t>(step)];
}

} // namespace

Test(answers, an_engine_that_dies_in_a_stream_is_replaced_without_a_lost_token)
{
    localfleet::LocalFleet fleet(engineFleet("answers-engine-dies"));
    fleet.startAll();
    const StreamedResponse response = streamWithFault(fleet, 1,
        [&fleet](const std::string& target) { fleet.process("target:" + target).kill(); });
    cr_assert(isCompleteResponse(response));
}

Test(answers, a_caller_resumes_its_stream_at_another_entry_when_its_entry_is_killed)
{
    localfleet::LocalFleet fleet(engineFleet("answers-entry-dies"));
    fleet.startAll();
    StreamedResponse first = streamWithFault(
        fleet, 1, [&fleet](const std::string&) { fleet.process("entry:1").kill(); });
    cr_assert_not(first.isComplete);
    const StreamedResponse rest = stream(fleet.callerUrl(2), completionBody(Prompt, Tokens),
        ReviewKey, { { "last-event-id", first.lastEventId } });
    first.tokens.insert(first.tokens.end(), rest.tokens.begin(), rest.tokens.end());
    first.isComplete = rest.isComplete;
    cr_assert(isCompleteResponse(first));
}

Test(answers, another_organisation_cannot_resume_a_stream)
{
    localfleet::LocalFleet fleet(engineFleet("answers-foreign-attach"));
    fleet.startAll();
    const StreamedResponse first = stream(fleet.callerUrl(1), completionBody(Prompt, 5), ReviewKey);
    const StreamedResponse foreign = stream(fleet.callerUrl(2), completionBody(Prompt, 5),
        LookupKey,
        { { "last-event-id", first.lastEventId.substr(0, first.lastEventId.rfind('/')) + "/0" } });
    cr_assert(foreign.tokens.empty());
    cr_assert_eq(foreign.error.value("type", ""), "unknown_request");
}

Test(answers, a_caller_that_goes_away_cancels_its_stream_at_the_engine)
{
    localfleet::LocalFleet fleet(engineFleet("answers-caller-gone"));
    fleet.startAll();
    std::atomic<bool> isLeaving { false };
    const std::future<StreamedResponse> caller = std::async(std::launch::async, [&] {
        return stream(fleet.callerUrl(1), completionBody(Prompt, 20000), ReviewKey, {},
            [&isLeaving](const StreamedResponse&) { return !isLeaving; });
    });
    cr_assert(eventually(
        [&fleet] { return fetchJson(fleet.operatorUrl("entry:1") + "/status")["requests"] == 1; }));
    isLeaving = true;
    cr_assert(eventually([&fleet] {
        int64_t cancelled = 0;
        for (const std::string& engine : Engines)
            cancelled
                += fetchJson(fleet.targetUrl(engine) + "/history")["cancelled"].get<int64_t>();
        return cancelled == 1;
    }));
    cr_assert(eventually([&fleet] {
        const nlohmann::json status = fetchJson(fleet.operatorUrl("entry:1") + "/status");
        int64_t outstanding = 0;
        for (const std::string& engine : Engines)
            outstanding += status["targets"][engine]["outstanding"].get<int64_t>();
        return status["requests"] == 0 && outstanding == 0;
    }));
}

Test(answers, a_stream_cut_when_no_engine_is_left_ends_with_an_error)
{
    localfleet::LocalFleet fleet(engineFleet("answers-cut"));
    fleet.startAll();
    const StreamedResponse response = streamWithFault(fleet, 1, [&fleet](const std::string&) {
        for (const std::string& engine : Engines)
            fleet.process("target:" + engine).kill();
    });
    cr_assert_not(response.isComplete);
    cr_assert(response.error.is_object());
}

ParameterizedTestParameters(answers, a_stream_survives_an_agent_killed_at_any_step)
{
    static std::array<int, AgentSteps.size()> cells { 0, 1, 2, 3, 4 };
    return cr_make_param_array(int, cells.data(), cells.size());
}

ParameterizedTest(int* step, answers, a_stream_survives_an_agent_killed_at_any_step)
{
    localfleet::LocalFleet fleet(
        engineFleet(caseName("kill", *step), stopAgentAt(AgentSteps[static_cast<size_t>(*step)])));
    fleet.startAll();
    std::future<StreamedResponse> response = streamThroughArmedAgent(fleet);
    fleet.process("agent:e-1").kill();
    cr_assert(isCompleteResponse(response.get()));
}

ParameterizedTestParameters(answers, a_stream_survives_an_agent_paused_at_any_step_and_resumed_late)
{
    static std::array<int, AgentSteps.size()> cells { 0, 1, 2, 3, 4 };
    return cr_make_param_array(int, cells.data(), cells.size());
}

// The resumed agent's chunks arrive late and duplicate those of the engine that continued.
ParameterizedTest(
    int* step, answers, a_stream_survives_an_agent_paused_at_any_step_and_resumed_late)
{
    localfleet::LocalFleet fleet(
        engineFleet(caseName("pause", *step), stopAgentAt(AgentSteps[static_cast<size_t>(*step)])));
    fleet.startAll();
    std::future<StreamedResponse> response = streamThroughArmedAgent(fleet);
    cr_assert(eventually([&fleet] {
        return fetchJson(fleet.operatorUrl("entry:1") + "/status")["targets"]["e-1"]["suspected"]
            == true;
    }));
    fleet.process("agent:e-1").resume();
    cr_assert(isCompleteResponse(response.get()));
}

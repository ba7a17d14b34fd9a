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

bool isWholeAnswer(const StreamedAnswer& answer, uint32_t tokens = Tokens)
{
    return answer.isWhole && answer.tokens == expectedTokens(Prompt, tokens);
}

std::string targetOf(const StreamedAnswer& answer)
{
    const size_t first = answer.lastEventId.find('/');
    const size_t second = answer.lastEventId.rfind('/');
    return answer.lastEventId.substr(first + 1, second - first - 1);
}

/** Streams an answer and calls @p fault once, when some tokens have come. */
StreamedAnswer streamWithFault(localfleet::LocalFleet& fleet, size_t entry,
    const std::function<void(const std::string& target)>& fault)
{
    bool isDone = false;
    return stream(fleet.callerUrl(entry), completionBody(Prompt, Tokens), ReviewKey, {},
        [&](const StreamedAnswer& answer) {
            constexpr size_t TokensBeforeFault = 20;
            if (!isDone && answer.tokens.size() >= TokensBeforeFault) {
                isDone = true;
                fault(targetOf(answer));
            }
            return true;
        });
}

constexpr std::array<const char*, 5> AgentSteps { "agent.before_accept", "agent.before_target",
    "agent.after_target", "agent.after_chunk:40", "agent.before_final" };

std::map<std::string, std::string> armAll(const char* point) { return { { "agent:e-1", point } }; }

/** Sends requests until one has come to the armed agent, and returns its pending answer. */
std::future<StreamedAnswer> streamThroughArmedAgent(localfleet::LocalFleet& fleet)
{
    localfleet::ChildProcess& agent = fleet.process("agent:e-1");
    for (int request = 0; request < 60; ++request) {
        std::future<StreamedAnswer> answer = std::async(std::launch::async, [&fleet] {
            return stream(fleet.callerUrl(1), completionBody(Prompt, Tokens), ReviewKey);
        });
        while (answer.wait_for(Milliseconds(5)) != std::future_status::ready) {
            if (agent.waitUntilStopped(Milliseconds(0)))
                return answer;
        }
        cr_assert(isWholeAnswer(answer.get()));
    }
    cr_assert_fail("No request came to the armed agent.");
    return {};
}

std::string cellName(const char* fault, int step)
{
    return std::string("answers-") + fault + "-" + AgentSteps[static_cast<size_t>(step)];
}

} // namespace

Test(answers, an_engine_that_dies_in_a_stream_is_replaced_without_a_lost_token)
{
    localfleet::LocalFleet fleet(engineFleet("answers-engine-dies"));
    fleet.startAll();
    const StreamedAnswer answer = streamWithFault(fleet, 1,
        [&fleet](const std::string& target) { fleet.process("target:" + target).kill(); });
    cr_assert(isWholeAnswer(answer));
}

Test(answers, a_caller_that_lost_its_entry_attaches_again_at_another)
{
    localfleet::LocalFleet fleet(engineFleet("answers-entry-dies"));
    fleet.startAll();
    StreamedAnswer first = streamWithFault(
        fleet, 1, [&fleet](const std::string&) { fleet.process("entry:1").kill(); });
    cr_assert_not(first.isWhole);
    const StreamedAnswer rest = stream(fleet.callerUrl(2), completionBody(Prompt, Tokens),
        ReviewKey, { { "last-event-id", first.lastEventId } });
    first.tokens.insert(first.tokens.end(), rest.tokens.begin(), rest.tokens.end());
    first.isWhole = rest.isWhole;
    cr_assert(isWholeAnswer(first));
}

Test(answers, another_organisation_cannot_attach_to_a_stream)
{
    localfleet::LocalFleet fleet(engineFleet("answers-foreign-attach"));
    fleet.startAll();
    const StreamedAnswer first = stream(fleet.callerUrl(1), completionBody(Prompt, 5), ReviewKey);
    const StreamedAnswer foreign = stream(fleet.callerUrl(2), completionBody(Prompt, 5), LookupKey,
        { { "last-event-id", first.lastEventId.substr(0, first.lastEventId.rfind('/')) + "/0" } });
    cr_assert(foreign.tokens.empty());
    cr_assert_eq(foreign.error.value("type", ""), "unknown_request");
}

Test(answers, a_caller_that_goes_away_cancels_its_stream_at_the_engine)
{
    localfleet::LocalFleet fleet(engineFleet("answers-caller-gone"));
    fleet.startAll();
    std::atomic<bool> isLeaving { false };
    const std::future<StreamedAnswer> caller = std::async(std::launch::async, [&] {
        return stream(fleet.callerUrl(1), completionBody(Prompt, 20000), ReviewKey, {},
            [&isLeaving](const StreamedAnswer&) { return !isLeaving; });
    });
    cr_assert(eventually(
        [&fleet] { return ask(fleet.operatorUrl("entry:1") + "/status")["requests"] == 1; }));
    isLeaving = true;
    cr_assert(eventually([&fleet] {
        int64_t cancelled = 0;
        for (const std::string& engine : Engines)
            cancelled += ask(fleet.targetUrl(engine) + "/history")["cancelled"].get<int64_t>();
        return cancelled == 1;
    }));
    cr_assert(eventually([&fleet] {
        const nlohmann::json status = ask(fleet.operatorUrl("entry:1") + "/status");
        int64_t outstanding = 0;
        for (const std::string& engine : Engines)
            outstanding += status["targets"][engine]["outstanding"].get<int64_t>();
        return status["requests"] == 0 && outstanding == 0;
    }));
}

Test(answers, when_no_engine_is_left_a_cut_answer_does_not_look_whole)
{
    localfleet::LocalFleet fleet(engineFleet("answers-cut"));
    fleet.startAll();
    const StreamedAnswer answer = streamWithFault(fleet, 1, [&fleet](const std::string&) {
        for (const std::string& engine : Engines)
            fleet.process("target:" + engine).kill();
    });
    cr_assert_not(answer.isWhole);
    cr_assert(answer.error.is_object());
}

ParameterizedTestParameters(answers, agent_killed_at_a_step)
{
    static std::array<int, AgentSteps.size()> cells { 0, 1, 2, 3, 4 };
    return cr_make_param_array(int, cells.data(), cells.size());
}

ParameterizedTest(int* step, answers, agent_killed_at_a_step)
{
    localfleet::LocalFleet fleet(
        engineFleet(cellName("kill", *step), armAll(AgentSteps[static_cast<size_t>(*step)])));
    fleet.startAll();
    std::future<StreamedAnswer> answer = streamThroughArmedAgent(fleet);
    fleet.process("agent:e-1").kill();
    cr_assert(isWholeAnswer(answer.get()));
}

ParameterizedTestParameters(answers, agent_paused_at_a_step_and_woken_late)
{
    static std::array<int, AgentSteps.size()> cells { 0, 1, 2, 3, 4 };
    return cr_make_param_array(int, cells.data(), cells.size());
}

// The woken agent's chunks come late and double those of the engine that went on.
ParameterizedTest(int* step, answers, agent_paused_at_a_step_and_woken_late)
{
    localfleet::LocalFleet fleet(
        engineFleet(cellName("pause", *step), armAll(AgentSteps[static_cast<size_t>(*step)])));
    fleet.startAll();
    std::future<StreamedAnswer> answer = streamThroughArmedAgent(fleet);
    cr_assert(eventually([&fleet] {
        return ask(fleet.operatorUrl("entry:1") + "/status")["targets"]["e-1"]["suspected"] == true;
    }));
    fleet.process("agent:e-1").resume();
    cr_assert(isWholeAnswer(answer.get()));
}

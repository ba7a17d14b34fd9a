#include "EmulatedEngine.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::emulator;

namespace {

fleet::Prompt makePrompt(const std::string& shared, uint32_t sharedTokens, uint32_t uniqueTokens)
{
    static int number = 0;
    fleet::Prompt prompt;
    prompt.tokens = sharedTokens + uniqueTokens;
    if (sharedTokens > 0)
        prompt.parts.push_back({ shared, sharedTokens });
    prompt.parts.push_back({ "own-" + std::to_string(++number), uniqueTokens });
    return prompt;
}

fleet::TargetRecord makeRecord(const std::string& id)
{
    fleet::TargetRecord record;
    record.id = TargetId(id);
    record.zone = ZoneId("zone");
    return record;
}

/** Two engines, and the results of their jobs in the order in which these ended. */
struct EngineFixture {
    EmulatedEngine::Done recordEnd(const std::string& name)
    {
        return [this, name](bool isDone) {
            endOrder.push_back(isDone ? name : name + " lost");
            endTimes[name] = queue.now();
        };
    }
    double endMs(const std::string& name) const
    {
        return static_cast<double>(endTimes.at(name).count()) / 1000;
    }

    EventQueue queue;
    EngineModel model;
    EmulatedEngine engine { queue, model, makeRecord("a"), 1 };
    EmulatedEngine other { queue, model, makeRecord("b"), 1 };
    std::vector<std::string> endOrder;
    std::map<std::string, Micros> endTimes;
};

constexpr Milliseconds OneMinute { 60000 };

} // namespace

Test(emulated_engine, prefill_time_follows_the_published_model)
{
    EngineFixture fixture;
    fixture.engine.prefill(makePrompt("", 0, 3670), 5, fixture.recordEnd("read"));
    fixture.queue.runUntil(OneMinute);
    const double pairs = 3670.0 * 3670 / 2 / 1e6 * fixture.model.attentionMsPerMillionPairs;
    cr_assert_float_eq(fixture.endMs("read"), 100 + pairs + fixture.model.firstTokenMs, 0.1);
}

Test(emulated_engine, urgent_prompts_go_first_after_a_chunk)
{
    EngineFixture fixture;
    fixture.engine.prefill(makePrompt("", 0, 20000), 8, fixture.recordEnd("long"));
    fixture.queue.after(Milliseconds(1),
        [&] { fixture.engine.prefill(makePrompt("", 0, 500), 0, fixture.recordEnd("short")); });
    fixture.queue.runUntil(OneMinute);
    cr_assert(fixture.endOrder == std::vector<std::string>({ "short", "long" }));
}

Test(emulated_engine, shared_parts_are_prefilled_once_and_fetched_by_other_engines)
{
    EngineFixture fixture;
    fixture.engine.prefill(makePrompt("shared", 10000, 100), 5, fixture.recordEnd("first"));
    fixture.queue.runUntil(OneMinute);
    cr_assert_eq(fixture.engine.tokensPrefilled(), 10100U);
    fixture.engine.prefill(makePrompt("shared", 10000, 100), 5, fixture.recordEnd("second"));
    fixture.queue.runUntil(2 * OneMinute);
    cr_assert_eq(fixture.engine.tokensPrefilled(), 10200U);
    const fleet::Prompt third = makePrompt("shared", 10000, 100);
    fixture.other.fetch(fixture.engine, third,
        [&](bool) { fixture.other.prefill(third, 5, fixture.recordEnd("third")); });
    fixture.queue.runUntil(3 * OneMinute);
    cr_assert_eq(fixture.other.tokensPrefilled(), 100U);
    cr_assert_eq(fixture.other.tokensFetched(), 10000U);
}

Test(emulated_engine, decode_takes_the_transfer_and_one_step_for_each_token)
{
    EngineFixture fixture;
    fixture.other.decode(
        fixture.engine, 2509, 3, fixture.recordEnd("first token"), fixture.recordEnd("whole"));
    fixture.queue.runUntil(OneMinute);
    const double step = fixture.model.stepMs + fixture.model.stepMsPerRequest;
    cr_assert_float_eq(fixture.endMs("first token"), fixture.model.transferSetupMs + 1 + step, 0.1);
    cr_assert_float_eq(fixture.endMs("whole") - fixture.endMs("first token"), 2 * step, 0.1);
}

Test(emulated_engine, transfers_from_one_engine_run_one_after_another)
{
    EngineFixture fixture;
    for (const char* name : { "one", "two" })
        fixture.other.decode(fixture.engine, 250900, 1, fixture.recordEnd(name), [](bool) {});
    fixture.queue.runUntil(OneMinute);
    cr_assert_gt(fixture.endMs("two") - fixture.endMs("one"), 100.0);
}

Test(emulated_engine, a_crash_fails_all_work_and_drops_the_cache)
{
    EngineFixture fixture;
    fixture.engine.prefill(makePrompt("shared", 1000, 10), 5, fixture.recordEnd("before"));
    fixture.queue.runUntil(OneMinute);
    fixture.engine.prefill(makePrompt("", 0, 50000), 5, fixture.recordEnd("long"));
    fixture.engine.crash();
    fixture.engine.prefill(makePrompt("", 0, 10), 5, fixture.recordEnd("down"));
    fixture.queue.runUntil(2 * OneMinute);
    cr_assert(fixture.endOrder == std::vector<std::string>({ "before", "long lost", "down lost" }));
    fixture.engine.restart(TargetId("a2"));
    const uint64_t tokensBefore = fixture.engine.tokensPrefilled();
    fixture.engine.prefill(makePrompt("shared", 1000, 10), 5, fixture.recordEnd("after"));
    fixture.queue.runUntil(3 * OneMinute);
    cr_assert_eq(fixture.engine.tokensPrefilled() - tokensBefore, 1010U);
}

Test(emulated_engine, a_cancelled_prefill_takes_no_more_time)
{
    EngineFixture fixture;
    const EmulatedEngine::JobId job
        = fixture.engine.prefill(makePrompt("", 0, 100000), 5, fixture.recordEnd("cancelled"));
    fixture.queue.runUntil(Milliseconds(100));
    fixture.engine.cancel(job);
    fixture.engine.prefill(makePrompt("", 0, 100), 5, fixture.recordEnd("next"));
    fixture.queue.runUntil(OneMinute);
    cr_assert(fixture.endOrder == std::vector<std::string>({ "next" }));
    cr_assert_lt(fixture.endMs("next"), 200.0);
}

#include "EmulatedEngine.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::emulator;

namespace {

fleet::Prompt prompt(const std::string& shared, uint32_t sharedTokens, uint32_t ownTokens)
{
    static int number = 0;
    fleet::Prompt prompt;
    prompt.tokens = sharedTokens + ownTokens;
    if (sharedTokens > 0)
        prompt.parts.push_back({ shared, sharedTokens });
    prompt.parts.push_back({ "own-" + std::to_string(++number), ownTokens });
    return prompt;
}

fleet::TargetEntry entry(const std::string& id)
{
    fleet::TargetEntry entry;
    entry.id = TargetId(id);
    entry.zone = ZoneId("zone");
    return entry;
}

/** An engine, and what came of its work in the order in which it ended. */
struct Bench {
    EmulatedEngine::Done ended(const std::string& name)
    {
        return [this, name](bool isDone) {
            order.push_back(isDone ? name : name + " lost");
            times[name] = queue.now();
        };
    }
    double ms(const std::string& name) const
    {
        return static_cast<double>(times.at(name).count()) / 1000;
    }

    EventQueue queue;
    EngineModel model;
    EmulatedEngine engine { queue, model, entry("a"), 1 };
    EmulatedEngine other { queue, model, entry("b"), 1 };
    std::vector<std::string> order;
    std::map<std::string, Micros> times;
};

constexpr Milliseconds Long { 60000 };

} // namespace

Test(emulated_engine, reads_by_the_published_speed)
{
    Bench bench;
    bench.engine.read(prompt("", 0, 3670), 5, bench.ended("read"));
    bench.queue.runUntil(Long);
    const double pairs = 3670.0 * 3670 / 2 / 1e6 * bench.model.msPerMillionPairs;
    cr_assert_float_eq(bench.ms("read"), 100 + pairs + bench.model.firstTokenMs, 0.1);
}

Test(emulated_engine, lets_urgent_prompts_pass_between_pieces)
{
    Bench bench;
    bench.engine.read(prompt("", 0, 20000), 8, bench.ended("long"));
    bench.queue.after(
        Milliseconds(1), [&] { bench.engine.read(prompt("", 0, 500), 0, bench.ended("short")); });
    bench.queue.runUntil(Long);
    cr_assert(bench.order == std::vector<std::string>({ "short", "long" }));
}

Test(emulated_engine, reads_shared_parts_once_and_fetches_them_from_others)
{
    Bench bench;
    bench.engine.read(prompt("shared", 10000, 100), 5, bench.ended("first"));
    bench.queue.runUntil(Long);
    cr_assert_eq(bench.engine.tokensRead(), 10100U);
    bench.engine.read(prompt("shared", 10000, 100), 5, bench.ended("second"));
    bench.queue.runUntil(2 * Long);
    cr_assert_eq(bench.engine.tokensRead(), 10200U);
    const fleet::Prompt third = prompt("shared", 10000, 100);
    bench.other.fetch(
        bench.engine, third, [&](bool) { bench.other.read(third, 5, bench.ended("third")); });
    bench.queue.runUntil(3 * Long);
    cr_assert_eq(bench.other.tokensRead(), 100U);
    cr_assert_eq(bench.other.tokensFetched(), 10000U);
}

Test(emulated_engine, takes_a_prompt_over_and_makes_tokens_step_by_step)
{
    Bench bench;
    bench.other.make(bench.engine, 2509, 3, bench.ended("first token"), bench.ended("whole"));
    bench.queue.runUntil(Long);
    const double step = bench.model.stepMs + bench.model.stepMsPerRequest;
    cr_assert_float_eq(bench.ms("first token"), bench.model.transferSetupMs + 1 + step, 0.1);
    cr_assert_float_eq(bench.ms("whole") - bench.ms("first token"), 2 * step, 0.1);
}

Test(emulated_engine, transfers_run_one_after_another)
{
    Bench bench;
    for (const char* name : { "one", "two" })
        bench.other.make(bench.engine, 250900, 1, bench.ended(name), [](bool) {});
    bench.queue.runUntil(Long);
    cr_assert_gt(bench.ms("two") - bench.ms("one"), 100.0);
}

Test(emulated_engine, a_crash_loses_its_work_and_its_caches)
{
    Bench bench;
    bench.engine.read(prompt("shared", 1000, 10), 5, bench.ended("before"));
    bench.queue.runUntil(Long);
    bench.engine.read(prompt("", 0, 50000), 5, bench.ended("long"));
    bench.engine.crash();
    bench.engine.read(prompt("", 0, 10), 5, bench.ended("down"));
    bench.queue.runUntil(2 * Long);
    cr_assert(bench.order == std::vector<std::string>({ "before", "long lost", "down lost" }));
    bench.engine.restart(TargetId("a2"));
    const uint64_t read = bench.engine.tokensRead();
    bench.engine.read(prompt("shared", 1000, 10), 5, bench.ended("after"));
    bench.queue.runUntil(3 * Long);
    cr_assert_eq(bench.engine.tokensRead() - read, 1010U);
}

Test(emulated_engine, cancelled_work_takes_no_more_time)
{
    Bench bench;
    const EmulatedEngine::JobId job
        = bench.engine.read(prompt("", 0, 100000), 5, bench.ended("cancelled"));
    bench.queue.runUntil(Milliseconds(100));
    bench.engine.cancel(job);
    bench.engine.read(prompt("", 0, 100), 5, bench.ended("next"));
    bench.queue.runUntil(Long);
    cr_assert(bench.order == std::vector<std::string>({ "next" }));
    cr_assert_lt(bench.ms("next"), 200.0);
}

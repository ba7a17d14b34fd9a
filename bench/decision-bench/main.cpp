// Processor time of single dispatch decisions, for today's fleets and for their planned growth.
#include "dispatch/Dispatch.h"

#include <benchmark/benchmark.h>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

const PoolId Pool("engines");
constexpr SteadyTime Now { std::chrono::hours(1) };
constexpr uint64_t CacheCapacityTokens = 450000;

/** The state of a gateway whose engines cache many prompt parts and have load of other gateways. */
struct GatewayView {
    explicit GatewayView(int64_t engines)
    {
        for (int64_t index = 0; index < engines; ++index) {
            fleet::TargetRecord record;
            record.id = TargetId("i-" + std::to_string(1000000 + index));
            record.pool = Pool;
            record.address = { "10.0.0." + std::to_string(index), 80 };
            record.zone = ZoneId("zone-" + std::to_string(index % 3));
            record.slots = 64;
            record.role = EngineRole::Prefill;
            directory.put(record);
            for (int peer = 0; peer < 4; ++peer) {
                Load load { 2, {}, 20000 };
                load.promptTokens[static_cast<size_t>(index + peer) % UrgencyLevels] = 4000;
                directory.notePeerLoad(record.id, EntryId("g-" + std::to_string(peer)), load, Now);
            }
            for (int part = 0; part < 20; ++part) {
                const std::vector<fleet::PromptPart> parts {
                    { "shared-" + std::to_string((index * 20 + part) % 300), 8000 }
                };
                cacheIndex.notePrefilled(record.id, CacheCapacityTokens, parts);
            }
        }
        prefillSpeed.notePrefilled(10000, 0, Milliseconds(300));
    }

    TargetDirectory directory;
    PrefixCacheIndex cacheIndex;
    PrefillSpeed prefillSpeed;
};

fleet::Prompt makePrompt(const std::string& shared)
{
    return { "m", 9000, 20, { { shared, 8000 }, { "own", 1000 } } };
}

void placePromptAmong(benchmark::State& state)
{
    GatewayView view(state.range(0));
    const fleet::Prompt prompt = makePrompt("shared-7");
    const PromptGoal goal { 1, Milliseconds(600), ZoneId("zone-1") };
    for (auto _ : state) {
        const std::vector<TargetState*> engines = view.directory.usable(Pool, Now);
        benchmark::DoNotOptimize(placePrompt(
            engines, engines, prompt, goal, view.cacheIndex, view.prefillSpeed, {}, Now));
    }
}

void placePromptEvenlyAmong(benchmark::State& state)
{
    GatewayView view(state.range(0));
    const fleet::Prompt prompt = makePrompt("shared-7");
    const PromptGoal goal { 1, Milliseconds(600), ZoneId("zone-1") };
    EvenLoad even;
    even.gateway = 7;
    even.gateways = 30;
    even.reportAgeMs = 50;
    even.draw = 0.4;
    even.own.note(20, Now);
    for (auto _ : state) {
        const std::vector<TargetState*> engines = view.directory.usable(Pool, Now);
        benchmark::DoNotOptimize(placePrompt(
            engines, engines, prompt, goal, view.cacheIndex, view.prefillSpeed, {}, Now, &even));
    }
}

void chooseMakerAmong(benchmark::State& state)
{
    GatewayView view(state.range(0));
    for (auto _ : state) {
        const std::vector<TargetState*> engines = view.directory.usable(Pool, Now);
        benchmark::DoNotOptimize(chooseDecodeEngine(engines, {}, { ZoneId("zone-1"), 2000 }, Now));
    }
}

void chooseTargetAmong(benchmark::State& state)
{
    GatewayView view(state.range(0));
    for (auto _ : state) {
        const std::vector<TargetState*> targets = view.directory.usable(Pool, Now);
        benchmark::DoNotOptimize(chooseTarget(targets, {}, ZoneId("zone-1"), 0.4, Now));
    }
}

/** Checks a retry against the retry budget, with a window full of requests. */
void spendRetry(benchmark::State& state)
{
    RetryBudget budget({ 0.2, 58, Milliseconds(10000) }, SteadyTime {});
    budget.updateEntries(5);
    SteadyTime now = Now;
    for (auto _ : state) {
        now += Milliseconds(10);
        budget.noteRequest(Pool, now);
        benchmark::DoNotOptimize(budget.trySpend(Pool, 1, now));
    }
}

void matchRoute(benchmark::State& state)
{
    fleet::Declaration declaration;
    for (int64_t index = 0; index < state.range(0); ++index) {
        fleet::Route route;
        route.host = "site.example";
        route.prefix = "/r" + std::to_string(index) + "/";
        route.pools.push_back({ Pool, 1 });
        declaration.routes.push_back(route);
    }
    const RouteTable table(std::move(declaration));
    for (auto _ : state)
        benchmark::DoNotOptimize(table.match("site.example", "/r7/x"));
}

} // namespace

BENCHMARK(placePromptAmong)->Arg(12)->Arg(44)->Arg(210)->Arg(840);
BENCHMARK(placePromptEvenlyAmong)->Arg(12)->Arg(44)->Arg(210)->Arg(840);
BENCHMARK(chooseMakerAmong)->Arg(2)->Arg(12)->Arg(140);
BENCHMARK(chooseTargetAmong)->Arg(3)->Arg(44)->Arg(840);
BENCHMARK(spendRetry);
BENCHMARK(matchRoute)->Arg(17)->Arg(400);

BENCHMARK_MAIN();

// The bounds of the design page, part 4, without network. Simulations have fixed seeds.
#include "LoadSimulation.h"

#include <criterion/criterion.h>

using namespace citronspoke::balance;

namespace {

constexpr std::array TableRules { Rule::Random, Rule::LeastReported, Rule::LeastFinish,
    Rule::BetterOfTwo, Rule::BestOfFour, Rule::OwnForAll, Rule::WaterFilling };
/** Engines and gateways. */
constexpr std::array<std::pair<size_t, size_t>, 5> Sizes { { { 3, 2 }, { 3, 330 }, { 44, 30 },
    { 840, 2 }, { 840, 330 } } };
constexpr std::array PatternAges { 5.0, 50.0, 200.0, 1000.0, 2000.0 };

Scenario scenarioOf(size_t engines, size_t gateways, double ageMs)
{
    // Enough requests for a mean, and several reports.
    constexpr double Requests = 30000;
    constexpr double RequestsPerMs = 0.019;
    const double duration
        = std::max({ 4000.0, 5 * ageMs, Requests / (RequestsPerMs * double(engines)) });
    return { engines, gateways, ageMs, Pattern::Steady, duration, 0.75 };
}

Outcome outcomeOf(const Scenario& scenario, Rule rule)
{
    return LoadSimulation(scenario, rule).run();
}

void expectNotWorseThanTheTable(const Scenario& scenario)
{
    double best = std::numeric_limits<double>::max();
    for (const Rule rule : TableRules)
        best = std::min(best, outcomeOf(scenario, rule).meanWaitMs);
    const double ours = outcomeOf(scenario, Rule::EvenLoad).meanWaitMs;
    cr_expect_leq(ours, best,
        "%zu engines, %zu gateways, age %.0f ms: mean wait %.2f ms, best %.2f", scenario.engines,
        scenario.gateways, scenario.ageMs, ours, best);
}

void expectNearCompleteKnowledge(const Scenario& scenario)
{
    constexpr double Factor = 1.3;
    const double complete = outcomeOf(scenario, Rule::CompleteKnowledge).meanWaitMs;
    const double ours = outcomeOf(scenario, Rule::EvenLoad).meanWaitMs;
    cr_expect_leq(ours, Factor * complete,
        "%zu engines, %zu gateways, age %.0f ms: mean wait %.2f ms, complete knowledge %.2f",
        scenario.engines, scenario.gateways, scenario.ageMs, ours, complete);
}

void expectEven(const Scenario& scenario)
{
    const double uneven = outcomeOf(scenario, Rule::EvenLoad).longestUnevenMs;
    const double complete = outcomeOf(scenario, Rule::CompleteKnowledge).longestUnevenMs;
    cr_expect_leq(uneven, scenario.ageMs,
        "%zu engines, %zu gateways, age %.0f ms: uneven for %.0f ms, complete knowledge %.0f",
        scenario.engines, scenario.gateways, scenario.ageMs, uneven, complete);
}

template <typename Check> void atAllSizes(double ageMs, Check check)
{
    for (const auto& [engines, gateways] : Sizes)
        check(scenarioOf(engines, gateways, ageMs));
}

template <typename Check> void atAllAges(Pattern pattern, Check check)
{
    for (const double age : PatternAges) {
        Scenario scenario = scenarioOf(44, 30, age);
        scenario.pattern = pattern;
        check(scenario);
    }
}

/** Mean waits of the best rule of the design page's table, which has 44 engines, 27 gateways. */
void expectTableFigure(double ageMs, double meanWaitMs)
{
    Scenario scenario = scenarioOf(44, 27, ageMs);
    scenario.durationMs = 40000;
    const double ours = outcomeOf(scenario, Rule::EvenLoad).meanWaitMs;
    cr_expect_leq(ours, meanWaitMs, "age %.0f ms: mean wait %.2f ms", ageMs, ours);
}

} // namespace

// Guards against a choice that is worse than a simple rule at some age of the reports.
Test(not_worse_than_table, at_5_ms) { atAllSizes(5, expectNotWorseThanTheTable); }
Test(not_worse_than_table, at_50_ms) { atAllSizes(50, expectNotWorseThanTheTable); }
Test(not_worse_than_table, at_200_ms) { atAllSizes(200, expectNotWorseThanTheTable); }
Test(not_worse_than_table, at_1_s) { atAllSizes(1000, expectNotWorseThanTheTable); }
Test(not_worse_than_table, at_2_s) { atAllSizes(2000, expectNotWorseThanTheTable); }
Test(table_figure, at_5_ms) { expectTableFigure(5, 7); }
Test(table_figure, at_50_ms) { expectTableFigure(50, 30); }
Test(table_figure, at_200_ms) { expectTableFigure(200, 59); }
Test(table_figure, at_1_s) { expectTableFigure(1000, 97); }

// Guards against waits that better use of the known state would avoid.
Test(near_complete_knowledge, at_5_ms) { atAllSizes(5, expectNearCompleteKnowledge); }
Test(near_complete_knowledge, at_50_ms) { atAllSizes(50, expectNearCompleteKnowledge); }
Test(near_complete_knowledge, at_200_ms) { atAllSizes(200, expectNearCompleteKnowledge); }
Test(near_complete_knowledge, at_1_s) { atAllSizes(1000, expectNearCompleteKnowledge); }
Test(near_complete_knowledge, at_2_s) { atAllSizes(2000, expectNearCompleteKnowledge); }

// Guards against engines that are overloaded while others are idle.
Test(no_engine_doubly_loaded, at_5_ms) { atAllSizes(5, expectEven); }
Test(no_engine_doubly_loaded, at_50_ms) { atAllSizes(50, expectEven); }
Test(no_engine_doubly_loaded, at_200_ms) { atAllSizes(200, expectEven); }
Test(no_engine_doubly_loaded, at_1_s) { atAllSizes(1000, expectEven); }
Test(no_engine_doubly_loaded, at_2_s) { atAllSizes(2000, expectEven); }

// Guards against herds in single situations. Each pattern is compared with the rules of the table,
// and in a test of its own with complete knowledge.
Test(load_pattern, equal_requests_within_one_age)
{
    atAllAges(Pattern::EqualRequests, expectNotWorseThanTheTable);
}
Test(load_pattern, an_engine_returns_empty)
{
    atAllAges(Pattern::EngineReturns, expectNotWorseThanTheTable);
}
Test(load_pattern, a_slow_engine_appears_empty)
{
    atAllAges(Pattern::SlowEngine, expectNotWorseThanTheTable);
}
Test(load_pattern, a_third_of_the_reports_is_missing)
{
    atAllAges(Pattern::ReportsMissing, expectNotWorseThanTheTable);
}
Test(load_pattern, a_step_of_load) { atAllAges(Pattern::LoadStep, expectNotWorseThanTheTable); }
Test(load_pattern, all_gateways_just_started)
{
    atAllAges(Pattern::JustStarted, expectNotWorseThanTheTable);
}
Test(load_pattern, gateways_have_gone)
{
    atAllAges(Pattern::GatewaysGone, expectNotWorseThanTheTable);
}

Test(load_pattern_near_complete_knowledge, equal_requests_within_one_age)
{
    atAllAges(Pattern::EqualRequests, expectNearCompleteKnowledge);
}
Test(load_pattern_near_complete_knowledge, an_engine_returns_empty)
{
    atAllAges(Pattern::EngineReturns, expectNearCompleteKnowledge);
}
Test(load_pattern_near_complete_knowledge, a_slow_engine_appears_empty)
{
    atAllAges(Pattern::SlowEngine, expectNearCompleteKnowledge);
}
Test(load_pattern_near_complete_knowledge, a_third_of_the_reports_is_missing)
{
    atAllAges(Pattern::ReportsMissing, expectNearCompleteKnowledge);
}
Test(load_pattern_near_complete_knowledge, a_step_of_load)
{
    atAllAges(Pattern::LoadStep, expectNearCompleteKnowledge);
}
Test(load_pattern_near_complete_knowledge, all_gateways_just_started)
{
    atAllAges(Pattern::JustStarted, expectNearCompleteKnowledge);
}
Test(load_pattern_near_complete_knowledge, gateways_have_gone)
{
    atAllAges(Pattern::GatewaysGone, expectNearCompleteKnowledge);
}

#include "balance/Balance.h"

#include <criterion/criterion.h>
#include <numeric>

using namespace citronspoke;
using namespace citronspoke::balance;

namespace {

constexpr SteadyTime Start { std::chrono::hours(1) };

Candidate candidate(double finishMs, double ageMs, double speed = 1, double extraMs = 0)
{
    return { finishMs, extraMs, speed, ageMs, 1 };
}

/** @return how often each candidate is chosen in evenly distributed draws. */
std::vector<double> chosenParts(std::span<const Candidate> candidates, const Arrivals& arrivals)
{
    constexpr int Draws = 10000;
    std::vector<double> parts(candidates.size());
    for (int draw = 0; draw < Draws; ++draw)
        parts[chooseEngine(candidates, arrivals, (draw + 0.5) / Draws)] += 1;
    for (double& part : parts)
        part /= Draws;
    return parts;
}

} // namespace

// Guards against a random choice where the state of the engines is known.
Test(choice, is_the_best_candidate_while_reports_are_fresh_or_nothing_arrives)
{
    const std::vector<Candidate> fresh { candidate(90, 0), candidate(60, 0), candidate(70, 0) };
    cr_assert_eq(chosenParts(fresh, { 1, 40 })[1], 1);
    const std::vector<Candidate> quiet { candidate(90, 500), candidate(60, 500) };
    cr_assert_eq(chosenParts(quiet, { 0, 40 })[1], 1);
    const std::vector<Candidate> remote { candidate(60, 0, 1, 50), candidate(90, 0) };
    cr_assert_eq(chosenParts(remote, { 1, 40 })[1], 1, "Extra cost counts.");
    cr_assert_eq(chooseEngine({}, { 1, 40 }, 0.5), 0U);
}

// Guards against gateways that all choose the first of equal engines.
Test(choice, differs_between_gateways_among_equal_candidates)
{
    const std::vector<Candidate> equal(5, candidate(40, 0));
    for (const double part : chosenParts(equal, { 0, 40 }))
        cr_expect_float_eq(part, 0.2, 0.001);
}

// Guards against a distribution that leaves engines uneven after the unreported work.
Test(choice, distributes_requests_as_water_filling_distributes_the_unreported_work)
{
    const std::vector<Candidate> candidates { candidate(10, 100, 0.5), candidate(50, 100, 1),
        candidate(80, 100, 1.5), candidate(5000, 100, 1) };
    const Arrivals arrivals { 2, 10 };
    const double work = unreportedWork(candidates, arrivals);
    const double level = fillLevel(candidates, work);
    const std::vector<double> parts = chosenParts(candidates, arrivals);
    for (size_t index = 0; index < 3; ++index)
        cr_expect_float_eq(
            candidates[index].finishMs + parts[index] * work / candidates[index].speed, level, 1,
            "Engine %zu ends at another level.", index);
    cr_expect_eq(parts[3], 0);
}

// Guards against an even load that ignores the cache: other requests do not have the same one.
Test(choice, keeps_to_a_cached_prompt_while_its_engine_is_about_as_busy_as_others)
{
    std::vector<Candidate> candidates(44, candidate(100, 200, 1, 400));
    candidates[7].extraMs = 0;
    const Arrivals arrivals { 33, 40 };
    cr_expect_eq(chosenParts(candidates, arrivals)[7], 1);
    candidates[7].finishMs = 2000;
    cr_expect_eq(chosenParts(candidates, arrivals)[7], 0, "A full engine is left.");
}

// Guards against herding when reports are lost.
Test(choice, is_spread_over_more_engines_the_older_reports_are)
{
    size_t before = 1;
    for (const double age : { 20.0, 100.0, 500.0 }) {
        constexpr int Engines = 40;
        std::vector<Candidate> candidates;
        candidates.reserve(Engines);
        for (int index = 0; index < Engines; ++index)
            candidates.push_back(candidate(40 + 25 * index, age));
        const std::vector<double> parts = chosenParts(candidates, { 10, 40 });
        const size_t used = static_cast<size_t>(
            std::count_if(parts.begin(), parts.end(), [](double part) { return part > 0; }));
        cr_expect_gt(used, before);
        before = used;
    }
}

// Guards against random draws where a gateway knows nearly all about some engines, and against home
// engines that are overloaded because their gateway has much load.
Test(choice, is_the_best_home_engine_while_it_is_not_worse_than_the_mean)
{
    std::vector<Candidate> candidates(10, candidate(100, 500));
    candidates[3] = candidate(90, 500);
    candidates[3].isHome = true;
    candidates[4].isHome = true;
    cr_expect_eq(chosenParts(candidates, { 8, 40 })[3], 1);
    candidates[3].finishMs = 130;
    candidates[4].finishMs = 130;
    cr_expect_lt(chosenParts(candidates, { 8, 40 })[3], 0.2);
    std::vector<int> homes(10);
    for (size_t gateway = 0; gateway < 3; ++gateway) {
        for (size_t engine = 0; engine < homes.size(); ++engine)
            homes[engine] += isHomeOf(gateway, 3, engine, homes.size()) ? 1 : 0;
    }
    cr_expect_eq(std::count(homes.begin(), homes.end(), 1), 10, "Each engine has one gateway.");
    cr_expect_not(isHomeOf(0, 11, 0, 10));
}

// Guards against work that counts for engines that have none.
Test(arrivals, equal_the_capacity_of_busy_engines)
{
    std::vector<Candidate> candidates { candidate(10, 0, 0.5), candidate(10, 0, 1.5) };
    cr_assert_float_eq(workPerMsOfBusy(candidates), 2, 1e-9);
    candidates[1].othersPart = 0;
    cr_assert_float_eq(workPerMsOfBusy(candidates), 0.5, 1e-9);
}

Test(arrivals, of_this_gateway_are_measured_over_about_a_second)
{
    ArrivalMeter meter;
    for (int request = 0; request < 1000; ++request)
        meter.note(20, Start + Milliseconds(10 * request));
    const SteadyTime end = Start + Milliseconds(10000);
    cr_assert_float_eq(meter.workPerMs(end), 2, 0.05);
    cr_assert_float_eq(meter.requestMs(), 20, 0.001);
    cr_assert_lt(meter.workPerMs(end + Milliseconds(5000)), 0.05);
}

// Guards against engines that count as slow after one slow period, and against single samples.
Test(engine_speed, starts_from_the_mean_of_the_pool_and_passes_over_one_slow_period)
{
    constexpr double Mean = 20;
    RateEstimate speed;
    cr_assert_eq(speed.estimate(Mean), Mean);
    cr_assert_eq(speed.confidence(), 0);
    speed.note(40, Start);
    cr_assert_lt(speed.estimate(Mean), 30);
    SteadyTime now = Start;
    for (int sample = 0; sample < 60; ++sample, now += Milliseconds(50))
        speed.note(32, now);
    const double measured = speed.estimate(Mean);
    cr_assert_gt(measured, 29);
    for (int sample = 0; sample < 10; ++sample, now += Milliseconds(50))
        speed.note(32 / 2.5, now);
    cr_assert_float_eq(speed.estimate(Mean), measured, 0.5);
    for (int sample = 0; sample < 60; ++sample, now += Milliseconds(50))
        speed.note(32 / 2.5, now);
    cr_assert_lt(speed.estimate(Mean), 16, "An engine that stays slow counts as slow.");
    cr_assert_gt(speed.confidence(), 0.8);
}

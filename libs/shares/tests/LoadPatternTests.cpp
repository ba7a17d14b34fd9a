#include "ShareSimulation.h"

#include <cmath>
#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::shares;
using namespace citronspoke::shares::tests;

namespace {

Pattern largeAndSmall()
{
    Pattern pattern;
    pattern.weights = fewLargeManySmall(5, 0.5, 76);
    return pattern;
}

double alternatingBursts(size_t kind, Milliseconds time)
{
    constexpr Milliseconds Period { 2800 };
    return static_cast<size_t>(time / Period) % 3 == kind ? 1.9 : 0.55;
}

double zoneWave(size_t zone, Milliseconds time)
{
    constexpr double PeriodMs = 11000;
    constexpr double Turn = 6.283185307;
    return 1
        + 0.5
        * std::sin(
            Turn * (static_cast<double>(time.count()) / PeriodMs + static_cast<double>(zone) / 3));
}

} // namespace

// Guards against large organisations that leave small ones unserved.
Test(load_pattern, a_few_large_organisations_beside_many_small_ones)
{
    const Pattern pattern = largeAndSmall();
    checkBounds(pattern, simulate(pattern));
}

// Guards against shares that hold only where a kind of requests gives way to the others.
Test(load_pattern, kinds_of_one_priority)
{
    Pattern pattern = largeAndSmall();
    for (Kind& kind : pattern.kinds)
        kind.priority = 1;
    checkBounds(pattern, simulate(pattern));
}

// Guards against a share that grows with the number of attempts.
Test(load_pattern, callers_of_one_organisation_that_repeat_at_once_and_often)
{
    Pattern pattern = largeAndSmall();
    pattern.repeatingOrganisations = 1;
    checkBounds(pattern, simulate(pattern));
}

// Guards against shares that follow the bursts too late, and against a kind left unserved.
Test(load_pattern, bursts_that_alternate_between_kinds)
{
    Pattern pattern = largeAndSmall();
    pattern.factor
        = [](size_t kind, size_t, Milliseconds time) { return alternatingBursts(kind, time); };
    checkBounds(pattern, simulate(pattern));
}

// Guards against shares that depend on the zone in which an organisation's callers are.
Test(load_pattern, zones_with_waves_out_of_phase)
{
    Pattern pattern = largeAndSmall();
    pattern.factor = [](size_t, size_t zone, Milliseconds time) { return zoneWave(zone, time); };
    checkBounds(pattern, simulate(pattern));
}

// Guards against shares that need every report.
Test(load_pattern, a_third_of_the_reports_lost)
{
    Pattern pattern = largeAndSmall();
    pattern.lostReports = 0.33;
    checkBounds(pattern, simulate(pattern));
}

// Guards against the use of a gateway that has gone, and a collector that has gone.
Test(load_pattern, a_third_of_the_gateways_gone)
{
    Pattern pattern = largeAndSmall();
    pattern.lastingGateways = 18;
    checkBounds(pattern, simulate(pattern));
}

// Guards against callers that are refused for good, or that all return at once.
Test(load_pattern, refused_callers_that_return)
{
    const Pattern pattern = largeAndSmall();
    const Result result = simulate(pattern);
    checkBounds(pattern, result);
    cr_expect_gt(result.returnedServed, 0U);
}

// Guards against a least urgent kind that is left unserved, and against shares that do not hold
// where the more urgent kinds take nearly all of the capacity.
Test(load_pattern, urgent_kinds_that_leave_little_for_the_least_urgent)
{
    Pattern pattern = largeAndSmall();
    pattern.engines = 24;
    checkBounds(pattern, simulate(pattern));
}

// Guards against an organisation that is limited although it is alone.
Test(load_pattern, one_organisation_that_has_everything)
{
    Pattern pattern;
    pattern.weights = { 1 };
    checkBounds(pattern, simulate(pattern));
}

// Guards against refusals while there is room.
Test(load_pattern, capacity_for_everybody)
{
    Pattern pattern = largeAndSmall();
    pattern.engines = 60;
    const Result result = simulate(pattern);
    checkBounds(pattern, result);
    cr_expect_eq(result.refused, 0U);
    cr_expect_geq(result.all.part(), 0.999);
}

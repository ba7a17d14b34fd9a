#include "CrashModel.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::quarantine;
using namespace citronspoke::quarantine::tests;

namespace {

constexpr uint64_t Seeds = 10;
/** Sends that the users' rules allow later than ContactTime after the fifth crash. */
constexpr size_t AllowedLateSends = 3;
/** Of the sound requests, the users' rules allow one of two to be refused. */
constexpr size_t SoundRequestsPerRefusal = 2;

void expectKept(const CrashPattern& pattern)
{
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        const CrashOutcome outcome = simulate(pattern, seed);
        for (const auto& [part, sends] : outcome.lateSends)
            cr_expect_leq(sends, AllowedLateSends, "seed %lu, part %s", seed, part.text().c_str());
        cr_expect_lt(outcome.soundRefusals * SoundRequestsPerRefusal, outcome.soundRequests,
            "seed %lu", seed);
        cr_expect(outcome.soundPartsRefused.empty(), "seed %lu: %zu parts", seed,
            outcome.soundPartsRefused.size());
    }
}

} // namespace

Test(load_pattern, one_crashing_part_in_a_burst)
{
    CrashPattern pattern;
    pattern.requestsPerSecond = 600;
    expectKept(pattern);
}

Test(load_pattern, one_crashing_part_that_comes_rarely)
{
    CrashPattern pattern;
    pattern.crashingShare = 0.01;
    expectKept(pattern);
}

Test(load_pattern, two_crashing_parts_at_once)
{
    CrashPattern pattern;
    pattern.crashingParts = 2;
    expectKept(pattern);
}

Test(load_pattern, a_crashing_part_at_the_start_of_the_prompt)
{
    CrashPattern pattern;
    pattern.isCrashingPartFirst = true;
    expectKept(pattern);
}

Test(load_pattern, a_crashing_part_while_a_third_of_the_engines_is_lost_at_a_time)
{
    CrashPattern pattern;
    pattern.lossShare = 0.33;
    expectKept(pattern);
}

Test(load_pattern, a_crashing_part_with_few_decode_engines)
{
    CrashPattern pattern;
    pattern.engines = 2;
    expectKept(pattern);
}

Test(load_pattern, a_crashing_part_with_a_hundred_gateways_that_hear_each_other_late)
{
    CrashPattern pattern;
    pattern.gateways = 100;
    pattern.engines = 120;
    pattern.requestsPerSecond = 600;
    pattern.reportDelay = Milliseconds(300);
    pattern.lostReports = 0.1;
    expectKept(pattern);
}

Test(load_pattern, a_crashing_part_while_all_gateways_are_killed)
{
    CrashPattern pattern;
    pattern.killAt = Milliseconds(8000);
    expectKept(pattern);
}

Test(load_pattern, connections_that_are_reset_without_a_crash)
{
    CrashPattern pattern;
    pattern.crashingShare = 0;
    pattern.resetShare = 0.5;
    expectKept(pattern);
}

Test(load_pattern, losses_of_half_of_the_engines_without_a_crashing_part)
{
    CrashPattern pattern;
    pattern.crashingShare = 0;
    pattern.lossShare = 0.5;
    pattern.gateways = 68;
    pattern.engines = 60;
    pattern.requestsPerSecond = 600;
    expectKept(pattern);
}

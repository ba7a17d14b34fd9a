#include "RoleTestFleet.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::roles;
using namespace citronspoke::roles::tests;

namespace {

const fleet::EngineTraits Traits { 64, 444815, 18432, Milliseconds(5000), Milliseconds(3000) };

/** @return the demand after prompts at a rate, with decode engines that begin after 10 ms. */
DemandMeter meterOf(int promptsPerSecond, Milliseconds prefillTime)
{
    DemandMeter meter;
    for (int sample = 0; sample < 200; ++sample)
        meter.noteDecodeBegun(Milliseconds(10), 2);
    for (int index = 0; index < 4 * promptsPerSecond; ++index)
        meter.notePrompt(prefillTime, at(Milliseconds(index * 1000 / promptsPerSecond)));
    return meter;
}

} // namespace

Test(demand, follows_the_rate_of_prompts_and_their_prefill_time)
{
    const Demand demand = meterOf(200, Milliseconds(20)).demand(at(Milliseconds(4000)));
    // 200 transfers a second of about half the time until the response keep one engine busy.
    cr_expect_float_eq(demand.decodeEngines, 1.0, 0.25);
    cr_expect_float_eq(demand.prefillEngines, 4.0, 0.5);
}

Test(demand, ends_when_no_more_prompts_arrive)
{
    const Demand demand = meterOf(200, Milliseconds(20)).demand(at(Milliseconds(9000)));
    cr_expect_eq(demand.decodeEngines, 0);
    cr_expect_eq(demand.prefillEngines, 0);
}

Test(load_pattern, waiting_at_a_decode_engine_that_is_full_does_not_count_as_demand)
{
    DemandMeter meter = meterOf(100, Milliseconds(10));
    const double before = meter.demand(at(Milliseconds(4000))).decodeEngines;
    for (int sample = 0; sample < 1000; ++sample)
        meter.noteDecodeBegun(Milliseconds(1200), 200);
    cr_expect_eq(meter.demand(at(Milliseconds(4000))).decodeEngines, before);
}

Test(load_pattern, long_outputs_count_by_the_slots_and_the_memory_that_they_hold)
{
    DemandMeter meter;
    // 40 outputs a second that hold a slot for 4.8 s each: three engines of 64 slots.
    for (int index = 0; index < 160; ++index)
        meter.noteDecodeFinished(Milliseconds(4800), 1000, Traits, at(Milliseconds(index * 25)));
    cr_expect_float_eq(meter.demand(at(Milliseconds(4000))).decodeEngines, 3.0, 0.4);
    // The same with half of an engine's memory each needs far more engines.
    for (int index = 0; index < 4; ++index)
        meter.noteDecodeFinished(Milliseconds(4800), 222407, Traits, at(Milliseconds(4000)));
    cr_expect_gt(meter.demand(at(Milliseconds(4000))).decodeEngines, 2.0);
}

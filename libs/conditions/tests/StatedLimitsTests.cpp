#include "conditions/Conditions.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::conditions;

namespace {

const SteadyTime Start { std::chrono::hours(1) };

fleet::TargetRecord engine(int64_t startedAt)
{
    fleet::TargetRecord record;
    record.id = TargetId("engine");
    record.startedAt = UnixMillis(startedAt);
    return record;
}

SteadyTime at(int milliseconds) { return Start + Milliseconds(milliseconds); }

} // namespace

Test(stated_limits, hold_until_a_later_request_gets_a_response_without_one)
{
    StatedLimits limits;
    cr_assert(limits.noteResponse(engine(1), 4.5, at(0), at(100)));
    cr_assert_not(limits.noteResponse(engine(1), 4.5, at(50), at(200)), "nothing has changed");
    cr_assert(limits.noteResponse(engine(1), 4.4, at(60), at(210)));
    cr_assert_not(limits.noteResponse(engine(1), std::nullopt, at(150), at(220)),
        "the request was sent before the limit was last stated");
    cr_assert(limits.limit(engine(1))->requestsPerSecond == 4.4);
    cr_assert(limits.noteResponse(engine(1), std::nullopt, at(230), at(300)));
    cr_assert_not(limits.limit(engine(1)).has_value());
}

Test(stated_limits, do_not_hold_for_another_incarnation)
{
    StatedLimits limits;
    limits.noteResponse(engine(1), 4.5, at(0), at(100));
    cr_assert_not(limits.limit(engine(2)).has_value());
    cr_assert_not(limits.noteResponse(engine(2), std::nullopt, at(200), at(300)));
    cr_assert(limits.limit(engine(1))->requestsPerSecond == 4.5);
}

#include "quarantine/Quarantine.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::quarantine;

namespace {

const SteadyTime Start { std::chrono::hours(1) };
const PromptPartId Common("c0");
const PromptPartId Crashing("bad");
const PromptPartId Sound("50d");
using Parts = std::vector<PromptPartId>;

/** Counts crashes with these keys against the parts. */
void crash(
    CrashingParts& history, const Parts& parts, int64_t first, int64_t last, SteadyTime now = Start)
{
    for (int64_t key = first; key <= last; ++key)
        history.noteCrash(CrashKey(key), parts, now);
}

/** @return a history of a gateway that has served a prompt with another part. */
CrashingParts inService()
{
    CrashingParts history;
    history.noteServed(Parts { PromptPartId("77aa") }, Start);
    return history;
}

fleet::TargetRecord target(const std::string& id, int64_t startedAt, int64_t registration)
{
    fleet::TargetRecord record;
    record.id = TargetId(id);
    record.startedAt = UnixMillis(startedAt);
    record.registration.number = registration;
    return record;
}

} // namespace

Test(crash_keys, name_one_incarnation_whatever_its_registration)
{
    cr_expect(crashOf(target("e", 5, 1)) == crashOf(target("e", 5, 2)));
    cr_expect(crashOf(target("e", 5, 1)) != crashOf(target("e", 6, 1)));
    cr_expect(crashOf(target("e", 0, 1)) != crashOf(target("e", 0, 2)));
    cr_expect(crashOf(target("e", 5, 1)) != crashOf(target("f", 5, 1)));
}

Test(shared_parts, are_all_but_the_last)
{
    const fleet::Prompt prompt { "m", 100, 10, { { "5c1e", 60 }, { "91bd", 20 }, { "e440", 20 } } };
    cr_expect(sharedParts(prompt) == Parts({ PromptPartId("5c1e"), PromptPartId("91bd") }));
    cr_expect(sharedParts({ "m", 10, 10, { { "e440", 10 } } }).empty());
    cr_expect(sharedParts({}).empty());
    const fleet::Prompt odd { "m", 9, 1,
        { { std::string(90, 'a'), 3 }, { "a b", 3 }, { "c", 3 } } };
    for (const PromptPartId& part : sharedParts(odd))
        cr_expect(part.text().starts_with('#') && part.text().size() <= 32);
}

Test(crashing_parts, are_quarantined_after_three_crashes_of_different_incarnations)
{
    CrashingParts history = inService();
    crash(history, { Crashing }, 1, 2);
    crash(history, { Crashing }, 1, 2);
    cr_assert_not(history.findBlocking(Parts { Crashing }).has_value());
    cr_assert_eq(history.noteCrash(CrashKey(3), Parts { Crashing }, Start).size(), 1U);
    cr_assert(history.findBlocking(Parts { Common, Crashing }) == Crashing);
    cr_assert(history.noteCrash(CrashKey(3), Parts { Crashing }, Start).empty());
}

Test(crashing_parts, that_were_served_are_not_blamed)
{
    CrashingParts history;
    history.noteServed(Parts { Common, Sound }, Start);
    crash(history, { Common, Crashing }, 1, 3);
    cr_assert(history.findBlocking(Parts { Common, Crashing }) == Crashing);
    cr_assert_not(history.findBlocking(Parts { Common, Sound }).has_value());
    cr_assert_eq(history.quarantined().size(), 1U);
}

Test(crashing_parts, that_were_served_long_ago_are_blamed)
{
    CrashingParts history;
    history.noteServed(Parts { Crashing }, Start);
    const SteadyTime later = Start + CrashingParts::ServedLifetime;
    history.noteServed(Parts { Sound }, later);
    crash(history, { Crashing }, 1, 3, later);
    cr_assert(history.findBlocking(Parts { Crashing }).has_value());
}

Test(crashing_parts, are_cleared_by_a_first_event)
{
    CrashingParts history = inService();
    crash(history, { Common, Crashing }, 1, 2);
    cr_assert(history.noteServed(Parts { Common }, Start).cleared == Parts { Common });
    crash(history, { Common, Crashing }, 3, 3);
    cr_assert(history.findBlocking(Parts { Common, Crashing }) == Crashing);
    cr_assert(history.noteServed(Parts { Crashing }, Start).cleared == Parts { Crashing });
    cr_assert(history.empty());
}

Test(crashing_parts, that_cannot_be_told_apart_block_only_prompts_that_have_both)
{
    CrashingParts history = inService();
    crash(history, { Common, Crashing }, 1, 3);
    cr_assert(history.findBlocking(Parts { Common, Crashing }).has_value());
    cr_assert_not(history.findBlocking(Parts { Common, Sound }).has_value());
    cr_assert_not(history.findBlocking(Parts { Sound, Crashing }).has_value());
    // The next crash without the common part tells which one it is.
    crash(history, { Sound, Crashing }, 4, 4);
    cr_assert(history.findBlocking(Parts { Sound, Crashing }) == Crashing);
    cr_assert_not(history.findBlocking(Parts { Common, Sound }).has_value());
}

Test(crashing_parts, block_whatever_explains_their_first_crashes_when_they_have_many)
{
    CrashingParts history = inService();
    crash(history, { Common, Crashing }, 1, 40);
    cr_assert(history.findBlocking(Parts { Crashing }).has_value());
}

// Guards against a part of all prompts that is quarantined after an outage of all engines (soak,
// seed 47).
Test(crashing_parts, are_not_quarantined_before_a_prompt_without_them_is_served)
{
    CrashingParts history;
    crash(history, { Common }, 1, 9);
    cr_assert_not(history.findBlocking(Parts { Common }).has_value());
    cr_assert(history.noteServed(Parts { Sound }, Start).quarantined == Parts { Common });
    cr_assert(history.findBlocking(Parts { Common }).has_value());
}

Test(crashing_parts, that_another_gateway_has_quarantined_are_so_here)
{
    CrashingParts here = inService();
    CrashingParts there;
    crash(here, { Crashing }, 1, 3);
    there.merge(here.reportOf(Crashing), Start);
    cr_assert(there.findBlocking(Parts { Crashing }).has_value());
}

Test(crashing_parts, add_up_over_gateways)
{
    CrashingParts here = inService();
    CrashingParts there = inService();
    crash(here, { Crashing }, 1, 2);
    crash(there, { Crashing }, 2, 3);
    cr_assert_not(there.findBlocking(Parts { Crashing }).has_value());
    there.merge(here.reportOf(Crashing), Start);
    cr_assert_eq(there.reportOf(Crashing).crashes.size(), 3U);
    cr_assert(there.findBlocking(Parts { Crashing }).has_value());
}

Test(crashing_parts, that_another_gateway_has_served_are_reported_back)
{
    CrashingParts here;
    CrashingParts there;
    crash(here, { Sound }, 1, 3);
    there.noteServed(Parts { Sound }, Start);
    cr_assert(there.merge(here.reportOf(Sound), Start));
    cr_assert(there.empty());
    cr_assert(here.noteServedElsewhere(Sound, Start));
    cr_assert(here.empty());
    // A gateway vouches only for what it has seen itself.
    cr_assert_not(here.merge({ Sound, { CrashKey(4) }, false, {} }, Start));
    cr_assert(here.empty());
}

Test(crashing_parts, are_cleared_of_crashes_that_did_not_happen)
{
    CrashingParts history = inService();
    crash(history, { Crashing }, 1, 3);
    cr_assert(history.withdraw(CrashKey(2), Start));
    cr_assert_not(history.findBlocking(Parts { Crashing }).has_value());
    history.merge({ Crashing, { CrashKey(2) }, false, {} }, Start);
    cr_assert_eq(history.reportOf(Crashing).crashes.size(), 2U);
    crash(history, { Crashing }, 4, 4);
    cr_assert(history.findBlocking(Parts { Crashing }).has_value());
}

Test(crashing_parts, that_are_released_stay_so_while_others_still_report_them)
{
    CrashingParts history = inService();
    crash(history, { Crashing }, 1, 3);
    const PartCrashReport report = history.reportOf(Crashing);
    history.release(Crashing, Start);
    history.merge(report, Start + Milliseconds(1000));
    cr_assert(history.empty());
    history.merge(report, Start + Milliseconds(10000));
    cr_assert(history.findBlocking(Parts { Crashing }).has_value());
}

Test(crashing_parts, expire)
{
    CrashingParts history = inService();
    crash(history, { Sound }, 1, 1);
    crash(history, { Crashing }, 1, 3);
    history.expire(Start + CrashingParts::SuspicionLifetime);
    cr_assert_eq(history.reportOf(Sound).crashes.size(), 0U);
    cr_assert(history.findBlocking(Parts { Crashing }).has_value());
    history.expire(Start + CrashingParts::QuarantineLifetime);
    cr_assert(history.empty());
}

Test(crashing_parts, are_bounded_and_keep_those_that_are_quarantined)
{
    CrashingParts history = inService();
    crash(history, { Crashing }, 1, 3);
    for (int64_t number = 0; number < 5000; ++number)
        history.noteCrash(
            CrashKey(number), Parts { PromptPartId("p" + std::to_string(number)) }, Start);
    cr_assert(history.findBlocking(Parts { Crashing }).has_value());
    size_t kept = 0;
    for (int64_t number = 0; number < 5000; ++number)
        kept += history.reportOf(PromptPartId("p" + std::to_string(number))).crashes.size();
    cr_assert_lt(kept, 2000U);
}

Test(served_parts, are_remembered_for_half_of_their_lifetime_at_least)
{
    ServedParts served(Milliseconds(1000), 100);
    served.note(Parts { Sound }, Start);
    cr_expect(served.contains(Sound, Start + Milliseconds(999)));
    served.note(Parts { Common }, Start + Milliseconds(600));
    cr_expect(served.contains(Sound, Start + Milliseconds(900)));
    cr_expect_not(served.contains(Sound, Start + Milliseconds(1000)));
    cr_expect(served.contains(Common, Start + Milliseconds(1100)));
    cr_expect_not(served.empty(Start + Milliseconds(1100)));
    cr_expect(served.empty(Start + Milliseconds(1600)));
}

Test(served_parts, are_bounded)
{
    ServedParts served(Milliseconds(1000), 100);
    for (int number = 0; number < 1000; ++number)
        served.note(Parts { PromptPartId(std::to_string(number)) }, Start);
    size_t kept = 0;
    for (int number = 0; number < 1000; ++number)
        kept += served.contains(PromptPartId(std::to_string(number)), Start) ? 1 : 0;
    cr_expect_leq(kept, 100U);
    cr_expect(served.contains(PromptPartId("999"), Start));
}

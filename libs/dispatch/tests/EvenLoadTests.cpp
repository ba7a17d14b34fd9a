#include "dispatch/Dispatch.h"

#include <criterion/criterion.h>
#include <random>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

const PoolId Pool("engines");
const SteadyTime Now { std::chrono::hours(1) };
const PromptGoal Goal { 1, Milliseconds(2000), ZoneId() };

/** What one of many gateways knows of a pool. */
struct View {
    explicit View(int engines)
    {
        for (int index = 0; index < engines; ++index) {
            fleet::TargetRecord record;
            record.id = TargetId("engine-" + std::to_string(100 + index));
            record.pool = Pool;
            record.address = { "10.0.0." + std::to_string(index + 1), 80 };
            record.slots = 64;
            directory.put(record);
        }
        speed.notePrefilled(10000, 0, Milliseconds(500));
        even.gateway = 30;
        even.gateways = 30;
    }

    PromptPlacement place(const fleet::Prompt& prompt, const EvenLoad* options)
    {
        const std::vector<TargetState*> engines = directory.usable(Pool, Now);
        return placePrompt(engines, engines, prompt, Goal, cacheIndex, speed, {}, Now, options);
    }
    /** @return how many engines 200 evenly distributed draws choose. */
    size_t enginesUsed(const fleet::Prompt& prompt)
    {
        constexpr int Draws = 200;
        std::set<TargetId> used;
        for (int draw = 0; draw < Draws; ++draw) {
            even.draw = (draw + 0.5) / Draws;
            used.insert(place(prompt, &even).engine->record.id);
        }
        return used.size();
    }
    void loadOfPeer(int engine, uint64_t tokens)
    {
        Load load { 1, {}, tokens };
        load.promptTokens[0] = tokens;
        directory.notePeerLoad(
            TargetId("engine-" + std::to_string(100 + engine)), EntryId("peer"), load, Now);
    }

    TargetDirectory directory;
    PrefixCacheIndex cacheIndex;
    PrefillSpeed speed;
    EvenLoad even;
};

fleet::Prompt prompt(uint32_t sharedTokens, uint32_t ownTokens)
{
    return { "m", sharedTokens + ownTokens, 20,
        { { "shared", sharedTokens }, { "own", ownTokens } } };
}

} // namespace

// Guards against choices that change although reports are fresh and engines equally fast.
Test(even_load, is_todays_choice_with_fresh_reports_and_equal_speeds)
{
    std::mt19937 random(11);
    for (int round = 0; round < 500; ++round) {
        View view(12);
        // Different loads, so that no two engines are equal.
        for (int engine = 0; engine < 12; ++engine)
            view.loadOfPeer(engine, 100 + random() % 20000);
        const std::vector<fleet::PromptPart> parts { { "shared", 4000 } };
        if (round % 2 == 0)
            view.cacheIndex.notePrefilled(
                TargetId("engine-" + std::to_string(100 + random() % 12)), 450000, parts);
        const fleet::Prompt each = prompt(4000, 100 + random() % 3000);
        view.even.draw = 0.7;
        const PromptPlacement today = view.place(each, nullptr);
        const PromptPlacement even = view.place(each, &view.even);
        cr_assert(today.engine == even.engine && today.fetchFrom == even.fetchFrom);
        cr_assert_eq(today.tokensToPrefill, even.tokensToPrefill);
        cr_assert_eq(today.urgency, even.urgency);
        const std::vector<TargetState*> engines = view.directory.usable(Pool, Now);
        cr_assert(chooseDecodeEngine(engines, {}, { ZoneId(), 400 }, Now)
            == chooseDecodeEngine(engines, {}, { ZoneId(), 400 }, Now, &view.even));
    }
}

// Guards against gateways that all send to the same engine until the next report.
Test(even_load, spreads_over_more_engines_the_older_the_reports_are)
{
    View view(40);
    for (int engine = 0; engine < 40; ++engine)
        view.loadOfPeer(engine, uint64_t { 500 } * static_cast<uint64_t>(1 + engine));
    view.even.own.note(20, Now);
    const fleet::Prompt each = prompt(0, 400);
    cr_expect_eq(view.enginesUsed(each), 1U);
    size_t before = 1;
    for (const double age : { 6.0, 60.0, 400.0 }) {
        view.even.reportAgeMs = age;
        const size_t used = view.enginesUsed(each);
        cr_expect_gt(used, before, "%zu engines at %.0f ms", used, age);
        before = used;
    }
}

// Guards against an even load that ignores the cache.
Test(even_load, keeps_to_the_engine_that_prefills_a_shared_part)
{
    View view(40);
    for (int engine = 0; engine < 40; ++engine)
        view.loadOfPeer(engine, 2000);
    view.even.own.note(20, Now);
    view.even.reportAgeMs = 20;
    const std::vector<fleet::PromptPart> parts { { "shared", 13000 } };
    // Not prefilled yet, so that others cannot fetch it.
    view.cacheIndex.noteSent(TargetId("engine-107"), 450000, parts);
    cr_assert_eq(view.enginesUsed(prompt(13000, 400)), 1U);
    cr_assert(
        view.place(prompt(13000, 400), &view.even).engine->record.id == TargetId("engine-107"));
}

// Guards against slow engines that get as much as fast ones because they appear as empty.
Test(even_load, considers_the_measured_speed_of_an_engine_until_it_restarts)
{
    View view(2);
    TargetState* slow = view.directory.find(TargetId("engine-100"));
    for (int sample = 0; sample < 20; ++sample)
        slow->speeds.prefill.note(5, Now + Milliseconds(300 * sample));
    view.loadOfPeer(1, 1000);
    const fleet::Prompt each = prompt(0, 1000);
    cr_expect(view.place(each, nullptr).engine == slow);
    const PromptPlacement even = view.place(each, &view.even);
    cr_expect(even.engine != slow);
    cr_expect_eq(even.expected.count(), 100);
    fleet::TargetRecord restarted = slow->record;
    restarted.startedAt = UnixMillis(2);
    view.directory.put(restarted);
    cr_expect_eq(slow->speeds.prefill.confidence(), 0);
    cr_expect(view.place(each, &view.even).engine == slow);
}

// Guards against applications whose targets are chosen in turns by all gateways.
Test(even_load, spreads_requests_without_prompts_and_avoids_failing_targets)
{
    View view(6);
    view.even.reportAgeMs = 200;
    for (int request = 0; request < 20; ++request)
        view.even.own.note(1, Now);
    view.directory.noteResult(TargetId("engine-100"), AttemptResult::Unreachable, Now);
    std::set<TargetId> used;
    const std::vector<TargetState*> targets = view.directory.usable(Pool, Now);
    for (int draw = 0; draw < 100; ++draw) {
        view.even.draw = draw / 100.0;
        used.insert(chooseTarget(targets, { TargetId("engine-101") }, ZoneId(), 0, Now, &view.even)
                        ->record.id);
    }
    cr_assert_eq(used.size(), 4U);
    cr_assert_not(used.contains(TargetId("engine-100")) || used.contains(TargetId("engine-101")));
    cr_assert_null(chooseTarget({}, {}, ZoneId(), 0, Now, &view.even));
}

// Guards against silence that counts as age, and against lost reports that do not.
Test(report_ages, grow_with_lost_updates_and_with_peers_that_are_cut_off)
{
    ReportAges ages;
    cr_assert_eq(ages.meanMs(1, Now), 0, "There are no others.");
    cr_assert_eq(ages.meanMs(2, Now), 2000, "Nothing is known of the other.");
    SteadyTime now = Now;
    for (uint64_t number = 1; number <= 100; ++number, now += Milliseconds(10))
        ages.note(EntryId("peer"), number, now);
    cr_assert_lt(ages.meanMs(2, now + Milliseconds(500)), 10);
    for (uint64_t number = 102; number <= 300; number += 2, now += Milliseconds(20))
        ages.note(EntryId("peer"), number, now);
    cr_assert_gt(ages.meanMs(2, now), 100);
    cr_assert_geq(ages.meanMs(2, now + Milliseconds(1000)), 1000);
    ages.expire(now + Milliseconds(3000), TargetDirectory::PeerReportTimeout);
    cr_assert_eq(ages.meanMs(1, now + Milliseconds(3000)), 0);
}

#include "dispatch/Dispatch.h"

#include <criterion/criterion.h>
#include <random>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

const PoolId Pool("engines");
const SteadyTime Now { std::chrono::hours(1) };
constexpr uint64_t Capacity = 450000;
const PromptGoal Relaxed { 2, Milliseconds(800), ZoneId() };

/** A pool of prefill engines, and what an entry knows about them. */
struct Fleet {
    explicit Fleet(int engines)
    {
        for (int index = 0; index < engines; ++index) {
            fleet::TargetRecord record;
            record.id = TargetId("engine-" + std::to_string(index));
            record.pool = Pool;
            record.address = { "10.0.0." + std::to_string(index + 1), 80 };
            record.slots = 64;
            record.role = EngineRole::Prefill;
            directory.put(record);
        }
        // 20 tokens per millisecond.
        speed.notePrefilled(10000, 0, Milliseconds(500));
    }

    PromptPlacement place(const fleet::Prompt& prompt, const PromptGoal& goal = Relaxed)
    {
        const std::vector<TargetState*> cachingEngines = directory.allInPool(Pool, Now);
        const std::vector<TargetState*> candidates = directory.usable(Pool, Now);
        return placePrompt(candidates, cachingEngines, prompt, goal, cacheIndex, speed, {}, Now);
    }

    /** Places the prompt and leaves it unfinished. */
    PromptPlacement send(const fleet::Prompt& prompt, const PromptGoal& goal = Relaxed)
    {
        const PromptPlacement placement = place(prompt, goal);
        Load load { 1, {}, 0 };
        load.promptTokens[placement.urgency] = placement.tokensToPrefill;
        directory.noteStarted(placement.engine->record.id, load);
        cacheIndex.noteSent(placement.engine->record.id, Capacity, prompt.parts);
        return placement;
    }

    /** Adds load to an engine without placing a prompt. */
    void load(const TargetId& engine, Urgency urgency, uint64_t tokens)
    {
        Load load { 1, {}, 0 };
        load.promptTokens[urgency] = tokens;
        directory.noteStarted(engine, load);
    }

    TargetDirectory directory;
    PrefixCacheIndex cacheIndex;
    PrefillSpeed speed;
};

fleet::Prompt prompt(const std::string& shared, uint32_t sharedTokens, uint32_t ownTokens)
{
    static int number = 0;
    number += 1;
    return { "model", sharedTokens + ownTokens, 20,
        { { shared, sharedTokens }, { "own-" + std::to_string(number), ownTokens } } };
}

} // namespace

Test(load_pattern, cold_start_with_empty_caches_prefills_each_shared_part_at_one_engine)
{
    Fleet first(10);
    Fleet second(10);
    // Two entries without knowledge of each other choose the same engine for the same part.
    for (int document = 0; document < 20; ++document) {
        const std::string shared = "document-" + std::to_string(document);
        cr_expect(first.place(prompt(shared, 13000, 3000)).engine->record.id
            == second.place(prompt(shared, 13000, 3000)).engine->record.id);
    }
}

Test(load_pattern, second_request_for_an_uncached_part_goes_to_the_engine_that_prefills_it)
{
    Fleet fleet(10);
    const TargetId prefillEngine = fleet.send(prompt("guide", 13000, 1000)).engine->record.id;
    const PromptPlacement second = fleet.send(prompt("guide", 13000, 1000));
    cr_assert(second.engine->record.id == prefillEngine);
    cr_assert_eq(second.tokensToPrefill, 1000U);
}

Test(load_pattern, hot_shared_part_is_fetched_by_idle_engines)
{
    Fleet fleet(10);
    const fleet::Prompt first = prompt("guide", 13000, 1000);
    const TargetId cachingEngine = fleet.send(first).engine->record.id;
    fleet.cacheIndex.notePrefilled(cachingEngine, Capacity, first.parts);
    std::set<TargetId> engines;
    for (int request = 0; request < 20; ++request) {
        const PromptPlacement placement = fleet.send(prompt("guide", 13000, 1000));
        engines.insert(placement.engine->record.id);
        cr_expect_eq(placement.tokensToPrefill, 1000U, "The part must not be prefilled again.");
        if (placement.engine->record.id != cachingEngine && engines.size() == 2)
            cr_expect_not_null(placement.fetchFrom);
    }
    cr_assert_geq(engines.size(), 8U, "Requests for one hot part must be spread over the engines.");
}

Test(load_pattern, cached_parts_of_a_leaving_engine_are_still_fetched)
{
    Fleet fleet(4);
    const fleet::Prompt first = prompt("guide", 13000, 1000);
    const TargetId cachingEngine = fleet.send(first).engine->record.id;
    fleet.cacheIndex.notePrefilled(cachingEngine, Capacity, first.parts);
    fleet::TargetRecord leaving = fleet.directory.find(cachingEngine)->record;
    leaving.isLeaving = true;
    fleet.directory.put(leaving);
    const PromptPlacement placement = fleet.place(prompt("guide", 13000, 1000));
    cr_assert(placement.engine->record.id != cachingEngine);
    cr_assert(placement.fetchFrom && placement.fetchFrom->record.id == cachingEngine);
    cr_assert_eq(placement.tokensToPrefill, 1000U);
}

Test(load_pattern, short_urgent_prompts_go_before_huge_ones)
{
    Fleet fleet(2);
    for (int request = 0; request < 4; ++request)
        fleet.send(prompt("huge-" + std::to_string(request), 10, 15000));
    const PromptPlacement lookup
        = fleet.place(prompt("", 0, 900), { 0, Milliseconds(500), ZoneId() });
    cr_assert_lt(lookup.urgency, Urgency(3));
    cr_assert_eq(lookup.tokensAhead, 0U);
}

Test(load_pattern, within_a_priority_short_prompts_go_before_long_ones)
{
    Fleet fleet(1);
    const PromptPlacement shorter = fleet.place(prompt("", 0, 1500));
    const PromptPlacement longer = fleet.place(prompt("", 0, 12000));
    cr_assert_lt(shorter.urgency, longer.urgency);
    cr_assert_lt(longer.urgency, LateUrgency);
}

Test(load_pattern, overload_lets_late_prompts_give_way)
{
    Fleet fleet(1);
    fleet.load(TargetId("engine-0"), 6, 14000);
    // The estimate is 900 ms, but part of the work ahead may be cancelled, so 800 ms are possible.
    const PromptPlacement doubtful = fleet.place(prompt("", 0, 4000));
    cr_assert_lt(doubtful.urgency, LateUrgency);
    fleet.load(TargetId("engine-0"), 6, 16000);
    // The estimate is 1,700 ms, and even half of it is too long.
    const PromptPlacement late = fleet.place(prompt("", 0, 4000));
    cr_assert_eq(late.urgency, LateUrgency);
    Fleet crowded(1);
    crowded.load(TargetId("engine-0"), LateUrgency, 100000);
    cr_assert_eq(crowded.place(prompt("", 0, 1500)).tokensAhead, 0U,
        "Late prompts must not delay those that can be on time.");
}

Test(load_pattern, loss_of_half_the_prefill_engines_leaves_the_rest_evenly_loaded)
{
    Fleet fleet(10);
    for (int index = 0; index < 5; ++index)
        fleet.directory.remove(TargetId("engine-" + std::to_string(index)), SteadyTime {}, Now);
    std::map<TargetId, uint64_t> tokens;
    for (int request = 0; request < 50; ++request) {
        const PromptPlacement placement = fleet.send(prompt("", 0, 2000));
        tokens[placement.engine->record.id] += placement.tokensToPrefill;
    }
    cr_assert_eq(tokens.size(), 5U);
    for (const auto& [engine, sum] : tokens)
        cr_expect_eq(sum, 20000U);
}

Test(placement, prefers_a_near_connected_engine_unless_another_finishes_clearly_sooner)
{
    Fleet fleet(3);
    for (const char* id : { "engine-0", "engine-1" })
        fleet.directory.find(TargetId(id))->isConnected = true;
    fleet::TargetRecord far = fleet.directory.find(TargetId("engine-0"))->record;
    far.zone = ZoneId("far");
    fleet.directory.put(far);
    cr_assert(fleet.place(prompt("", 0, 100)).engine->record.id == TargetId("engine-1"));
    fleet.load(TargetId("engine-1"), 0, 300);
    cr_assert(fleet.place(prompt("", 0, 100)).engine->record.id == far.id);
    fleet.load(far.id, 0, 5000);
    fleet.load(TargetId("engine-1"), 0, 5000);
    cr_assert(fleet.place(prompt("", 0, 100)).engine->record.id == TargetId("engine-2"));
}

Test(placement, falls_back_to_failing_engines_only_without_others)
{
    Fleet fleet(2);
    fleet.directory.noteResult(TargetId("engine-0"), AttemptResult::Unreachable, Now);
    cr_assert(fleet.place(prompt("", 0, 100)).engine->record.id == TargetId("engine-1"));
    fleet.directory.noteResult(TargetId("engine-1"), AttemptResult::Replaced, Now);
    cr_assert(fleet.place(prompt("", 0, 100)).engine->record.id == TargetId("engine-0"));
    fleet.directory.noteResult(TargetId("engine-0"), AttemptResult::Replaced, Now);
    cr_assert_null(fleet.place(prompt("", 0, 100)).engine);
}

Test(prefix_cache, drops_least_recently_used_parts_and_those_that_were_not_prefilled)
{
    PrefixCacheIndex cacheIndex;
    const TargetId engine("e");
    const std::vector<fleet::PromptPart> old { { "old", 60 } };
    const std::vector<fleet::PromptPart> fresh { { "fresh", 60 } };
    cacheIndex.notePrefilled(engine, 100, old);
    cacheIndex.notePrefilled(engine, 100, fresh);
    cr_assert_eq(cacheIndex.cachedPrefix(engine, old).readyTokens, 0U);
    cr_assert_eq(cacheIndex.cachedPrefix(engine, fresh).readyTokens, 60U);
    cacheIndex.noteSent(engine, 100, old);
    cr_assert_eq(cacheIndex.cachedPrefix(engine, old).readyTokens, 0U);
    cr_assert_eq(cacheIndex.cachedPrefix(engine, old).expectedTokens, 60U);
    cacheIndex.noteNotPrefilled(engine, old);
    cr_assert_eq(cacheIndex.cachedPrefix(engine, old).expectedTokens, 0U);
    cacheIndex.removeEngine(engine);
    cr_assert_eq(cacheIndex.cachedPrefix(engine, fresh).expectedTokens, 0U);
}

Test(decode_engine, is_one_with_the_least_cache_in_use_that_is_not_excluded)
{
    Fleet fleet(3);
    fleet.directory.noteStarted(TargetId("engine-0"), { 1, {}, 5000 });
    const std::vector<TargetState*> decodeEngines = fleet.directory.usable(Pool, Now);
    cr_assert(chooseDecodeEngine(decodeEngines, { TargetId("engine-1") }, { ZoneId(), 100 }, Now)
                  ->record.id
        == TargetId("engine-2"));
}

Test(load_pattern, short_prompts_stay_in_their_zone_until_its_decode_engine_is_busier)
{
    Fleet fleet(2);
    fleet.directory.find(TargetId("engine-0"))->record.zone = ZoneId("zone-a");
    fleet.directory.find(TargetId("engine-1"))->record.zone = ZoneId("zone-b");
    const std::vector<TargetState*> decodeEngines = fleet.directory.usable(Pool, Now);
    const auto chosen = [&decodeEngines] {
        return chooseDecodeEngine(decodeEngines, {}, { ZoneId("zone-b"), 400 }, Now)->record.id;
    };
    fleet.directory.noteStarted(TargetId("engine-1"), { 1, {}, 400 });
    cr_expect(chosen() == TargetId("engine-1"));
    fleet.directory.noteStarted(TargetId("engine-1"), { 10, {}, 4000 });
    cr_expect(chosen() == TargetId("engine-0"));
}

// Guards against streams that end with their engine because no other one has its software version.
Test(load_pattern, streams_that_may_be_resumed_begin_where_another_engine_has_the_version)
{
    Fleet fleet(3);
    const std::vector<TargetState*> decodeEngines = fleet.directory.usable(Pool, Now);
    for (TargetState* decodeEngine : decodeEngines)
        decodeEngine->record.version = SoftwareVersion("v2");
    decodeEngines[0]->record.version = SoftwareVersion("v1");
    const auto chosen = [&decodeEngines](bool isResumable) {
        return chooseDecodeEngine(decodeEngines, {}, { ZoneId(), 400, isResumable }, Now)
            ->record.id;
    };
    // Light work: two engines are enough for it.
    for (int request = 0; request < 8; ++request) {
        const TargetId id = chosen(true);
        cr_expect(id != TargetId("engine-0"));
        fleet.directory.noteStarted(id, { 1, {}, 400 });
    }
    cr_expect(chosen(false) == TargetId("engine-0"), "Other streams use what is left.");
    // Much work: none is left idle.
    for (const char* id : { "engine-1", "engine-2" })
        fleet.directory.noteStarted(TargetId(id), { 30, {}, 400000 });
    cr_expect(chosen(true) == TargetId("engine-0"));
    // The other engine of the version fails: none has a companion, so that the work decides.
    decodeEngines[1]->avoidUntil = Now + Milliseconds(1000);
    cr_expect(chosen(true) == TargetId("engine-0"));
}

Test(prefix_cache_index, agrees_with_the_lookup_of_each_engine_after_any_sequence_of_changes)
{
    constexpr int Engines = 6;
    constexpr int Parts = 12;
    constexpr uint64_t SmallCapacity = 500;
    const auto part = [](int number) {
        return fleet::PromptPart { "part-" + std::to_string(number), 100 };
    };
    std::mt19937 random(7);
    PrefixCacheIndex cacheIndex;
    for (int step = 0; step < 3000; ++step) {
        const TargetId engine("engine-" + std::to_string(random() % Engines));
        const std::vector<fleet::PromptPart> parts { part(static_cast<int>(random() % Parts)),
            part(static_cast<int>(random() % Parts)) };
        switch (random() % 8) {
        case 0:
            cacheIndex.removeEngine(engine);
            break;
        case 1:
            cacheIndex.noteNotPrefilled(engine, parts);
            break;
        case 2:
        case 3:
            cacheIndex.noteSent(engine, SmallCapacity, parts);
            break;
        default:
            cacheIndex.notePrefilled(engine, SmallCapacity, parts);
            break;
        }
        const PrefixCacheIndex::CachedPrefixes cachedPrefixes = cacheIndex.cachedPrefixes(parts);
        for (int index = 0; index < Engines; ++index) {
            const TargetId each("engine-" + std::to_string(index));
            const PrefixCacheIndex::CachedPrefix alone = cacheIndex.cachedPrefix(each, parts);
            const auto found = cachedPrefixes.find(each.text());
            cr_assert_eq(found == cachedPrefixes.end(), alone.expectedTokens == 0);
            if (found != cachedPrefixes.end())
                cr_assert(found->second.readyTokens == alone.readyTokens
                    && found->second.expectedTokens == alone.expectedTokens);
        }
    }
}

// Guards against organisations over their shares that delay those below, or more urgent priorities.
Test(prompt_placement, prompts_over_their_share_come_last_within_their_priority)
{
    Fleet fleet(1);
    const auto urgencyOf = [&fleet](uint32_t priority, uint32_t tokens, bool isOver) {
        PromptGoal goal { priority, Milliseconds(800), ZoneId() };
        goal.isDividedByShares = true;
        goal.isOverShare = isOver;
        return fleet.place({ "m", tokens, 0, {} }, goal).urgency;
    };
    for (uint32_t priority = 0; priority < 3; ++priority) {
        // Up to 15,000 tokens are prefilled within the objective.
        for (const uint32_t tokens : { 100U, 4000U, 15000U }) {
            cr_expect_gt(urgencyOf(priority, 100, true), urgencyOf(priority, tokens, false));
            if (priority < 2)
                cr_expect_lt(
                    urgencyOf(priority, tokens, true), urgencyOf(priority + 1, 100, false));
        }
    }
}

// Guards against a change for deployments without organisations.
Test(prompt_placement, urgency_is_as_before_where_shares_do_not_divide_the_pool)
{
    Fleet fleet(1);
    const std::array<uint32_t, 3> tokens { 100, 4000, 15000 };
    for (uint32_t priority = 0; priority < 3; ++priority) {
        for (uint32_t sizeClass = 0; sizeClass < tokens.size(); ++sizeClass) {
            const PromptGoal goal { priority, Milliseconds(800), ZoneId() };
            const PromptPlacement placement = fleet.place({ "m", tokens[sizeClass], 0, {} }, goal);
            cr_expect_eq(placement.urgency, priority * 3 + sizeClass);
        }
    }
}

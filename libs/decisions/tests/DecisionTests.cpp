#include "decisions/Decisions.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace citronspoke;
using namespace citronspoke::decisions;

namespace {

Candidate engine(const std::string& name)
{
    Candidate candidate;
    candidate.target = TargetId(name);
    candidate.slots = 4;
    candidate.prefillTokensPerSecond = 10000;
    candidate.decodeStepMs = 10;
    return candidate;
}

RequestProfile work(uint32_t prompt, uint32_t output, int64_t timeLeftMs)
{
    return { WorkClass::Interactive, prompt, output, Milliseconds(timeLeftMs) };
}

std::string chosen(
    RoutingPolicy& policy, const std::vector<Candidate>& candidates, const RequestProfile& profile)
{
    const RoutingDecision decision = chooseTarget(policy, candidates, profile);
    const RouteTo* route = std::get_if<RouteTo>(&decision);
    return route ? candidates[route->candidate].target.text() : "";
}

Candidate arbitraryCandidate(int number)
{
    Candidate candidate = engine("e-" + std::to_string(number));
    candidate.runningPaying = *rc::gen::inRange(0, 10);
    candidate.queuedPaying = *rc::gen::inRange(0, 10);
    candidate.runningTrial = *rc::gen::inRange(0, 10);
    candidate.prefillBacklogTokens = *rc::gen::inRange<uint64_t>(0, 100000);
    candidate.decodeBacklogTokens = *rc::gen::inRange<uint64_t>(0, 10000);
    return candidate;
}

} // namespace

Test(routing, avoids_a_long_prompt_backlog)
{
    RoutingPolicy policy = EstimatedFinish {};
    std::vector<Candidate> engines { engine("e-1"), engine("e-2") };
    engines[0].prefillBacklogTokens = 20000;
    cr_assert_eq(chosen(policy, engines, work(1000, 10, 5000)), "e-2");
    cr_assert_eq(chosen(policy, engines, work(1000, 10, 5000)), "e-2");
}

Test(routing, prefers_a_cached_prefix_until_its_target_is_loaded)
{
    RoutingPolicy policy = EstimatedFinish {};
    std::vector<Candidate> engines { engine("e-1"), engine("e-2") };
    engines[1].cachedPromptTokens = 8000;
    cr_assert_eq(chosen(policy, engines, work(8000, 10, 5000)), "e-2");
    engines[1].prefillBacklogTokens = 30000;
    cr_assert_eq(chosen(policy, engines, work(8000, 10, 5000)), "e-1");
}

Test(routing, refuses_requests_that_would_miss_their_deadline_and_tells_when_to_retry)
{
    RoutingPolicy policy = EstimatedFinish {};
    std::vector<Candidate> engines { engine("e-1") };
    engines[0].prefillBacklogTokens = 50000;
    const std::vector<Candidate> loaded = engines;
    const RoutingDecision busy = chooseTarget(policy, loaded, work(1000, 10, 1000));
    cr_assert(std::get<Refuse>(busy).reason == RefusalReason::NoCapacity);
    cr_assert_gt(std::get<Refuse>(busy).retryAfter.count(), 0);
    const RoutingDecision never = chooseTarget(policy, loaded, work(1000, 1000, 1000));
    cr_assert(std::get<Refuse>(never).reason == RefusalReason::DeadlineTooShort);
}

Test(routing, trial_work_does_not_delay_paying_work)
{
    const bool holds = rc::check("paying estimates ignore trial work", [] {
        const EstimatedFinish policy;
        Candidate candidate = arbitraryCandidate(1);
        const RequestProfile paying
            = work(*rc::gen::inRange(1, 5000), *rc::gen::inRange(1, 500), 1000);
        const double before = estimateFinish(policy, candidate, paying);
        candidate.runningTrial += 5;
        candidate.queuedTrial += 50;
        RC_ASSERT(estimateFinish(policy, candidate, paying) == before);
    });
    cr_assert(holds);
}

Test(routing, chooses_the_candidate_with_the_earliest_estimated_finish)
{
    const bool holds = rc::check("no candidate would finish before the chosen one", [] {
        std::vector<Candidate> engines;
        const int count = *rc::gen::inRange(1, 8);
        engines.reserve(static_cast<size_t>(count));
        for (int number = 0; number < count; ++number)
            engines.push_back(arbitraryCandidate(number));
        RoutingPolicy policy = EstimatedFinish {};
        const RequestProfile profile
            = work(*rc::gen::inRange(1, 5000), *rc::gen::inRange(1, 500), 100000);
        const RoutingDecision decision = chooseTarget(policy, engines, profile);
        const RouteTo* route = std::get_if<RouteTo>(&decision);
        for (const Candidate& candidate : engines) {
            const double finish = estimateFinish(EstimatedFinish {}, candidate, profile);
            RC_ASSERT(!route || route->estimatedFinishMs <= finish);
            RC_ASSERT(route || finish > static_cast<double>(profile.timeLeft.count()));
        }
    });
    cr_assert(holds);
}

Test(retry_budget, keeps_retries_to_its_share)
{
    RetryBudget budget(0.1, 5);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.noteRequest();
        retries += budget.trySpend() ? 1 : 0;
    }
    cr_assert_leq(retries, 5 + 100);
    cr_assert_geq(retries, 100);
}

Test(limiter, admits_up_to_its_share_and_tells_when_to_retry)
{
    Limiter limiter;
    const LimitShare share = divideLimit(10, 60000, 2);
    const SteadyTime now {};
    int admitted = 0;
    while (!limiter.tryAdmit(share, 100, now))
        admitted += 1;
    cr_assert_eq(admitted, 5);
    limiter.noteFinished();
    cr_assert_not(limiter.tryAdmit(share, 100, now).has_value());
    limiter.noteFinished();
    const std::optional<Milliseconds> wait = limiter.tryAdmit(share, 30000, now);
    cr_assert(wait.has_value());
    cr_assert_not(limiter.tryAdmit(share, 30000, now + *wait + Milliseconds(1)).has_value());
}

Test(crash_ledger, quarantines_after_two_crashes_and_does_not_blame_requests_beside_a_suspect)
{
    CrashHistory history;
    const UnixMillis now(1000);
    const std::vector<uint64_t> first { 1, 2, 3 };
    history.noteCrash(100, first, now);
    cr_assert(history.suspicion(2, now) == Suspicion::Suspect);
    history.noteFinished(2);
    cr_assert(history.suspicion(2, now) == Suspicion::None);
    const std::vector<uint64_t> second { 1, 9 };
    history.noteCrash(101, second, now);
    cr_assert(history.suspicion(1, now) == Suspicion::Quarantined);
    cr_assert(history.suspicion(9, now) == Suspicion::None);
}

Test(crash_ledger, quarantines_after_the_configured_number_of_crashes_until_the_record_expires)
{
    CrashHistory history(3);
    const std::vector<uint64_t> running { 1 };
    history.noteCrash(100, running, UnixMillis(1000));
    history.noteCrash(101, running, UnixMillis(1000));
    cr_assert(history.suspicion(1, UnixMillis(1000)) == Suspicion::Suspect);
    history.noteCrash(102, running, UnixMillis(1000));
    cr_assert(history.suspicion(1, UnixMillis(1000)) == Suspicion::Quarantined);
    const UnixMillis after(history.expiryOf(1).value() + 1);
    cr_assert(history.suspicion(1, after) == Suspicion::None);
    const std::vector<uint64_t> other { 2 };
    history.noteCrash(103, other, after);
    cr_assert_eq(history.records(UnixMillis(0)).size(), 1U, "Expired records are dropped.");
}

Test(crash_ledger, merging_the_same_crash_twice_counts_it_once)
{
    CrashHistory history;
    const UnixMillis now(1000);
    const std::vector<uint64_t> running { 1 };
    history.noteCrash(100, running, now);
    for (int repeat = 0; repeat < 3; ++repeat)
        history.merge(1, { { 100 }, UnixMillis(5000) });
    cr_assert(history.suspicion(1, now) == Suspicion::Suspect);
    history.merge(1, { { 200 }, UnixMillis(5000) });
    cr_assert(history.suspicion(1, now) == Suspicion::Quarantined);
}

Test(role_planner, follows_a_demand_shift_with_no_more_changes_than_the_interval_allows)
{
    RolePlanner planner;
    RolePolicy policy;
    policy.changePrice = 0.05;
    std::vector<EngineView> engines;
    engines.reserve(12);
    for (int number = 0; number < 12; ++number) {
        engines.push_back({ TargetId("e-" + std::to_string(number)),
            ZoneId("z-" + std::to_string(number % 3)), EngineRole::Mixed, true });
    }
    SteadyTime now {};
    int changes = 0;
    for (int second = 0; second < 600; ++second) {
        now += std::chrono::seconds(1);
        planner.noteDemand({ 400000, 100 }, now);
        const std::optional<RoleChange> change = planner.plan(policy, engines, now);
        if (!change)
            continue;
        changes += 1;
        for (EngineView& engine : engines) {
            if (engine.target == change->target)
                engine.role = change->role;
        }
    }
    size_t prefill = 0;
    for (const EngineView& engine : engines)
        prefill += engine.role == EngineRole::Prefill ? 1 : 0;
    cr_assert_gt(prefill, 6);
    cr_assert_leq(changes, 600 / 30 + 1);
}

Test(role_planner, plans_no_change_whose_gain_is_below_its_price)
{
    RolePlanner planner;
    RolePolicy policy;
    policy.changePrice = 0.6;
    const std::vector<EngineView> engines { { TargetId("a"), ZoneId("z"), EngineRole::Mixed, true },
        { TargetId("b"), ZoneId("z"), EngineRole::Mixed, true } };
    planner.noteDemand({ 400000, 0 }, SteadyTime {});
    cr_assert_not(planner.plan(policy, engines, SteadyTime {}).has_value());
}

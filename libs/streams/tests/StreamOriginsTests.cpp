#include "streams/Streams.h"

#include <criterion/criterion.h>
#include <random>
#include <rapidcheck.h>

using namespace citronspoke;
using namespace citronspoke::streams;

namespace {

const SteadyTime Start { std::chrono::hours(1) };
constexpr Milliseconds Window { 15000 };

SoftwareVersion version(const std::string& text) { return SoftwareVersion(text); }

OriginRecord record(const std::string& version, const std::string& pool = "llm")
{
    return { SoftwareVersion(version), PoolId(pool) };
}

VersionView view(const std::set<SoftwareVersion>& versions, bool coversWindow, bool isCurrent)
{
    return { versions, coversWindow, isCurrent };
}

TargetContact contact(SteadyTime followedSince, bool isCurrent = true)
{
    return { followedSince, isCurrent };
}

std::vector<EntryId> gateways(size_t count)
{
    std::vector<EntryId> ids;
    for (size_t number = 1; number <= count; ++number)
        ids.emplace_back("gateway-" + std::to_string(number));
    return ids;
}

} // namespace

Test(origins, the_first_note_of_a_stream_counts_until_it_expires)
{
    StreamOrigins origins(10);
    origins.note({ RequestId("a"), record("v1") }, Start);
    origins.note({ RequestId("a"), record("v2") }, Start + Milliseconds(10));
    cr_assert(origins.find(RequestId("a")) == record("v1"));
    cr_assert_not(origins.find(RequestId("b")).has_value());
    origins.expire(Start + Window, Window);
    cr_assert(origins.find(RequestId("a")).has_value());
    origins.expire(Start + Window + Milliseconds(1), Window);
    cr_assert_not(origins.find(RequestId("a")).has_value());
}

Test(origins, their_number_is_bounded_and_the_oldest_go_first)
{
    StreamOrigins origins(3);
    for (const char* attempt : { "a", "b", "c", "d" })
        origins.note({ RequestId(attempt), record("v1") }, Start);
    cr_assert_eq(origins.size(), 3U);
    cr_assert_not(origins.find(RequestId("a")).has_value());
    cr_assert(origins.find(RequestId("d")).has_value());
}

// Guards against a stream whose origin is held where nobody asks for it.
Test(origins, the_gateways_that_are_asked_include_all_holders)
{
    const bool isHeld = rc::check([] {
        const std::vector<EntryId> all = gateways(*rc::gen::inRange<size_t>(2, 40));
        const EntryId& begunAt = all.at(*rc::gen::inRange<size_t>(0, all.size()));
        const EntryId& resumedAt = all.at(*rc::gen::inRange<size_t>(0, all.size()));
        const RequestId attempt("attempt-" + std::to_string(*rc::gen::inRange(0, 100000)));
        std::vector<EntryId> knowing = holdersOf(attempt, all, begunAt, HoldersPerStream);
        RC_ASSERT(std::find(knowing.begin(), knowing.end(), begunAt) == knowing.end());
        // With one gateway gone and another one added since the stream began.
        std::vector<EntryId> later = all;
        std::erase(later, begunAt);
        later.emplace_back("gateway-added");
        if (resumedAt == begunAt)
            return;
        const std::vector<EntryId> asked = holdersOf(attempt, later, resumedAt, QueriedGateways);
        for (const EntryId& holder : knowing)
            RC_ASSERT(holder == resumedAt
                || std::find(asked.begin(), asked.end(), holder) != asked.end());
    });
    cr_assert(isHeld);
}

// Guards against streams that are refused after many gateways were killed at once, as when half of
// the VMs lose power: at least half of the streams must go on.
Test(load_pattern, most_streams_of_killed_gateways_are_known_to_others)
{
    constexpr double KilledShare = 0.6;
    constexpr double LostDatagrams = 0.1;
    constexpr int Streams = 2000;
    std::mt19937_64 random(1);
    std::bernoulli_distribution isLost(LostDatagrams);
    for (const size_t count : { 2, 3, 4, 6, 29, 68, 330 }) {
        const std::vector<EntryId> all = gateways(count);
        const size_t killed
            = std::max<size_t>(1, static_cast<size_t>(KilledShare * static_cast<double>(count)));
        int found = 0;
        for (int number = 0; number < Streams; ++number) {
            std::vector<EntryId> order = all;
            std::shuffle(order.begin(), order.end(), random);
            const std::set<EntryId> alive(
                order.begin() + static_cast<ptrdiff_t>(killed), order.end());
            const RequestId attempt("attempt-" + std::to_string(number));
            // The first gateway that was killed began the stream; the last one is asked to resume
            // it.
            std::set<EntryId> knowing;
            for (const EntryId& holder : holdersOf(attempt, all, order.front(), HoldersPerStream)) {
                if (!isLost(random))
                    knowing.insert(holder);
            }
            std::vector<EntryId> asked = holdersOf(attempt, all, order.back(), QueriedGateways);
            asked.push_back(order.back());
            found += std::any_of(asked.begin(), asked.end(), [&](const EntryId& gateway) {
                return alive.contains(gateway) && knowing.contains(gateway);
            });
        }
        cr_expect_geq(found, Streams / 2, "%zu gateways: %d of %d", count, found, Streams);
    }
}

Test(version_history, versions_count_until_they_were_absent_for_the_window)
{
    VersionHistory history;
    cr_assert_not(history.view(Start, Window, {}).coversWindow);
    history.note({ version("v1"), version("v2") }, Start);
    history.note({ version("v2") }, Start + Milliseconds(1));
    const VersionView both = history.view(Start + Window, Window, contact(Start));
    cr_assert_eq(both.versions.size(), 2U);
    cr_assert(both.coversWindow && both.isCurrent);
    cr_assert(history.isPresent(version("v2")) && !history.isPresent(version("v1")));
    const VersionView one
        = history.view(Start + Window + Milliseconds(1), Window, contact(Start, false));
    cr_assert(one.versions == std::set<SoftwareVersion>({ version("v2") }));
    cr_assert_not(one.isCurrent);
}

// Guards against a gateway that starts after a version has left and takes the other for the only
// one.
Test(version_history, a_recorded_version_counts_for_the_window_after_it_was_read)
{
    VersionHistory history;
    history.noteRecorded({ version("v1"), version("v2") }, Start);
    history.note({ version("v2") }, Start);
    cr_assert_eq(history.view(Start + Window, Window, contact(Start)).versions.size(), 2U);
    history.noteRecorded({ version("v1"), version("v2") }, Start + Milliseconds(500));
    history.note({ version("v2") }, Start + Window + Milliseconds(1));
    cr_assert_eq(
        history.view(Start + Window + Milliseconds(1), Window, contact(Start)).versions.size(), 1U);
}

// Guards against a gateway that takes the versions since its start for those of the whole window.
Test(version_history, a_view_covers_the_window_once_the_targets_were_followed_for_so_long)
{
    VersionHistory history;
    history.noteRecorded({ version("v1") }, Start);
    history.note({ version("v1") }, Start);
    const Milliseconds moment(1);
    cr_assert_not(history.view(Start + Window - moment, Window, contact(Start)).coversWindow);
    cr_assert(history.view(Start + Window, Window, contact(Start)).coversWindow);
    // The keys were read again, and changes before may have been missed.
    cr_assert_not(history.view(Start + Window, Window, contact(Start + moment)).coversWindow);
}

// Guards against streams that are refused where versions do not exist.
Test(version_history, without_versions_the_targets_are_enough)
{
    VersionHistory history;
    history.note({ version("") }, Start);
    cr_assert(history.view(Start, Window, contact(Start)).coversWindow);
    history.noteRecorded({ version("v1") }, Start);
    cr_assert_not(history.view(Start, Window, contact(Start)).coversWindow);
}

// Guards against a version that served for a moment between two looks at the targets.
Test(version_history, a_version_that_was_seen_for_a_moment_counts)
{
    VersionHistory history;
    history.note({ version("v1") }, Start);
    history.noteSeen(version("v2"), Start);
    history.note({ version("v1") }, Start + Milliseconds(1));
    cr_assert_eq(history.view(Start + Window, Window, contact(Start)).versions.size(), 2U);
}

// Guards against a gateway that takes the only version of one pool for that of a stream which may
// have begun in another pool of the route.
Test(version_history, the_view_of_several_pools_has_the_versions_of_all_and_covers_what_all_cover)
{
    const VersionView first = view({ version("v1") }, true, true);
    const VersionView second = view({ version("v2") }, true, true);
    const VersionView both = combine(std::vector { first, second });
    cr_assert(both.versions == std::set({ version("v1"), version("v2") }));
    cr_assert(both.coversWindow && both.isCurrent);
    const VersionView partial = combine(std::vector { first, view({}, false, false) });
    cr_assert(!partial.coversWindow && !partial.isCurrent);
    cr_assert_not(combine({}).coversWindow);
    // No stream has begun in a pool without targets.
    const VersionView unused = VersionHistory().view(Start + Window, Window, contact(Start));
    cr_assert(unused.coversWindow && unused.versions.empty());
}

Test(origin_search, a_record_decides_at_once)
{
    OriginSearch search(view({ version("v1"), version("v2") }, true, true), { 5, 0 });
    search.add({ 1, {}, EntryId("g1"), std::nullopt, {} });
    cr_assert_not(search.isComplete());
    search.add({ 1, {}, EntryId("g2"), record("v2", "other"), {} });
    cr_assert(search.isComplete());
    cr_assert(search.result().basis == Origin::Basis::Record);
    cr_assert(search.result().version == version("v2"));
    cr_assert(search.result().pool == PoolId("other"));
}

// Guards against a guess at the version of a stream that no gateway has a record of.
Test(origin_search, without_a_record_only_the_only_version_counts)
{
    const std::set<SoftwareVersion> one { version("v1") };
    const std::set<SoftwareVersion> two { version("v1"), version("v2") };
    struct Case {
        std::string_view name;
        VersionView own;
        VersionView reply;
        bool hasReplied = true;
        Origin::Basis expected = Origin::Basis::Unknown;
    };
    const std::vector<Case> cases {
        { "one version everywhere", view(one, true, true), view(one, true, true), true,
            Origin::Basis::OnlyVersion },
        { "two versions", view(two, true, true), view(two, true, true), true },
        { "the other gateway knows a second version", view(one, true, true), view(two, true, true),
            true },
        { "this gateway has not read the records yet, the other one has", view(one, false, true),
            view(one, true, true), true, Origin::Basis::OnlyVersion },
        { "no gateway has read the records", view(one, false, true), view(one, false, true), true },
        { "this gateway is cut off from the store and from the others", view(one, true, false), {},
            false },
        { "no gateway reaches the store", view(one, true, false), view(one, true, false), true,
            Origin::Basis::OnlyVersion },
        { "this gateway may be cut off from the other one", view(one, true, true), {}, false },
        { "no target states a version", view({ version("") }, true, true),
            view({ version("") }, true, true), true, Origin::Basis::OnlyVersion },
        { "some targets state no version", view({ version(""), version("v1") }, true, true),
            view({ version(""), version("v1") }, true, true), true },
    };
    for (const Case& item : cases) {
        OriginSearch search(item.own, { 1, 0 });
        if (item.hasReplied)
            search.add({ 1, {}, EntryId("g1"), std::nullopt, item.reply });
        cr_expect(search.result().basis == item.expected, "%s", item.name.data());
    }
}

// Guards against a gateway that was cut off, or stood still, while a version began to serve.
Test(origin_search, a_gateway_without_most_of_the_others_cannot_tell_the_only_version)
{
    const std::set<SoftwareVersion> one { version("v1") };
    const auto basis = [&one](size_t asked, size_t replies) {
        OriginSearch search(view(one, true, true), { asked, 2 });
        for (size_t gateway = 0; gateway < replies; ++gateway)
            search.add({ 1, {}, EntryId("g" + std::to_string(gateway)), std::nullopt,
                view(one, true, false) });
        return search.result().basis;
    };
    for (const auto& [asked, required] :
        std::map<size_t, size_t> { { 1, 1 }, { 2, 2 }, { 5, 3 } }) {
        for (size_t replies = 0; replies <= asked; ++replies)
            cr_expect(basis(asked, replies)
                    == (replies >= required ? Origin::Basis::OnlyVersion : Origin::Basis::Unknown),
                "%zu of %zu", replies, asked);
    }
    cr_expect(basis(0, 0) == Origin::Basis::OnlyVersion, "There is no other gateway.");
}

#include "conditions/Conditions.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using namespace citronspoke;
using namespace citronspoke::conditions;

namespace {

const SteadyTime Start { std::chrono::hours(1) };
constexpr Milliseconds Step { 5 };

SteadyTime at(int milliseconds) { return Start + Milliseconds(milliseconds); }

fleet::TargetRecord engine(size_t number = 0)
{
    fleet::TargetRecord record;
    record.id = TargetId("engine-" + std::to_string(number));
    return record;
}

/** A load pattern: a burst at many gateways, while all engines of a pool state a limit. */
struct Pattern {
    size_t gateways = 0;
    size_t engines = 0;
    /** Of each engine. */
    RequestsPerSecond limit = 0;
    /** Requests for each engine before it states its limit; some gateways get most of them. */
    RequestsPerSecond demand = 0;
    Milliseconds noticeTime { 3000 };
};

/** Simulates the gateways and the engines, which state their limits at 0 s. */
class LimitedFleet {
public:
    explicit LimitedFleet(const Pattern& pattern)
        : m_pattern(pattern)
        , m_gateways(pattern.gateways)
        , m_arrivals(pattern.engines)
    {
        std::vector<EntryId> ids;
        for (size_t index = 0; index < pattern.gateways; ++index)
            ids.emplace_back("edge-" + std::to_string(index));
        for (size_t index = 0; index < pattern.gateways; ++index) {
            m_gateways[index].pacer
                = std::make_unique<RequestPacer>(ids[index], pattern.noticeTime);
            m_gateways[index].pacer->updateGateways(ids, at(-5000));
        }
    }

    void run()
    {
        for (SteadyTime now = at(-5000); now < at(20000); now += Step) {
            receiveResponses(now);
            for (size_t request = 0; request < newRequests(); ++request)
                sendFrom(chooseGateway(), now);
        }
    }

    /** @return the most requests of an engine in a window in which the limit has to be kept. */
    size_t mostInWindow() const
    {
        size_t most = 0;
        for (const Arrivals& arrivals : m_arrivals) {
            for (const SteadyTime end : arrivals) {
                if (end >= Start + m_pattern.noticeTime)
                    most = std::max(most, countOf(arrivals, end - RequestPacer::Window, end));
            }
        }
        return most;
    }

    /** @return requests a second that an engine gets from 8 s on, in the mean. */
    RequestsPerSecond rate() const
    {
        constexpr double Seconds = 12;
        size_t sum = 0;
        for (const Arrivals& arrivals : m_arrivals)
            sum += countOf(arrivals, at(8000), at(20000));
        return static_cast<double>(sum) / static_cast<double>(m_arrivals.size()) / Seconds;
    }

private:
    using Arrivals = std::vector<SteadyTime>;

    static size_t countOf(const Arrivals& arrivals, SteadyTime after, SteadyTime upTo)
    {
        return static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(),
            [after, upTo](SteadyTime arrival) { return arrival > after && arrival <= upTo; }));
    }

    struct Gateway {
        std::unique_ptr<RequestPacer> pacer;
        StatedLimits limits;
    };
    struct Response {
        size_t gateway = 0;
        size_t engine = 0;
        SteadyTime sentAt;
        std::optional<RequestsPerSecond> limit;
    };

    size_t newRequests()
    {
        std::poisson_distribution<size_t> count(m_pattern.demand
            * static_cast<double>(m_pattern.engines) * std::chrono::duration<double>(Step).count());
        return count(m_random);
    }

    /** Half of the gateways get most requests. */
    size_t chooseGateway()
    {
        const size_t first = m_random() % m_gateways.size();
        const size_t second = m_random() % m_gateways.size();
        return std::min(first, second);
    }

    /** Sends a request to an engine that takes one now; drops it when there is none. */
    void sendFrom(size_t index, SteadyTime now)
    {
        Gateway& gateway = m_gateways[index];
        const size_t first = m_random() % m_pattern.engines;
        for (size_t step = 0; step < m_pattern.engines; ++step) {
            const size_t number = (first + step) % m_pattern.engines;
            const fleet::TargetRecord record = engine(number);
            if (gateway.pacer->nextTurn(record.id, gateway.limits.limit(record), now) != now)
                continue;
            gateway.pacer->book(record.id, now);
            m_arrivals[number].push_back(now);
            addResponse(index, number, now);
            return;
        }
    }

    void addResponse(size_t gateway, size_t number, SteadyTime now)
    {
        const Milliseconds latency(20 + static_cast<int>(m_random() % 300));
        std::optional<RequestsPerSecond> limit;
        if (now + latency / 2 >= Start)
            limit = m_pattern.limit;
        m_responses.emplace(now + latency, Response { gateway, number, now, limit });
    }

    void receiveResponses(SteadyTime now)
    {
        while (!m_responses.empty() && m_responses.begin()->first <= now) {
            const Response response = m_responses.begin()->second;
            m_responses.erase(m_responses.begin());
            Gateway& gateway = m_gateways[response.gateway];
            if (gateway.limits.noteResponse(
                    engine(response.engine), response.limit, response.sentAt, now))
                report(gateway, now);
        }
    }

    /** One report in ten is lost. */
    void report(Gateway& sender, SteadyTime now)
    {
        for (const LimitReport& report : sender.limits.takeReports(now)) {
            for (Gateway& gateway : m_gateways) {
                if (&gateway != &sender && m_random() % 10 != 0)
                    gateway.limits.merge(report, now);
            }
        }
    }

    Pattern m_pattern;
    std::vector<Gateway> m_gateways;
    /** Times of the requests of each engine. */
    std::vector<Arrivals> m_arrivals;
    std::multimap<SteadyTime, Response> m_responses;
    std::mt19937_64 m_random { 22 };
};

} // namespace

// Guards against incident inc1: the requests of all gateways together exceeded an engine's limit.
Test(load_pattern, a_limit_is_kept_and_used_by_all_gateways_together)
{
    const std::vector<Pattern> patterns {
        { 1, 2, 3, 40 },
        { 4, 2, 4.4, 13 },
        { 6, 2, 4.4, 13 },
        { 6, 3, 40, 110 },
        { 6, 12, 1.2, 4 },
        { 24, 8, 9.7, 60, Milliseconds(4000) },
        { 68, 24, 4.4, 13, Milliseconds(5000) },
        { 68, 5, 30, 100, Milliseconds(5000) },
        { 330, 120, 4.4, 13, Milliseconds(5000) },
    };
    for (const Pattern& pattern : patterns) {
        LimitedFleet fleet(pattern);
        fleet.run();
        const double windowS = std::chrono::duration<double>(RequestPacer::Window).count();
        const size_t allowed = static_cast<size_t>(1.5 * pattern.limit * windowS + 5);
        const std::string name = std::to_string(pattern.gateways) + " gateways, "
            + std::to_string(pattern.engines) + " engines, a limit of "
            + std::to_string(pattern.limit);
        cr_expect_leq(fleet.mostInWindow(), allowed, "%s: %zu", name.c_str(), fleet.mostInWindow());
        cr_expect_geq(
            fleet.rate(), 0.5 * pattern.limit, "%s: %.2f a second", name.c_str(), fleet.rate());
    }
}

// Guards against a store that loses the announcements of all gateways: each then seemed to be the
// only one and took the whole limit.
Test(load_pattern, a_share_does_not_grow_while_announcements_are_lost)
{
    const std::vector<EntryId> gateways { EntryId("edge-1"), EntryId("edge-2"), EntryId("edge-3") };
    RequestPacer pacer(gateways[0], Milliseconds(3000));
    pacer.updateGateways(gateways, at(0));
    const StatedLimits::Limit limit { 3, at(0) };
    const TargetId target("engine");
    pacer.book(target, at(1000));
    cr_assert(pacer.nextTurn(target, limit, at(1000)) == at(2000));
    pacer.updateGateways({}, at(1000));
    cr_assert(pacer.nextTurn(target, limit, at(1000)) == at(2000));
    pacer.updateGateways(std::span(gateways).first(1), at(3000));
    pacer.expire(at(3000));
    cr_assert(pacer.nextTurn(target, limit, at(1000)) == at(2000));
    // They announce themselves again within seconds if they are running.
    pacer.expire(at(20000));
    pacer.book(target, at(20000));
    cr_assert_leq(pacer.nextTurn(target, limit, at(20000))->time_since_epoch().count(),
        at(20334).time_since_epoch().count());
}

Test(request_pacer, a_limit_of_zero_gets_a_request_now_and_then)
{
    RequestPacer pacer(EntryId("edge-1"), Milliseconds(3000));
    const StatedLimits::Limit limit { 0, at(0) };
    const TargetId target("engine");
    cr_assert(pacer.nextTurn(target, limit, at(0)) == at(0));
    pacer.book(target, at(0));
    cr_assert(pacer.nextTurn(target, limit, at(10)) == at(4000));
}

Test(request_pacer, expiry_changes_no_turn)
{
    for (const double rate : { 0.0, 0.25, 0.5, 4.4 }) {
        const StatedLimits::Limit limit { rate, at(0) };
        const TargetId target("engine");
        for (int now = 0; now < 12000; now += 100) {
            RequestPacer pacer(EntryId("edge-1"), Milliseconds(3000));
            pacer.book(target, at(0));
            const std::optional<SteadyTime> turn = pacer.nextTurn(target, limit, at(now));
            pacer.expire(at(now));
            cr_assert(pacer.nextTurn(target, limit, at(now)) == turn);
        }
    }
}

Test(request_pacer, a_very_high_limit_does_not_delay_requests)
{
    RequestPacer pacer(EntryId("edge-1"), Milliseconds(3000));
    const TargetId target("engine");
    const StatedLimits::Limit limit { 1e300, at(0) };
    for (int request = 0; request < 100; ++request)
        pacer.book(target, at(100));
    cr_assert(pacer.nextTurn(target, limit, at(100)) == at(100));
}

Test(request_pacer, turns_are_booked_one_after_another_and_can_be_cancelled)
{
    RequestPacer pacer(EntryId("edge-1"), Milliseconds(3000));
    const StatedLimits::Limit limit { 2, at(0) };
    const TargetId target("engine");
    pacer.book(target, at(0));
    cr_assert(pacer.nextTurn(target, limit, at(100)) == at(500));
    pacer.book(target, at(500));
    cr_assert(pacer.nextTurn(target, limit, at(100)) == at(1000));
    pacer.cancel(target, at(500));
    cr_assert(pacer.nextTurn(target, limit, at(100)) == at(500));
    cr_assert(pacer.nextTurn(target, std::nullopt, at(100)) == at(100));
}

Test(request_pacer, what_was_sent_before_the_limit_was_stated_counts_while_it_is_in_the_window)
{
    RequestPacer pacer(EntryId("edge-1"), Milliseconds(3000));
    const TargetId target("engine");
    // Leave every window that ends at 3 s or later.
    for (int request = 0; request < 40; ++request)
        pacer.book(target, at(-3000 + request * 50));
    const StatedLimits::Limit limit { 2, at(0) };
    cr_assert(pacer.nextTurn(target, limit, at(0)) == at(0));
    for (int request = 0; request < 40; ++request)
        pacer.book(target, at(-1000 + request * 25));
    cr_assert_gt(pacer.nextTurn(target, limit, at(0))->time_since_epoch(),
        at(3000).time_since_epoch(), "the target has got more than a window's worth");
}

Test(stated_limits, are_merged_by_the_time_of_the_response_that_states_them)
{
    StatedLimits first;
    StatedLimits second;
    first.noteResponse(engine(), 4.5, at(0), at(100));
    const std::vector<LimitReport> begun = first.takeReports(at(150));
    cr_assert(first.takeReports(at(160)).empty());
    cr_assert_eq(first.takeReports(at(2200)).size(), 1U, "the first report may be lost");
    cr_assert(second.merge(begun.at(0), at(160)));
    cr_assert(second.limit(engine())->requestsPerSecond == 4.5);
    cr_assert(second.noteResponse(engine(), std::nullopt, at(200), at(300)));
    const std::vector<LimitReport> ended = second.takeReports(at(300));
    cr_assert_eq(ended.size(), 1U);
    cr_assert_not(second.merge(begun.at(0), at(310)), "older than the end of the limit");
    cr_assert(first.merge(ended.at(0), at(310)));
    cr_assert_not(first.limit(engine()).has_value());
}

Test(stated_limits, that_leave_requests_unserved_are_known_to_all_gateways)
{
    StatedLimits first;
    StatedLimits second;
    first.noteResponse(engine(), 4.5, at(0), at(100));
    second.noteResponse(engine(), 4.5, at(100), at(200));
    second.takeReports(at(200));
    first.noteShortage(engine());
    // The report is older than what the second gateway knows.
    second.merge(first.takeReports(at(210)).at(0), at(210));
    cr_assert(second.limit(engine())->isShort);
    second.noteResponse(engine(), 4.4, at(210), at(300));
    cr_assert(second.limit(engine())->isShort);
    second.noteResponse(engine(), std::nullopt, at(310), at(400));
    second.noteResponse(engine(), 4.4, at(410), at(500));
    cr_assert_not(second.limit(engine())->isShort, "a new limit");
}

Test(stated_limits, that_nobody_confirms_expire)
{
    StatedLimits limits;
    limits.noteResponse(engine(), 4.5, at(0), at(100));
    cr_assert(limits.expire(at(20000)).empty());
    cr_assert(limits.limit(engine()).has_value());
    cr_assert(limits.expire(at(40000)) == std::vector<TargetId> { engine().id });
    cr_assert_not(limits.limit(engine()).has_value());
}

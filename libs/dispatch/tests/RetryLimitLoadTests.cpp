#include "dispatch/Dispatch.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

const PoolId Pool("pool");
const SteadyTime Start { std::chrono::hours(1) };

constexpr size_t Gateways = 27;
constexpr Milliseconds Length { 40000 };
constexpr Milliseconds Step { 10 };
constexpr int RequestsPerSecond = 300;
constexpr Milliseconds Window { 10000 };
const RetryBudget::Limits Limits { 0.2, 94, Window };

/** A span of time since the start of a run. */
struct Span {
    Milliseconds from;
    Milliseconds to;

    bool contains(Milliseconds time) const { return time >= from && time < to; }
};

/** Processes that end, are absent for a while and start again without memory. */
struct Outage {
    Span absence;
    size_t firstGateway;
    size_t gateways;

    bool includes(size_t gateway) const
    {
        return gateway >= firstGateway && gateway < firstGateway + gateways;
    }
};

struct Disruption {
    /** Requests of this span are retried while the budget allows it. */
    Span failures;
    std::vector<Outage> outages;
    /** Callers of an absent gateway use the other ones. */
    bool areCallersMoved = false;
};

/** Requests and retries of all gateways in each step of a run. */
struct Counts {
    std::vector<double> requests;
    std::vector<double> retries;
};

/** Gateways that make every retry that their budgets allow. */
class Fleet {
public:
    explicit Fleet(const Disruption& disruption)
        : m_disruption(disruption)
    {
        for (size_t gateway = 0; gateway < Gateways; ++gateway)
            m_budgets.push_back(makeBudget(Start - Window));
    }

    Counts play()
    {
        Counts counts;
        for (Milliseconds time { 0 }; time < Length; time += Step) {
            restart(time);
            m_requests = 0;
            m_retries = 0;
            constexpr int64_t StepsPerSecond = std::chrono::seconds(1) / Step;
            for (int request = 0; request < RequestsPerSecond / StepsPerSecond; ++request)
                receive(time);
            counts.requests.push_back(m_requests);
            counts.retries.push_back(m_retries);
        }
        return counts;
    }

private:
    static RetryBudget makeBudget(SteadyTime start)
    {
        RetryBudget budget(Limits, start);
        budget.updateEntries(Gateways);
        return budget;
    }

    bool isAbsent(size_t gateway, Milliseconds time) const
    {
        return std::any_of(m_disruption.outages.begin(), m_disruption.outages.end(),
            [gateway, time](const Outage& outage) {
                return outage.includes(gateway) && outage.absence.contains(time);
            });
    }

    void restart(Milliseconds time)
    {
        for (const Outage& outage : m_disruption.outages) {
            for (size_t gateway = 0; gateway < Gateways; ++gateway) {
                if (time == outage.absence.to && outage.includes(gateway))
                    m_budgets[gateway] = makeBudget(Start + time);
            }
        }
    }

    void receive(Milliseconds time)
    {
        m_nextGateway = (m_nextGateway + 1) % Gateways;
        size_t gateway = m_nextGateway;
        for (size_t moves = 0; m_disruption.areCallersMoved && isAbsent(gateway, time); ++moves) {
            if (moves == Gateways)
                return;
            gateway = (gateway + 1) % Gateways;
        }
        m_requests += 1;
        if (isAbsent(gateway, time))
            return;
        RetryBudget& budget = m_budgets[gateway];
        budget.noteRequest(Pool, Start + time);
        while (m_disruption.failures.contains(time) && budget.trySpend(Pool, 1, Start + time))
            m_retries += 1;
    }

    Disruption m_disruption;
    std::vector<RetryBudget> m_budgets;
    size_t m_nextGateway = 0;
    double m_requests = 0;
    double m_retries = 0;
};

double sum(const std::vector<double>& counts, ptrdiff_t begin, ptrdiff_t end)
{
    double total = 0;
    for (ptrdiff_t step = std::max<ptrdiff_t>(0, begin); step < end; ++step)
        total += counts[static_cast<size_t>(step)];
    return total;
}

/**
 * @return the largest ratio, over all windows, of the retries in a window to those allowed. The
 *         requests are those of the window, of the one before or of the one half a window before.
 */
double worstUse(const Disruption& disruption)
{
    const Counts counts = Fleet(disruption).play();
    constexpr ptrdiff_t Steps = Window / Step;
    double worst = 0;
    for (ptrdiff_t begin = 0; begin + Steps <= static_cast<ptrdiff_t>(counts.requests.size());
         ++begin) {
        const double retries = sum(counts.retries, begin, begin + Steps);
        const double requests = std::max({ sum(counts.requests, begin, begin + Steps),
            sum(counts.requests, begin - Steps, begin),
            sum(counts.requests, begin - Steps / 2, begin + Steps / 2) });
        worst = std::max(worst, retries / (Limits.share * requests + Limits.fixedPart));
    }
    return worst;
}

constexpr Milliseconds operator""_ms(unsigned long long milliseconds)
{
    return Milliseconds(milliseconds);
}

void assertKept(const Disruption& disruption)
{
    const double use = worstUse(disruption);
    cr_assert_leq(use, 1, "%.2f of the allowed retries", use);
}

} // namespace

// Guards against a fleet that makes more retries than allowed because restarted processes have
// forgotten those of the processes before.

Test(retry_limit, kept_without_a_restart) { assertKept({ { 12000_ms, 28000_ms }, {} }); }

Test(retry_limit, kept_when_all_gateways_restart_while_targets_fail)
{
    assertKept({ { 12000_ms, 28000_ms }, { { { 14000_ms, 14500_ms }, 0, Gateways } } });
}

Test(retry_limit, kept_when_gateways_restart_just_after_targets_begin_to_fail)
{
    assertKept({ { 9900_ms, 26000_ms }, { { { 10000_ms, 12000_ms }, 0, Gateways } } });
}

Test(retry_limit, kept_when_gateways_restart_again_and_again)
{
    Disruption disruption { { 9000_ms, 35000_ms }, {} };
    for (Milliseconds time { 10000 }; time < Length; time += 5000_ms)
        disruption.outages.push_back({ { time, time + 1000_ms }, 0, Gateways });
    assertKept(disruption);
}

Test(retry_limit, kept_when_callers_of_ended_gateways_use_the_others)
{
    constexpr size_t Ended = Gateways * 2 / 3;
    assertKept({ { 13000_ms, 30000_ms }, { { { 14000_ms, 20000_ms }, 0, Ended } }, true });
}

Test(retry_limit, kept_when_gateways_are_released_one_after_the_other)
{
    Disruption disruption { { 9500_ms, 30000_ms }, {}, true };
    for (size_t gateway = 0; gateway < Gateways; ++gateway) {
        const Milliseconds time = 10000_ms + 200_ms * gateway;
        disruption.outages.push_back({ { time, time + 50_ms }, gateway, 1 });
    }
    assertKept(disruption);
}

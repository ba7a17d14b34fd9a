#include "LoadSimulation.h"

#include <cmath>
#include <numeric>
#include <utility>

namespace citronspoke::balance {

namespace {

    constexpr double MeanWork = 40;
    constexpr double ReportTimeoutMs = 2000;
    constexpr double WarmUpPart = 0.2;

    SteadyTime steady(double ms)
    {
        return SteadyTime { std::chrono::hours(1) } + Milliseconds(static_cast<int64_t>(ms));
    }

} // namespace

LoadSimulation::LoadSimulation(const Scenario& scenario, Rule rule)
    : m_scenario(scenario)
    , m_rule(rule)
    , m_measured(scenario.engines)
    , m_queues(scenario.engines)
    , m_freeAt(scenario.engines)
    , m_emptySince(scenario.engines, 0)
    , m_overSince(scenario.engines, -1)
    , m_own(scenario.gateways, std::vector<double>(scenario.engines))
    , m_reported(m_own)
    , m_reportedSum(scenario.engines)
    , m_reportedAt(scenario.gateways)
    , m_meters(scenario.gateways)
{
    constexpr std::array Speeds { 0.65, 1.0, 1.35 };
    constexpr double SlowDivisor = 6;
    for (size_t engine = 0; engine < scenario.engines; ++engine)
        m_speeds.push_back(Speeds[engine % Speeds.size()]);
    if (scenario.pattern == Pattern::SlowEngine)
        m_speeds.back() /= SlowDivisor;
    m_totalSpeed = std::accumulate(m_speeds.begin(), m_speeds.end(), 0.0);
    for (size_t gateway = 0; gateway < scenario.gateways; ++gateway)
        m_due.emplace(uniform() * scenario.ageMs, Event::Report, gateway);
}

Outcome LoadSimulation::run()
{
    scheduleArrival();
    while (!m_due.empty()) {
        const auto [at, event, index] = m_due.top();
        m_due.pop();
        if (at > m_scenario.durationMs)
            break;
        m_now = at;
        switch (event) {
        case Event::Arrival:
            arrive(index,
                m_scenario.pattern == Pattern::EqualRequests
                    ? MeanWork
                    : std::exponential_distribution<double>(1 / MeanWork)(m_random));
            if (m_scenario.pattern != Pattern::EqualRequests || index == 0)
                scheduleArrival();
            break;
        case Event::Finish:
            finish(index);
            break;
        case Event::Report:
            report(index);
            break;
        }
    }
    std::sort(m_waits.begin(), m_waits.end());
    const double sum = std::accumulate(m_waits.begin(), m_waits.end(), 0.0);
    return { sum / static_cast<double>(m_waits.size()), m_waits[m_waits.size() * 99 / 100],
        m_longestUnevenMs };
}

void LoadSimulation::scheduleBurst()
{
    constexpr double IntervalMs = 1000;
    const double begin = (std::floor(m_now / IntervalMs) + 1) * IntervalMs;
    const double length = std::min(m_scenario.ageMs, IntervalMs / 2);
    // The first gateway's request comes last in time, and schedules the next burst.
    for (size_t gateway = 1; gateway < m_scenario.gateways; ++gateway)
        m_due.emplace(begin + uniform() * length, Event::Arrival, gateway);
    m_due.emplace(begin + length, Event::Arrival, 0);
}

void LoadSimulation::scheduleArrival()
{
    if (m_scenario.pattern == Pattern::EqualRequests) {
        scheduleBurst();
        return;
    }
    constexpr double LoadBeforeStep = 0.5;
    double rate = m_scenario.load * m_totalSpeed / MeanWork;
    if (m_scenario.pattern == Pattern::LoadStep && m_now < m_scenario.durationMs / 2)
        rate *= LoadBeforeStep;
    size_t gateway = m_random() % m_scenario.gateways;
    while (hasEnded(gateway))
        gateway = m_random() % m_scenario.gateways;
    m_due.emplace(
        m_now + std::exponential_distribution<double>(rate)(m_random), Event::Arrival, gateway);
}

void LoadSimulation::arrive(size_t gateway, double work)
{
    const size_t engine = choose(gateway);
    m_meters[gateway].note(MeanWork, steady(m_now));
    const bool counts = m_scenario.pattern == Pattern::JustStarted
        ? m_now < 2 * m_scenario.ageMs
        : m_now > WarmUpPart * m_scenario.durationMs;
    if (counts)
        m_waits.push_back(std::max(0.0, m_freeAt[engine] - m_now));
    m_freeAt[engine] = std::max(m_freeAt[engine], m_now) + work / m_speeds[engine];
    m_own[gateway][engine] += work;
    m_jobs += 1;
    m_queues[engine].push_back({ gateway, work, m_now });
    m_emptySince[engine] = -1;
    if (m_queues[engine].size() == 1)
        m_due.emplace(m_freeAt[engine], Event::Finish, engine);
    checkEvenness();
}

void LoadSimulation::finish(size_t engine)
{
    const Job job = m_queues[engine].front();
    m_queues[engine].pop_front();
    m_jobs -= 1;
    double& own = m_own[job.gateway][engine];
    own = std::max(0.0, own - job.work);
    if (own < 1e-9)
        own = 0;
    if (m_scenario.pattern == Pattern::SlowEngine)
        m_measured[engine].note(m_speeds[engine], steady(m_now));
    if (m_queues[engine].empty())
        m_emptySince[engine] = m_now;
    else
        m_due.emplace(
            m_now + m_queues[engine].front().work / m_speeds[engine], Event::Finish, engine);
    checkEvenness();
}

// Looking at every tenth change is enough for the times of interest, and for the run time.
void LoadSimulation::checkEvenness()
{
    constexpr size_t CheckEvery = 10;
    if (m_scenario.engines > CheckEvery && m_random() % CheckEvery != 0)
        return;
    const double limit = 2 * static_cast<double>(m_jobs) / static_cast<double>(m_scenario.engines);
    double empty = -1;
    for (size_t engine = 0; engine < m_scenario.engines; ++engine) {
        if (m_emptySince[engine] >= 0 && isUp(engine))
            empty = empty < 0 ? m_emptySince[engine] : std::min(empty, m_emptySince[engine]);
        if (static_cast<double>(m_queues[engine].size()) <= limit)
            m_overSince[engine] = -1;
        else if (m_overSince[engine] < 0)
            m_overSince[engine] = m_now;
    }
    if (empty < 0 || m_now < WarmUpPart * m_scenario.durationMs)
        return;
    for (const double over : m_overSince) {
        if (over >= 0)
            m_longestUnevenMs = std::max(m_longestUnevenMs, m_now - std::max(over, empty));
    }
}

void LoadSimulation::report(size_t gateway)
{
    m_due.emplace(m_now + m_scenario.ageMs, Event::Report, gateway);
    dropEnded();
    const bool isMissing = m_scenario.pattern == Pattern::ReportsMissing && m_random() % 3 == 0;
    if (isMissing || hasEnded(gateway))
        return;
    for (size_t engine = 0; engine < m_scenario.engines; ++engine)
        m_reportedSum[engine] += m_own[gateway][engine] - m_reported[gateway][engine];
    m_reported[gateway] = m_own[gateway];
    m_reportedAtSum += m_now - m_reportedAt[gateway];
    m_reportedAt[gateway] = m_now;
}

void LoadSimulation::dropEnded()
{
    if (m_isEndedDropped || m_scenario.pattern != Pattern::GatewaysGone
        || m_now < m_scenario.durationMs / 2 + ReportTimeoutMs)
        return;
    m_isEndedDropped = true;
    for (size_t gateway = 0; gateway < m_scenario.gateways; ++gateway) {
        if (!hasEnded(gateway))
            continue;
        for (size_t engine = 0; engine < m_scenario.engines; ++engine)
            m_reportedSum[engine] -= std::exchange(m_reported[gateway][engine], 0);
    }
}

bool LoadSimulation::isUp(size_t engine) const
{
    return engine != 0 || m_scenario.pattern != Pattern::EngineReturns
        || m_now > m_scenario.durationMs / 2;
}

bool LoadSimulation::hasEnded(size_t gateway) const
{
    return m_scenario.pattern == Pattern::GatewaysGone && gateway % 3 == 2
        && m_now >= m_scenario.durationMs / 2;
}

double LoadSimulation::believedSpeed(size_t engine) const
{
    return m_scenario.pattern == Pattern::SlowEngine ? m_measured[engine].estimate(1)
                                                     : m_speeds[engine];
}

double LoadSimulation::peersWork(size_t gateway, size_t engine) const
{
    return std::max(0.0, m_reportedSum[engine] - m_reported[gateway][engine]);
}

double LoadSimulation::seenWork(size_t gateway, size_t engine) const
{
    return peersWork(gateway, engine) + m_own[gateway][engine];
}

double LoadSimulation::seenFinish(size_t gateway, size_t engine) const
{
    return (seenWork(gateway, engine) + MeanWork) / believedSpeed(engine);
}

double LoadSimulation::meanAge(size_t gateway) const
{
    if (m_scenario.gateways < 2)
        return 0;
    double sum = m_reportedAtSum - m_reportedAt[gateway];
    double others = static_cast<double>(m_scenario.gateways - 1);
    for (size_t other = 0; m_isEndedDropped && other < m_scenario.gateways; ++other) {
        sum -= hasEnded(other) ? m_reportedAt[other] : 0;
        others -= hasEnded(other) ? 1 : 0;
    }
    return m_now - sum / others;
}

template <typename Cost> size_t LoadSimulation::least(Cost cost)
{
    const size_t first = m_random() % m_scenario.engines;
    size_t best = m_scenario.engines;
    double bestCost = 0;
    for (size_t step = 0; step < m_scenario.engines; ++step) {
        const size_t engine = (first + step) % m_scenario.engines;
        if (!isUp(engine))
            continue;
        const double each = cost(engine);
        if (best == m_scenario.engines || each < bestCost) {
            best = engine;
            bestCost = each;
        }
    }
    return best;
}

size_t LoadSimulation::drawOf(size_t gateway, size_t draws)
{
    size_t best = m_scenario.engines;
    while (draws > 0) {
        const size_t engine = m_random() % m_scenario.engines;
        if (!isUp(engine))
            continue;
        draws -= 1;
        if (best == m_scenario.engines || seenFinish(gateway, engine) < seenFinish(gateway, best))
            best = engine;
    }
    return best;
}

size_t LoadSimulation::choose(size_t gateway)
{
    switch (m_rule) {
    case Rule::Random:
        return drawOf(gateway, 1);
    case Rule::LeastReported:
        return least([&](size_t engine) { return seenWork(gateway, engine); });
    case Rule::LeastFinish:
        return least([&](size_t engine) { return seenFinish(gateway, engine); });
    case Rule::BetterOfTwo:
        return drawOf(gateway, 2);
    case Rule::BestOfFour:
        return drawOf(gateway, 4);
    case Rule::OwnForAll:
        return least([&](size_t engine) {
            const double added = m_own[gateway][engine] - m_reported[gateway][engine];
            const double others = static_cast<double>(m_scenario.gateways - 1);
            return (seenWork(gateway, engine) + std::max(0.0, added) * others + MeanWork)
                / believedSpeed(engine);
        });
    case Rule::WaterFilling:
        return pageWaterFilling(gateway);
    case Rule::EvenLoad:
        return evenLoad(gateway);
    case Rule::CompleteKnowledge:
        break;
    }
    return least([&](size_t engine) {
        return std::max(0.0, m_freeAt[engine] - m_now) + MeanWork / m_speeds[engine];
    });
}

size_t LoadSimulation::pageWaterFilling(size_t gateway)
{
    m_candidates.clear();
    for (size_t engine = 0; engine < m_scenario.engines; ++engine)
        m_candidates.push_back(
            { isUp(engine) ? seenFinish(gateway, engine) : 1e9, 0, believedSpeed(engine), 0, 0 });
    const double work = m_scenario.load * m_totalSpeed * m_scenario.ageMs / 2;
    const double level = fillLevel(m_candidates, work);
    double total = 0;
    const auto capacity
        = [&](const Candidate& each) { return each.speed * std::max(0.0, level - each.finishMs); };
    for (const Candidate& each : m_candidates)
        total += capacity(each);
    double rest = uniform() * total;
    for (size_t engine = 0; engine < m_scenario.engines; ++engine) {
        rest -= capacity(m_candidates[engine]);
        if (rest < 0)
            return engine;
    }
    return least([&](size_t engine) { return seenFinish(gateway, engine); });
}

size_t LoadSimulation::evenLoad(size_t gateway)
{
    const double age = meanAge(gateway);
    // The list of gateways is as old as the loads of those that ended.
    size_t gateways = m_scenario.gateways;
    size_t position = gateway;
    for (size_t other = 0; m_isEndedDropped && other < m_scenario.gateways; ++other) {
        gateways -= hasEnded(other) ? 1 : 0;
        position -= hasEnded(other) && other < gateway ? 1 : 0;
    }
    const size_t firstUp = isUp(0) ? 0 : 1;
    m_candidates.clear();
    for (size_t engine = firstUp; engine < m_scenario.engines; ++engine) {
        const double seen = seenWork(gateway, engine);
        m_candidates.push_back({ seenFinish(gateway, engine), 0, believedSpeed(engine), age,
            seen > 0 ? peersWork(gateway, engine) / seen : 0,
            isHomeOf(position, gateways, engine - firstUp, m_scenario.engines - firstUp) });
    }
    const Arrivals arrivals = arrivalsOfOthers(
        m_candidates, m_meters[gateway], static_cast<uint32_t>(gateways), steady(m_now));
    return firstUp + chooseEngine(m_candidates, arrivals, uniform());
}

} // namespace citronspoke::balance

#include "balance/Balance.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace citronspoke::balance {

namespace {

    /** Reports older than the mean age also exist; work that arrives within twice the mean age
     * gave the lowest wait at all ages in libs/balance/tests. */
    constexpr double AgesCovered = 2;
    /** Arrivals are random: so many standard deviations above the mean are covered. */
    constexpr double DeviationsCovered = 3;

    /** Earliest expected finish of each candidate once the unreported work is distributed. */
    double leastCost(std::span<const Candidate> candidates, double level)
    {
        double least = std::numeric_limits<double>::max();
        for (const Candidate& candidate : candidates)
            least = std::min(least, std::max(candidate.finishMs, level) + candidate.extraMs);
        return least;
    }

    double freeCapacity(const Candidate& candidate, double cost)
    {
        return candidate.speed * std::max(0.0, cost - candidate.finishMs - candidate.extraMs);
    }

    /** @return the mean expected finish by capacity: what a request sent at random would get. */
    double meanFinish(std::span<const Candidate> candidates)
    {
        double sum = 0;
        double speed = 0;
        for (const Candidate& candidate : candidates) {
            sum += candidate.speed * candidate.finishMs;
            speed += candidate.speed;
        }
        return speed > 0 ? sum / speed : 0;
    }

    /** @return the best home engine; candidates.size() when there is none. */
    size_t bestHome(std::span<const Candidate> candidates)
    {
        size_t best = candidates.size();
        double leastCost = 0;
        for (size_t index = 0; index < candidates.size(); ++index) {
            const double cost = candidates[index].finishMs + candidates[index].extraMs;
            if (candidates[index].isHome && (best == candidates.size() || cost < leastCost)) {
                best = index;
                leastCost = cost;
            }
        }
        return best;
    }

    /** Starts at a random candidate, so that gateways choose different ones among equals. */
    size_t bestCandidate(std::span<const Candidate> candidates, double draw)
    {
        const size_t count = candidates.size();
        const size_t first = std::min(count - 1, static_cast<size_t>(draw * double(count)));
        size_t best = first;
        const auto cost
            = [&](size_t index) { return candidates[index].finishMs + candidates[index].extraMs; };
        for (size_t step = 1; step < count; ++step) {
            const size_t index = first + step < count ? first + step : first + step - count;
            if (cost(index) < cost(best))
                best = index;
        }
        return best;
    }

} // namespace

double workPerMsOfBusy(std::span<const Candidate> candidates)
{
    double speed = 0;
    for (const Candidate& candidate : candidates)
        speed += candidate.speed * candidate.othersPart;
    return speed;
}

Arrivals arrivalsOfOthers(const ArrivalMeter& own, uint32_t gateways, SteadyTime now)
{
    const double others = gateways > 0 ? gateways - 1 : 0;
    return { others * own.workPerMs(now), own.requestMs() };
}

Arrivals arrivalsOfOthers(std::span<const Candidate> candidates, const ArrivalMeter& own,
    uint32_t gateways, SteadyTime now)
{
    double capacity = 0;
    for (const Candidate& candidate : candidates)
        capacity += candidate.speed;
    Arrivals arrivals = arrivalsOfOthers(own, gateways, now);
    // One gateway's requests are few, so the estimate from them varies much.
    arrivals.workPerMs
        = std::max(workPerMsOfBusy(candidates), std::min(arrivals.workPerMs, capacity));
    return arrivals;
}

bool isHomeOf(size_t gateway, size_t gateways, size_t engine, size_t engines)
{
    return engines > 0 && gateways <= engines && engine * gateways / engines == gateway;
}

double unreportedWork(std::span<const Candidate> candidates, const Arrivals& arrivals)
{
    if (candidates.empty() || arrivals.requestMs <= 0)
        return 0;
    double age = 0;
    for (const Candidate& candidate : candidates)
        age += candidate.ageMs;
    age /= static_cast<double>(candidates.size());
    const double requests = arrivals.workPerMs * AgesCovered * age / arrivals.requestMs;
    return arrivals.requestMs * (requests + DeviationsCovered * std::sqrt(requests));
}

double fillLevel(std::span<const Candidate> candidates, double work)
{
    // Removes candidates above the level until none is left, beginning with all of them.
    double level = std::numeric_limits<double>::max();
    while (true) {
        double sum = work;
        double speed = 0;
        for (const Candidate& candidate : candidates) {
            const bool isBelow = candidate.finishMs < level;
            sum += isBelow ? candidate.speed * candidate.finishMs : 0;
            speed += isBelow ? candidate.speed : 0;
        }
        const double next = speed > 0 ? sum / speed : level;
        if (next >= level || speed <= 0)
            return level;
        level = next;
    }
}

size_t chooseEngine(std::span<const Candidate> candidates, const Arrivals& arrivals, double draw)
{
    if (candidates.empty())
        return 0;
    const double work = unreportedWork(candidates, arrivals);
    if (work <= 0)
        return bestCandidate(candidates, draw);
    const double level = fillLevel(candidates, work);
    // What is known of a home engine is nearly complete, so it is taken while it is not worse than
    // what a draw gives. Above the mean, the work of a gateway with much load goes to other
    // engines.
    const size_t home = bestHome(candidates);
    if (home < candidates.size()
        && candidates[home].finishMs + candidates[home].extraMs
            <= leastCost(candidates, std::min(level, meanFinish(candidates))))
        return home;
    // Other requests do not share this one's extra costs, so they raise all engines to one level.
    const double cost = leastCost(candidates, level);
    double total = 0;
    for (const Candidate& candidate : candidates)
        total += freeCapacity(candidate, cost);
    if (total <= 0)
        return bestCandidate(candidates, draw);
    double rest = draw * total;
    size_t last = 0;
    for (size_t index = 0; index < candidates.size(); ++index) {
        const double capacity = freeCapacity(candidates[index], cost);
        if (capacity <= 0)
            continue;
        last = index;
        rest -= capacity;
        if (rest < 0)
            break;
    }
    return last;
}

} // namespace citronspoke::balance

#pragma once

#include "model/Model.h"

#include <algorithm>
#include <array>

/**
 * Spreads requests evenly over engines although the work of other gateways is known from reports
 * that are some milliseconds to seconds old. Pure code without input, output, clock or allocation.
 */
namespace citronspoke::balance {

/** An engine that may get a request. */
struct Candidate {
    /** Until the engine would finish the request: its work ahead and the request, by its speed. */
    double finishMs = 0;
    /** Cost that is specific to the request: cache misses, fetches, connection and zone. */
    double extraMs = 0;
    /** Relative to the pool's mean. */
    double speed = 1;
    /** Age of what is known of other gateways' work at the engine. */
    double ageMs = 0;
    /** Part of the engine's work that is other gateways'; 0 when it has none. */
    double othersPart = 0;
    /** Other gateways prefer other engines, so what this one knows of it is nearly complete. */
    bool isHome = false;
};

/** The arrivals of all other gateways at a pool. */
struct Arrivals {
    /** Work that arrives in each millisecond, in milliseconds of an engine of mean speed. */
    double workPerMs = 0;
    /** Mean work of one request, as above. */
    double requestMs = 0;
};

/**
 * @return the arrivals of other gateways that keep the candidates as busy as they are known to be:
 *         while load is steady, engines get as much work as they finish.
 */
double workPerMsOfBusy(std::span<const Candidate> candidates);

/** @return the work of other gateways that is assumed to have arrived without being reported yet.
 */
double unreportedWork(std::span<const Candidate> candidates, const Arrivals& arrivals);

/**
 * @return the level to which water-filling raises the candidates' expected finish when it
 *         distributes so much work; not below the earliest expected finish.
 */
double fillLevel(std::span<const Candidate> candidates, double work);

/**
 * Splits the engines over the gateways, as far as there are enough of them.
 * @param gateway position in the order that all gateways know; likewise the engine's.
 * @return whether it is a home engine of the gateway.
 */
bool isHomeOf(size_t gateway, size_t gateways, size_t engine, size_t engines);

/**
 * Chooses an engine. Without unreported work it is the best candidate. Otherwise it is the best
 * home engine while that is not worse than the mean; else gateways with the same reports spread
 * their requests as water-filling would distribute the unreported work.
 * @param draw random, uniform in [0, 1).
 * @return the index of the chosen candidate; candidates.size() when there is none.
 */
size_t chooseEngine(std::span<const Candidate> candidates, const Arrivals& arrivals, double draw);

/** Measures the work that one gateway sends to a pool. */
class ArrivalMeter {
public:
    void note(double workMs, SteadyTime now);
    /** @return work in each millisecond over the last second or so. */
    double workPerMs(SteadyTime now) const;
    /** @return mean work of the requests; 0 before the first. */
    double requestMs() const noexcept { return m_requestMs; }

private:
    double m_work = 0;
    double m_requestMs = 0;
    SteadyTime m_updatedAt {};
};

/**
 * Estimates the arrivals at all other gateways: each may get as much as this one.
 * @param gateways number of gateways, this one included.
 */
Arrivals arrivalsOfOthers(const ArrivalMeter& own, uint32_t gateways, SteadyTime now);
/**
 * As above, for engines that run one request after another and whose costs are in milliseconds: the
 * work that keeps them busy is considered as well.
 */
Arrivals arrivalsOfOthers(std::span<const Candidate> candidates, const ArrivalMeter& own,
    uint32_t gateways, SteadyTime now);

/**
 * Estimates one rate of one incarnation of an engine, for example its prefill speed. A median over
 * periods keeps a slow half second from counting as a slow engine.
 */
class RateEstimate {
public:
    /** @param rate > 0; other values are ignored. */
    void note(double rate, SteadyTime now);
    /** @return between the pool's mean and the measured rate, by confidence. */
    double estimate(double poolMean) const;
    /** @return between 0 (nothing measured) and 1. */
    double confidence() const;

private:
    /** A slow period of half a second covers at most three of these. */
    static constexpr Milliseconds PeriodLength { 250 };
    static constexpr size_t Periods = 9;
    struct Period {
        SteadyTime begin {};
        double sum = 0;
        uint32_t samples = 0;
    };
    size_t usedPeriods() const { return std::min(m_begun, Periods); }

    std::array<Period, Periods> m_periods {};
    /** Periods begun since the start; the current one is at (m_begun - 1) % Periods. */
    size_t m_begun = 0;
    double m_median = 0;
};

/** The speeds of one incarnation of an engine. */
struct EngineSpeeds {
    /** Prompt tokens in each millisecond. */
    RateEstimate prefill;
    /** Milliseconds from one output token to the next. */
    RateEstimate decodeStep;
};

} // namespace citronspoke::balance

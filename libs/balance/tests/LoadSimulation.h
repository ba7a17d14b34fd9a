#pragma once

#include "balance/Balance.h"

#include <deque>
#include <map>
#include <queue>
#include <random>

namespace citronspoke::balance {

/** Rules for the choice of an engine: those of the table in the design page, and ours. */
enum class Rule : uint8_t {
    Random,
    LeastReported,
    LeastFinish,
    BetterOfTwo,
    BestOfFour,
    OwnForAll,
    WaterFilling,
    EvenLoad,
    CompleteKnowledge,
};

/** What happens in a simulation besides steady random arrivals. */
enum class Pattern : uint8_t {
    Steady,
    /** Each gateway gets an equal request within one report's age, once a second. */
    EqualRequests,
    /** An engine is gone for the first half. */
    EngineReturns,
    /** The last engine has a sixth of its speed, and speeds are known from measurements only. */
    SlowEngine,
    ReportsMissing,
    /** Load doubles after half of the time. */
    LoadStep,
    /** The first two ages of the reports count, without any time before. */
    JustStarted,
    /** A third of the gateways end after half of the time, and their callers go to others. */
    GatewaysGone,
};

struct Scenario {
    size_t engines = 44;
    size_t gateways = 27;
    double ageMs = 50;
    Pattern pattern = Pattern::Steady;
    double durationMs = 20000;
    double load = 0.75;
};

struct Outcome {
    double meanWaitMs = 0;
    double p99Ms = 0;
    /** Longest time that one engine had over twice the mean queue while one other was empty. */
    double longestUnevenMs = 0;
};

/** Virtual time: gateways send work to engines and report theirs to each other periodically. */
class LoadSimulation {
public:
    LoadSimulation(const Scenario& scenario, Rule rule);
    Outcome run();

private:
    struct Job {
        size_t gateway = 0;
        double work = 0;
        double sentAt = 0;
    };
    enum class Event : uint8_t { Arrival, Finish, Report };
    using Due = std::tuple<double, Event, size_t>;

    void arrive(size_t gateway, double work);
    void scheduleArrival();
    void scheduleBurst();
    void finish(size_t engine);
    void report(size_t gateway);
    /** Drops the reports of gateways that ended, 2 s later as the directory does. */
    void dropEnded();
    size_t choose(size_t gateway);
    size_t drawOf(size_t gateway, size_t draws);
    size_t pageWaterFilling(size_t gateway);
    size_t evenLoad(size_t gateway);
    template <typename Cost> size_t least(Cost cost);
    bool isUp(size_t engine) const;
    bool hasEnded(size_t gateway) const;
    double believedSpeed(size_t engine) const;
    double peersWork(size_t gateway, size_t engine) const;
    double seenWork(size_t gateway, size_t engine) const;
    double seenFinish(size_t gateway, size_t engine) const;
    double meanAge(size_t gateway) const;
    double uniform() { return std::uniform_real_distribution<double>()(m_random); }
    void checkEvenness();

    Scenario m_scenario;
    Rule m_rule;
    std::mt19937_64 m_random { 5 };
    double m_now = 0;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
    std::vector<double> m_speeds;
    std::vector<RateEstimate> m_measured;
    double m_totalSpeed = 0;
    std::vector<std::deque<Job>> m_queues;
    std::vector<double> m_freeAt;
    std::vector<double> m_emptySince;
    std::vector<double> m_overSince;
    /** Unfinished work by gateway and engine, now and as last reported. */
    std::vector<std::vector<double>> m_own;
    std::vector<std::vector<double>> m_reported;
    std::vector<double> m_reportedSum;
    std::vector<double> m_reportedAt;
    double m_reportedAtSum = 0;
    std::vector<ArrivalMeter> m_meters;
    std::vector<Candidate> m_candidates;
    std::vector<double> m_waits;
    size_t m_jobs = 0;
    bool m_isEndedDropped = false;
    double m_longestUnevenMs = 0;
};

} // namespace citronspoke::balance

#pragma once

#include "model/Model.h"

#include <deque>
#include <map>

namespace citronspoke::dispatch {

/**
 * Retry budget: this entry's part of the retries that all entries together may make. It is a share
 * of the entry's own requests plus an even part of a fixed number of retries, within a sliding
 * window, for each pool.
 */
class RetryBudget {
public:
    struct Limits {
        /** Retries for each request. */
        double share = 0;
        /** Retries of all entries together in a window, regardless of requests. */
        double fixedPart = 0;
        Milliseconds window { 10000 };
    };

    /** State of a pool's budget, for the log. */
    struct Balance {
        /** Sends of retries that the budget covers now. */
        double available = 0;
        /** Requests that the budget counts. */
        size_t requests = 0;
        /** Entries that share the fixed part; 0 while unknown. */
        uint32_t entries = 0;
        Milliseconds processAge { 0 };
    };

    /**
     * @param start of this process. The fixed part grows to its full size over the first window,
     *        because a previous process may just have spent it.
     */
    RetryBudget(const Limits& limits, SteadyTime start);
    /** @param entries number of running entries; there is no fixed part while it is 0. */
    void updateEntries(uint32_t entries);
    void updateLimits(const Limits& limits);
    /** Counts a request, which adds to the budget of its pool. */
    void noteRequest(const PoolId& pool, SteadyTime now);
    /**
     * Takes all sends of a retry from the budget of a pool, or none.
     * @param sends requests to targets that the retry makes.
     * @return false when the budget does not cover them; the retry must not be made.
     */
    bool trySpend(const PoolId& pool, uint32_t sends, SteadyTime now);
    /** @return the state of a pool's budget. */
    Balance balance(const PoolId& pool, SteadyTime now);

private:
    struct History {
        std::deque<SteadyTime> requests;
        std::deque<SteadyTime> retries;
    };
    void dropExpired(History& history, SteadyTime now) const;

    double allowedRetries(const History& history, SteadyTime now) const;

    Limits m_limits;
    SteadyTime m_start;
    uint32_t m_entries = 0;
    std::map<PoolId, History> m_pools;
};

} // namespace citronspoke::dispatch

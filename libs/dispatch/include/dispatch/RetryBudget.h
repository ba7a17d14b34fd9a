#pragma once

#include "model/Model.h"

#include <deque>
#include <map>

namespace citronspoke::dispatch {

/**
 * Retry budget: this entry's part of the retries that all entries together may make in a sliding
 * window, for each pool. The limit is a share of the requests plus a fixed number. One half of it
 * is earned, by each request and with time; the other half is the most unused credit that is kept.
 * A process starts without credit. So the retries in a window are at most those that were earned in
 * it and those that had been kept, which belong to the requests of the window before, although
 * processes start again without memory and callers move from one entry to another.
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

    /** @param start of this process. A previous one may just have spent all that it had. */
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
    struct Credit {
        /** Arrivals within the last window. */
        std::deque<SteadyTime> requests;
        double fromRequests = 0;
        double fromFixedPart = 0;
        SteadyTime updatedAt;

        double available() const noexcept { return fromRequests + fromFixedPart; }
    };
    /** @return the credit of a pool, brought up to date. */
    Credit& updateCredit(const PoolId& pool, SteadyTime now);
    double keptRequestCredit(const Credit& credit) const;

    Limits m_limits;
    SteadyTime m_start;
    uint32_t m_entries = 0;
    std::map<PoolId, Credit> m_pools;
};

} // namespace citronspoke::dispatch

#pragma once

#include "model/Model.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace citronspoke::soak {

/** Checks the limit of the retries that all gateways together make. Not thread-safe. */
class RetryLimit {
public:
    static constexpr double Share = 0.2;
    static constexpr double FixedPart = 58;
    static constexpr Milliseconds Window { 10000 };

    /** Records that a caller sends an attempt on a route to the pool. */
    void recordRequest(const std::string& pool, SteadyTime now);
    /**
     * Records that an attempt has reached a target, which may refuse it.
     * @param attempt empty for a call of a gateway itself, which is no retry of a request.
     */
    void recordArrival(
        const std::string& pool, const std::string& attempt, bool isPrefill, SteadyTime now);

    /** The window of a pool in which the largest part of the allowed retries was made. */
    struct Use {
        std::string pool;
        size_t retries = 0;
        double allowed = 0;
    };
    /** @return one for each pool. */
    std::vector<Use> worstUses() const;

private:
    struct Counts {
        std::vector<SteadyTime> requests;
        std::vector<SteadyTime> retries;
    };
    static Use worstUse(const std::string& pool, const Counts& counts);

    std::map<std::string, Counts> m_pools;
    std::set<std::string> m_prefilled;
    std::set<std::string> m_run;
};

} // namespace citronspoke::soak

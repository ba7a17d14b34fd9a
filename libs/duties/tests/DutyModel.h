#pragma once

#include "duties/Duties.h"

#include <array>
#include <set>

namespace citronspoke::duties::tests {

/** Which orders of events the model explores; time in units of a third of the lease time. */
struct ModelLimits {
    int processes = 2;
    int time = 9;
    int restores = 1;
    int suspensions = 1;
    int restarts = 1;
    /** Calls whose execution or response is late. */
    int lateCalls = 1;
    /** By which the true-time estimates of two processes differ; the lease time is three units. */
    int clockStep = 1;
};

/** What the exploration found. */
struct ModelResult {
    size_t states = 0;
    size_t acts = 0;
    /** Empty when all orders keep the requirements. */
    std::string violation;
};

/**
 * Explores all orders of events over some processes and a store that keeps the lease: acquire,
 * renew, act, expire, suspend, resume, restart, restore of an older copy, late execution and late
 * response.
 */
ModelResult explore(const ModelLimits& limits, const DutyLease::Options& options);

/** A third of the lease time is one unit, and so is the safety margin. */
inline const DutyLease::Options ModelOptions { Milliseconds(3), Milliseconds(1), Milliseconds(1) };

} // namespace citronspoke::duties::tests

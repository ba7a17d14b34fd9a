#pragma once

#include "quarantine/Quarantine.h"

#include <functional>
#include <random>

namespace citronspoke::quarantine::tests {

/** A load with prompt parts that crash engines, and other faults. */
struct CrashPattern {
    size_t gateways = 6;
    size_t engines = 12;
    double requestsPerSecond = 150;
    /** Share of the requests that have a crashing part. */
    double crashingShare = 0.05;
    size_t crashingParts = 1;
    /** Crashing parts stand where other requests have their first part. */
    bool isCrashingPartFirst = false;
    /** Middle parts of sound requests. */
    size_t soundParts = 200;
    Milliseconds reportDelay { 30 };
    double lostReports = 0.01;
    /** Share of the engines that are lost for another reason, every LossInterval. */
    double lossShare = 0;
    /** Share of the runs whose connections are reset every ResetInterval; the engines go on. */
    double resetShare = 0;
    /** All gateways are killed then and start anew with the store's record. */
    std::optional<Milliseconds> killAt;
};

/** What a pattern led to. */
struct CrashOutcome {
    /** Engines that each crashing part has ended. */
    std::map<PromptPartId, size_t> crashes;
    /** Sends of each crashing part later than ContactTime after its fifth crash. */
    std::map<PromptPartId, size_t> lateSends;
    size_t soundRequests = 0;
    /** Sound requests that were refused for a quarantine. */
    size_t soundRefusals = 0;
    /** Sound parts that some gateway still refuses at the end. */
    std::set<PromptPartId> soundPartsRefused;
};

/** The time after which, as the users' rules state it, a machine must have followed a fault. */
inline constexpr Milliseconds ContactTime { 3000 };

/**
 * Gateways and decode engines, as far as crashes concern them: engines that crash on a part some
 * time after its run began, runs that break with them and are repeated, reports that arrive late or
 * not at all. The same arguments give the same outcome.
 */
CrashOutcome simulate(const CrashPattern& pattern, uint64_t seed);

} // namespace citronspoke::quarantine::tests

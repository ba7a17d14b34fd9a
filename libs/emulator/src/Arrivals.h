#pragma once

#include "EventQueue.h"
#include "emulator/Emulator.h"

#include <random>

namespace citronspoke::emulator {

/** The length of the windows in which earned worth is summed up and its bound computed. */
inline constexpr Milliseconds WorthWindow { 2000 };

/** A request of a caller, fixed before the simulation starts. */
struct Arrival {
    Micros at { 0 };
    /** Index of the kind in the load pattern. */
    size_t kind = 0;
    fleet::Prompt prompt;
    /** Worth when served within the objective; larger requests are worth more. */
    double worth = 0;
    /** Worth when served later. */
    double lateWorth = 0;
    /** The caller abandons the request when an attempt has no token after this time. */
    Micros patience { 0 };
};

/** @return the arrivals of one run in the order of their times; the same for all policies. */
std::vector<Arrival> generateArrivals(const LoadPattern& pattern, uint64_t seed);

/**
 * @param prefillTokensPerMs total speed of all prefill engines.
 * @return an upper bound of the earned worth, as a share of the worth if all requests were on time.
 */
double worthBound(
    std::span<const Arrival> arrivals, const LoadPattern& pattern, double prefillTokensPerMs);

} // namespace citronspoke::emulator

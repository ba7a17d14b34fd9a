#pragma once

#include "EventQueue.h"
#include "emulator/Emulator.h"

#include <random>

namespace citronspoke::emulator {

/** The length of the windows in which worth is counted and bounded. */
inline constexpr Milliseconds Window { 2000 };

/** A caller's request as it will come. */
struct Arrival {
    Micros at { 0 };
    size_t kind = 0;
    fleet::Prompt prompt;
    /** Worth when on time; larger requests are worth more. */
    double worth = 0;
    double lateWorth = 0;
    Micros patience { 0 };
};

/** @return the arrivals of one play in the order of their times; the same for all policies. */
std::vector<Arrival> drawArrivals(const LoadPattern& pattern, uint64_t seed);

/** @return what readers of this speed can earn at most of the worth owed. */
double worthBound(
    std::span<const Arrival> arrivals, const LoadPattern& pattern, double readTokensPerMs);

} // namespace citronspoke::emulator

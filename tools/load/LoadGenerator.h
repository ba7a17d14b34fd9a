#pragma once

#include "transport/Transport.h"

namespace citronspoke::load {

/** One kind of request, as a share of a phase. */
struct RequestKind {
    std::string name;
    std::string bearerKey;
    std::string model;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    Milliseconds deadline { 0 };
    /** Worth of one answer that is whole and on time. */
    double worth = 1;
    bool isTrial = false;
    /** Prompts begin with one of so many common texts of this many tokens; 0 for none. */
    uint32_t sharedPrefixes = 0;
    uint32_t sharedPrefixTokens = 0;
};

/** A stretch of time with fixed arrival rates, one for each kind, in requests a second. */
struct Phase {
    Milliseconds duration { 0 };
    std::vector<double> rates;
};

struct Plan {
    std::vector<RequestKind> kinds;
    std::vector<Phase> phases;
    uint64_t seed = 1;
};

/** What came of one kind of request. */
struct KindResult {
    std::string name;
    uint32_t sent = 0;
    uint32_t onTime = 0;
    uint32_t late = 0;
    uint32_t broken = 0;
    std::map<std::string, uint32_t> refused;
    std::vector<double> firstTokenMs;
    std::vector<double> tokenGapMs;
    double worth = 0;
    bool isTrial = false;
};

/** @return the value that a share of the samples does not exceed; 0 without samples. */
double percentile(std::vector<double> samples, double share);

/**
 * Sends a plan's requests at their times, whatever the answers (an open loop), spread over the
 * entries, and waits for the answers.
 * @param entries "http://IP:PORT" each.
 */
std::vector<KindResult> run(const Plan& plan, std::span<const std::string> entries);

/** @return the summed worth of the answers that were whole and on time. */
double goodput(std::span<const KindResult> results, bool trials);

} // namespace citronspoke::load

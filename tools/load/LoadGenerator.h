#pragma once

#include "transport/Transport.h"

namespace citronspoke::load {

/** A kind of request. All requests of a kind have the same key, model, sizes and deadline. */
struct RequestKind {
    std::string name;
    std::string bearerKey;
    std::string model;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    /** From sending the request to the end of the response. */
    Milliseconds deadline { 0 };
    /** Worth of one response that is complete and within the deadline. */
    double worth = 1;
    bool isTrial = false;
    /** Number of different common prefixes, of which each prompt begins with one; 0 for none. */
    uint32_t sharedPrefixes = 0;
    /** Length of each common prefix. */
    uint32_t sharedPrefixTokens = 0;
};

/** A period with constant arrival rates. */
struct Phase {
    Milliseconds duration { 0 };
    /** Requests a second, one rate for each kind of the plan, in its order. */
    std::vector<double> rates;
};

/** A workload. The same plan gives the same requests at the same times. */
struct Plan {
    std::vector<RequestKind> kinds;
    std::vector<Phase> phases;
    uint64_t seed = 1;
};

/** Counts and latencies of the requests of one kind. */
struct KindResult {
    std::string name;
    uint32_t sent = 0;
    /** Complete responses within the deadline. */
    uint32_t onTime = 0;
    /** Complete responses after the deadline. */
    uint32_t late = 0;
    /** Responses that ended after their first token but before their last. */
    uint32_t broken = 0;
    /** Requests without a token, by error type; "no_connection" when there was no response. */
    std::map<std::string, uint32_t> refused;
    /** From sending a request to its first token. */
    std::vector<double> firstTokenMs;
    /** Between two tokens of a response. */
    std::vector<double> tokenGapMs;
    /** Total worth of the responses within their deadline. */
    double worth = 0;
    bool isTrial = false;
};

/**
 * @param share between 0 and 1, such as 0.95 for the 95th percentile.
 * @return the sample at this share of the sorted samples; 0 without samples.
 */
double percentile(std::vector<double> samples, double share);

/**
 * Sends the requests of a plan at their scheduled times without waiting for earlier responses (open
 * loop), to the entries in turn. Then waits for the responses; those that take too long count as
 * sent only.
 * @param entries the base URL of each entry, "http://IP:PORT".
 * @return one result for each kind of the plan, in its order.
 */
std::vector<KindResult> run(const Plan& plan, std::span<const std::string> entries);

/**
 * @param trials whether to sum up the kinds that are trials, or all others.
 * @return the total worth of the responses that were complete and on time.
 */
double goodput(std::span<const KindResult> results, bool trials);

} // namespace citronspoke::load

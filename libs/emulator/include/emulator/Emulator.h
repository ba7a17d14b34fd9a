#pragma once

#include "dispatch/Dispatch.h"

#include <variant>

/**
 * A discrete-event simulation of model engines, gateways and callers. It runs in one thread on a
 * simulated clock. The gateways decide with the code of libs/dispatch, the engines follow the
 * published model of their processing times.
 */
namespace citronspoke::emulator {

/** Processing times and sizes of an engine. Defaults: data sheets of the users' sites. */
struct EngineModel {
    /** Prefill speed without the time for attention. */
    double prefillTokensPerMs = 36.7;
    /** Prefill time that attention adds for each million pairs of prompt tokens. */
    double attentionMsPerMillionPairs = 0.248;
    /** Between the end of the prefill and the response of the engine. */
    double firstTokenMs = 22;
    /** Size of a prefill chunk. Between two chunks, a more urgent prompt goes first. */
    uint64_t chunkTokens = 1024;
    /** Fixed part of a decode step. */
    double stepMs = 4.34;
    /** What each running request adds to a decode step. */
    double stepMsPerRequest = 0.151;
    /** Requests that decode at the same time. */
    uint32_t slots = 64;
    /** Capacity of the KV cache. */
    uint64_t cacheTokens = 450000;
    /** Speed of a transfer within a zone: 18,432 bytes a token over 370 Gbit/s. */
    double linkTokensPerMs = 2509;
    /** Fixed part of a transfer. */
    double transferSetupMs = 5;
};

/** The size of a deployment and its delays. */
struct Site {
    size_t gateways = 5;
    size_t engines = 12;
    /** Number of engines that decode; the others prefill. */
    size_t decodeEngines = 2;
    size_t zones = 3;
    /** Factors on the processing times, assigned to the engines in turn; 1 is the model's speed. */
    std::vector<double> slowdowns { 1, 1, 1.3 };
    /** One-way delay between a gateway and an engine. */
    Milliseconds networkDelay { 1 };
    /** From a report of one gateway to its use by another. */
    Milliseconds peerDelay { 7 };
    EngineModel engine;
};

/**
 * A kind of request. A prompt has a part that it shares with others, unless there are none, and a
 * part of its own. A spread is a coefficient of variation.
 */
struct RequestKind {
    std::string name;
    /** Mean arrival rate. */
    double requestsPerSecond = 1;
    /** Mean size of a shared part; 0 for prompts without one. */
    uint32_t sharedTokens = 0;
    double sharedSpread = 0;
    /** Number of different shared parts. */
    uint32_t sharedParts = 1;
    /** Mean size of the part of its own. */
    uint32_t uniqueTokens = 1000;
    double uniqueSpread = 1;
    /** Mean length of the output. */
    uint32_t outputTokens = 10;
    /** Longest time to the first token, from the caller's first attempt, for the full worth. */
    Milliseconds objective { 500 };
    /** A caller abandons its request when an attempt has no token after this time. */
    Milliseconds patience { 2000 };
    /** Worth of a mean request served within the objective. */
    double worth = 1;
    /** Worth of a mean request served later. */
    double lateWorth = 0.1;
    /** 0 is the most urgent. */
    uint32_t priority = 0;
};

/** A period of simulated time. */
struct Span {
    Milliseconds from { 0 };
    Milliseconds length { 0 };
};

/** Multiplies the arrival rate of a kind by a factor above or below 1. */
struct Burst {
    std::string kind;
    double factor = 1;
    Span span;
};
/** A share of the engines in a role crash. They restart at the end, with empty caches. */
struct EngineLoss {
    EngineRole role = EngineRole::Prefill;
    double share = 0.5;
    Span span;
};
/** All engines and gateways restart without any state. */
struct ColdStart {
    Milliseconds at { 0 };
};
/** Multiplies the time of transfers from and to a share of the engines. */
struct SlowLinks {
    double share = 0.3;
    double factor = 8;
    Span span;
};
/** A share of the callers abandon their request when an attempt has no token within a time. */
struct LeavingCallers {
    double share = 0.3;
    Milliseconds within { 300 };
    Span span;
};
/** A change of the load, the callers, the engines or the links during a run. */
using Disturbance = std::variant<Burst, EngineLoss, ColdStart, SlowLinks, LeavingCallers>;

/** The load of one simulation run. */
struct LoadPattern {
    std::string name;
    std::vector<RequestKind> kinds;
    std::vector<Disturbance> disturbances;
    Milliseconds length { 20000 };
    /** Largest number of attempts of a caller for one request. */
    uint32_t attempts = 2;
};

/** @return the kinds of requests of the users' sites. */
std::vector<RequestKind> siteRequestKinds();
/** @return the load patterns for the comparison of policies. */
std::vector<LoadPattern> loadPatterns();

/**
 * The policy of the gateways: chooses the engine with the earliest expected finish, fetches cached
 * prompt parts from other engines, and puts urgent and short prompts first.
 */
struct ExpectedFinish { };
struct RoundRobin { };
struct LeastOutstanding { };
/** The engine with fewer outstanding requests of two that are chosen at random. */
struct TwoChoices { };
/** Sends prompts with the same shared part to its home engine, by rendezvous hashing. */
struct HashedHomes {
    /** An engine with more than this multiple of the mean load is skipped. */
    double loadBound = 2;
};
using Policy = std::variant<ExpectedFinish, RoundRobin, LeastOutstanding, TwoChoices, HashedHomes>;

/** @return the name of a policy in tables and plots. */
std::string_view nameOf(const Policy& policy);

/** Counts and times to the first token of the requests of one kind. */
struct KindOutcome {
    std::string name;
    uint64_t sent = 0;
    /** Served within the objective. */
    uint64_t onTime = 0;
    uint64_t late = 0;
    /** Not served: failed, or cancelled by the caller. */
    uint64_t lost = 0;
    /** Earned worth divided by the worth if all were on time. */
    double worthShare = 0;
    /** Time to the first token of the served requests. */
    Milliseconds p50 { 0 };
    Milliseconds p95 { 0 };
};

/** The result of one simulation run. */
struct Outcome {
    std::vector<KindOutcome> kinds;
    /** Earned worth divided by the worth if all requests were on time. */
    double worth = 0;
    /** The same ratio by arrival in windows of two seconds: the mean of the two lowest. */
    double worstWindows = 0;
    /**
     * Upper bound of the worth ratio under any policy. It assumes that in each window the engines
     * prefill the prompts with the most worth for each token, and each shared part only once in the
     * whole run.
     */
    double bound = 0;
    /** Prompt tokens that were computed, not taken from a cache. */
    uint64_t tokensPrefilled = 0;
    /** Prompt tokens transferred between engines, including transfers to decode engines. */
    uint64_t tokensFetched = 0;
    /** Busy time of the prefill engines, divided by the pattern's length for each of them. */
    double busyShare = 0;
};

/** Simulates one pattern under one policy. The same arguments give the same outcome. */
Outcome simulate(const Site& site, const LoadPattern& pattern, const Policy& policy, uint64_t seed);

} // namespace citronspoke::emulator

#pragma once

#include "dispatch/Dispatch.h"

#include <variant>

/**
 * Model engines, gateways and callers in one process with a clock of their own. The gateways decide
 * with the code of libs/dispatch; everything else follows the published model of the engines.
 */
namespace citronspoke::emulator {

/** The engines' model; defaults are those of the users' site sheets. */
struct EngineModel {
    double readTokensPerMs = 36.7;
    /** What attention over a prompt adds for each million pairs of its tokens. */
    double msPerMillionPairs = 0.248;
    /** Between the end of reading and the answer. */
    double firstTokenMs = 22;
    /** Between two pieces a more urgent prompt goes first. */
    uint64_t pieceTokens = 1024;
    double stepMs = 4.34;
    /** What each running request adds to a step. */
    double stepMsPerRequest = 0.151;
    uint32_t slots = 64;
    uint64_t cacheTokens = 450000;
    /** Bytes of 18,432 a token over 370 Gbit/s. */
    double linkTokensPerMs = 2509;
    double transferSetupMs = 5;
};

struct Site {
    size_t gateways = 5;
    size_t engines = 12;
    /** Engines that make tokens; the others read prompts. */
    size_t makers = 2;
    size_t zones = 3;
    /** Factors on the time that engines take, in turn. */
    std::vector<double> slowness { 1, 1, 1.3 };
    Milliseconds networkDelay { 1 };
    /** Until a gateway knows what another one sent. */
    Milliseconds peerDelay { 7 };
    EngineModel engine;
};

struct RequestKind {
    std::string name;
    double perSecond = 1;
    /** Mean size of the shared part, and how many of them there are. */
    uint32_t sharedTokens = 0;
    double sharedSpread = 0;
    uint32_t sharedParts = 1;
    uint32_t ownTokens = 1000;
    double ownSpread = 1;
    uint32_t outputTokens = 10;
    /** Until the first token, from the caller's first attempt. */
    Milliseconds objective { 500 };
    /** A caller leaves after this without a token. */
    Milliseconds patience { 2000 };
    double worth = 1;
    double lateWorth = 0.1;
    uint32_t priority = 0;
};

/** When something holds. */
struct Span {
    Milliseconds from { 0 };
    Milliseconds length { 0 };
};

/** Requests of a kind come more, or less, often. */
struct Burst {
    std::string kind;
    double factor = 1;
    Span span;
};
/** A share of the engines in a role crash and return empty. */
struct EngineLoss {
    EngineRole role = EngineRole::Prefill;
    double share = 0.5;
    Span span;
};
/** All engines and gateways start anew and know nothing. */
struct ColdStart {
    Milliseconds at { 0 };
};
/** Transfers from and to a share of the engines take longer. */
struct SlowLinks {
    double share = 0.3;
    double factor = 8;
    Span span;
};
/** A share of the callers leave within a time. */
struct Leavers {
    double share = 0.3;
    Milliseconds within { 300 };
    Span span;
};
using Disturbance = std::variant<Burst, EngineLoss, ColdStart, SlowLinks, Leavers>;

struct LoadPattern {
    std::string name;
    std::vector<RequestKind> kinds;
    std::vector<Disturbance> disturbances;
    Milliseconds length { 20000 };
    /** Attempts of a caller whose request failed. */
    uint32_t attempts = 2;
};

/** The kinds of requests of the users' two sites. */
std::vector<RequestKind> siteKinds();
/** The named load patterns that the policies are compared on. */
std::vector<LoadPattern> loadPatterns();

/** The gateways' own policy: earliest expected finish, parts fetched, urgent and short ones first.
 */
struct ExpectedFinish { };
struct RoundRobin { };
struct LeastOutstanding { };
struct TwoChoices { };
/** Shared parts have homes by hash, unless these have so many times the mean load. */
struct HashedHomes {
    double loadBound = 2;
};
using Policy = std::variant<ExpectedFinish, RoundRobin, LeastOutstanding, TwoChoices, HashedHomes>;

std::string_view nameOf(const Policy& policy);

struct KindOutcome {
    std::string name;
    uint64_t sent = 0;
    uint64_t onTime = 0;
    uint64_t late = 0;
    /** Never served: failed, or left by the caller. */
    uint64_t lost = 0;
    double worthShare = 0;
    /** Until the first token, of those served. */
    Milliseconds p50 { 0 };
    Milliseconds p95 { 0 };
};

struct Outcome {
    std::vector<KindOutcome> kinds;
    /** Worth earned of the worth owed. */
    double worth = 0;
    /** The mean of the two worst windows of two seconds. */
    double worstWindows = 0;
    /** No policy earns more: in each window the readers read what is worth most for its tokens, and
     * what is shared once in the whole play. */
    double bound = 0;
    uint64_t tokensRead = 0;
    uint64_t tokensFetched = 0;
    /** Of the reading engines' time. */
    double busyShare = 0;
};

/** Plays one pattern. The same arguments give the same outcome. */
Outcome play(const Site& site, const LoadPattern& pattern, const Policy& policy, uint64_t seed);

} // namespace citronspoke::emulator

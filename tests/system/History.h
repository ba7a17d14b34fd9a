#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronspoke::tests {

/** The response to one request with an idempotency key. */
struct ObservedCall {
    std::string key;
    uint32_t status = 0;
    /** The execution state in an error response; empty otherwise. */
    std::string execution;
    int64_t receipt = 0;
};

/** An order that an engine accepted. */
struct ObservedOrder {
    std::string engine;
    int64_t fencing = 0;
    int64_t sequence = 0;
};

/** An event of a process's timeline, in the order in which the process recorded it. */
struct ObservedEvent {
    std::string process;
    std::string kind;
    std::string target;
    int64_t timeMs = 0;
    int64_t revision = 0;
};

/** Everything observed in one test run. */
struct History {
    std::vector<ObservedCall> calls;
    /** How often each key ran, as counted by the targets. */
    std::map<std::string, int64_t> runs;
    std::vector<ObservedOrder> orders;
    int64_t conflictingOrders = 0;
    int64_t cutStreams = 0;
    std::vector<ObservedEvent> events;
    /** Wall-clock time at which each target began to leave, in milliseconds since the epoch. */
    std::map<std::string, int64_t> leftAtMs;
};

/** @return one sentence for each violated guarantee. */
std::vector<std::string> violations(const History& history);

} // namespace citronspoke::tests

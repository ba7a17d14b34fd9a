#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronspoke::tests {

/** What a caller was told about one sending of a call that may not be repeated. */
struct CallObserved {
    std::string key;
    uint32_t status = 0;
    /** Of an error answer. */
    std::string execution;
    int64_t receipt = 0;
};

/** An order as an engine took it. */
struct OrderObserved {
    std::string engine;
    int64_t fencing = 0;
    int64_t sequence = 0;
};

/** An event of a process's time line, in the process's order. */
struct EventObserved {
    std::string process;
    std::string kind;
    std::string target;
    int64_t timeMs = 0;
    int64_t revision = 0;
};

/** All that was seen in one run. */
struct History {
    std::vector<CallObserved> calls;
    /** How often each key ran, as the targets counted. */
    std::map<std::string, int64_t> runs;
    std::vector<OrderObserved> orders;
    int64_t conflictingOrders = 0;
    int64_t cutStreams = 0;
    std::vector<EventObserved> events;
    /** Wall-clock time at which each target began to leave. */
    std::map<std::string, int64_t> leftAtMs;
};

/** @return a sentence for each rule that the history breaks; empty when it breaks none. */
std::vector<std::string> violations(const History& history);

} // namespace citronspoke::tests

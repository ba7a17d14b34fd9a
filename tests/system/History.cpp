#include "History.h"

#include <set>

namespace citronspoke::tests {

namespace {

    /** From the brief: a leaving target gets no new work after a few seconds. */
    constexpr int64_t LeavingLimitMs = 3000;

    void checkRunsAtMostOnce(const History& history, std::vector<std::string>& found)
    {
        for (const auto& [key, count] : history.runs) {
            if (count > 1)
                found.push_back("Key " + key + " ran " + std::to_string(count) + " times.");
        }
    }

    // "Not run" as the last word on a key must be true, and every success shows one receipt.
    void checkAnswers(const History& history, std::vector<std::string>& found)
    {
        std::map<std::string, std::set<int64_t>> receipts;
        std::set<std::string> wasSaidNotRun;
        std::set<std::string> hasOtherWord;
        for (const CallObserved& call : history.calls) {
            if (call.status == 200)
                receipts[call.key].insert(call.receipt);
            (call.execution == "not_run" ? wasSaidNotRun : hasOtherWord).insert(call.key);
        }
        for (const auto& [key, values] : receipts) {
            if (values.size() > 1)
                found.push_back("Key " + key + " was answered with different receipts.");
            if (!history.runs.contains(key))
                found.push_back("Key " + key + " was answered but never ran.");
        }
        for (const std::string& key : wasSaidNotRun) {
            if (!hasOtherWord.contains(key) && history.runs.contains(key))
                found.push_back("Key " + key + " ran although it was said not to.");
        }
    }

    void checkOrders(const History& history, std::vector<std::string>& found)
    {
        std::map<std::string, std::pair<int64_t, int64_t>> last;
        for (const OrderObserved& order : history.orders) {
            const std::pair number(order.fencing, order.sequence);
            auto previous = last.find(order.engine);
            if (previous != last.end() && number <= previous->second)
                found.push_back("Engine " + order.engine + " took an order that was not newer.");
            last[order.engine] = number;
        }
        if (history.conflictingOrders > 0)
            found.push_back("Conflicting orders were taken.");
        if (history.cutStreams > 0)
            found.push_back("A planned change cut streams.");
    }

    void checkConfiguration(const History& history, std::vector<std::string>& found)
    {
        std::map<std::string, int64_t> last;
        for (const EventObserved& event : history.events) {
            if (event.kind != "config_adopted")
                continue;
            auto previous = last.find(event.process);
            if (previous != last.end() && event.revision <= previous->second)
                found.push_back("Process " + event.process + " went back in configuration.");
            last[event.process] = event.revision;
        }
    }

    void checkLeaving(const History& history, std::vector<std::string>& found)
    {
        for (const EventObserved& event : history.events) {
            auto left = history.leftAtMs.find(event.target);
            const bool isStart = event.kind == "attempt_started";
            if (isStart && left != history.leftAtMs.end()
                && event.timeMs > left->second + LeavingLimitMs)
                found.push_back("Target " + event.target + " got new work after it left.");
        }
    }

} // namespace

std::vector<std::string> violations(const History& history)
{
    std::vector<std::string> found;
    checkRunsAtMostOnce(history, found);
    checkAnswers(history, found);
    checkOrders(history, found);
    checkConfiguration(history, found);
    checkLeaving(history, found);
    return found;
}

} // namespace citronspoke::tests

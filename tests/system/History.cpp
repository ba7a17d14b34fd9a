#include "History.h"

#include <set>

namespace citronspoke::tests {

namespace {

    /** New work is tolerated for a few seconds after a target began to leave, and not later. */
    constexpr int64_t LeavingLimitMs = 3000;

    void checkRunsAtMostOnce(const History& history, std::vector<std::string>& found)
    {
        for (const auto& [key, count] : history.runs) {
            if (count > 1)
                found.push_back("Key " + key + " ran " + std::to_string(count) + " times.");
        }
    }

    // A key that only ever got "not run" must not have run, and all successes of a key must return
    // one receipt.
    void checkAnswers(const History& history, std::vector<std::string>& found)
    {
        std::map<std::string, std::set<int64_t>> receipts;
        std::set<std::string> reportedNotRun;
        std::set<std::string> reportedOtherwise;
        for (const ObservedCall& call : history.calls) {
            if (call.status == 200)
                receipts[call.key].insert(call.receipt);
            (call.execution == "not_run" ? reportedNotRun : reportedOtherwise).insert(call.key);
        }
        for (const auto& [key, values] : receipts) {
            if (values.size() > 1)
                found.push_back("Key " + key + " received different receipts.");
            if (!history.runs.contains(key))
                found.push_back("Key " + key + " succeeded but never ran.");
        }
        for (const std::string& key : reportedNotRun) {
            if (!reportedOtherwise.contains(key) && history.runs.contains(key))
                found.push_back("Key " + key + " ran although it was reported as not run.");
        }
    }

    void checkOrders(const History& history, std::vector<std::string>& found)
    {
        std::map<std::string, std::pair<int64_t, int64_t>> last;
        for (const ObservedOrder& order : history.orders) {
            const std::pair number(order.fencing, order.sequence);
            auto previous = last.find(order.engine);
            if (previous != last.end() && number <= previous->second)
                found.push_back(
                    "Engine " + order.engine + " accepted an order that was not newer.");
            last[order.engine] = number;
        }
        if (history.conflictingOrders > 0)
            found.push_back("Conflicting orders were accepted.");
        if (history.cutStreams > 0)
            found.push_back("A planned change cut streams.");
    }

    void checkConfiguration(const History& history, std::vector<std::string>& found)
    {
        std::map<std::string, int64_t> last;
        for (const ObservedEvent& event : history.events) {
            if (event.kind != "config_adopted")
                continue;
            auto previous = last.find(event.process);
            if (previous != last.end() && event.revision <= previous->second)
                found.push_back(
                    "Process " + event.process + " reverted to an older configuration.");
            last[event.process] = event.revision;
        }
    }

    void checkLeaving(const History& history, std::vector<std::string>& found)
    {
        for (const ObservedEvent& event : history.events) {
            auto left = history.leftAtMs.find(event.target);
            const bool isStart = event.kind == "attempt_started";
            if (isStart && left != history.leftAtMs.end()
                && event.timeMs > left->second + LeavingLimitMs)
                found.push_back(
                    "Target " + event.target + " got new work after its leaving limit.");
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

#pragma once

#include "model/Model.h"

#include <map>
#include <mutex>
#include <vector>

namespace citronspoke::soak {

/** How a caller's attempt ended. */
enum class CallerResult : uint8_t { Served, Refused, Failed, Broken };

/**
 * What targets ran and callers got in one play, and where that breaks a promise. All threads of a
 * play write to it.
 */
class RunHistory {
public:
    /** Attempts with this prefix in their id may run once at most. */
    static constexpr std::string_view OncePrefix = "once";

    RunHistory();

    void noteRun(const std::string& attempt, const std::string& target);
    void noteResult(const std::string& attempt, CallerResult result);
    size_t runs(const std::string& attempt) const;
    size_t results(CallerResult result) const;
    /** @param promise that was broken, one word. */
    void violate(std::string_view promise, const std::string& detail);
    /** Checks what only shows when nothing can arrive any more. */
    void judge();
    /** @return one line for each broken promise, with the time since the start. */
    std::vector<std::string> violations() const;
    Milliseconds age() const;

private:
    mutable std::mutex m_mutex;
    SteadyTime m_start;
    std::map<std::string, std::vector<std::string>> m_runs;
    std::map<std::string, CallerResult> m_results;
    std::vector<std::string> m_violations;
};

} // namespace citronspoke::soak

#include "RunHistory.h"

#include <algorithm>

namespace citronspoke::soak {

RunHistory::RunHistory()
    : m_start(steadyNow())
{
}

void RunHistory::recordSent(
    const std::string& attempt, const std::string& gateway, const std::string& pool)
{
    std::lock_guard lock(m_mutex);
    const SteadyTime now = steadyNow();
    m_sent[attempt] = { gateway, now, std::nullopt };
    m_retryLimit.recordRequest(pool, now);
}

void RunHistory::recordArrival(const std::string& attempt, const std::string& pool, bool isPrefill)
{
    std::lock_guard lock(m_mutex);
    m_retryLimit.recordArrival(pool, attempt, isPrefill, steadyNow());
}

std::vector<RetryLimit::Use> RunHistory::retryUses() const
{
    std::lock_guard lock(m_mutex);
    return m_retryLimit.worstUses();
}

std::optional<RunHistory::SentAttempt> RunHistory::sent(const std::string& attempt) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_sent.find(attempt);
    return found == m_sent.end() ? std::nullopt : std::optional(found->second);
}

void RunHistory::recordRun(const std::string& attempt, const std::string& target)
{
    std::lock_guard lock(m_mutex);
    m_runs[attempt].push_back(target);
}

void RunHistory::recordResult(const std::string& attempt, CallerResult result)
{
    std::lock_guard lock(m_mutex);
    m_results[attempt] = result;
    const auto sent = m_sent.find(attempt);
    if (sent != m_sent.end() && result != CallerResult::Broken)
        sent->second.answeredAt = steadyNow();
}

void RunHistory::Resumes::add(const Resumes& other)
{
    all += other.all;
    served += other.served;
}

void RunHistory::recordKillOfAll()
{
    std::lock_guard lock(m_mutex);
    m_lastKillOfAll = steadyNow();
}

std::optional<SteadyTime> RunHistory::lastKillOfAll() const
{
    std::lock_guard lock(m_mutex);
    return m_lastKillOfAll;
}

void RunHistory::recordServing(const std::string& engine, const std::string& version)
{
    std::lock_guard lock(m_mutex);
    m_servedVersions[engine] = version;
}

bool RunHistory::isServing(const std::string& version) const
{
    std::lock_guard lock(m_mutex);
    return std::any_of(m_servedVersions.begin(), m_servedVersions.end(),
        [&version](const auto& item) { return item.second == version; });
}

void RunHistory::recordResume(bool isServed, std::optional<KillMode> mode)
{
    const Resumes resume { 1, isServed ? 1U : 0U };
    std::lock_guard lock(m_mutex);
    m_resumes.add(resume);
    if (mode)
        m_resumesByMode[*mode].add(resume);
}

RunHistory::Resumes RunHistory::resumes() const
{
    std::lock_guard lock(m_mutex);
    return m_resumes;
}

RunHistory::ResumesByMode RunHistory::resumesByMode() const
{
    std::lock_guard lock(m_mutex);
    return m_resumesByMode;
}

size_t RunHistory::runs(const std::string& attempt) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(attempt);
    return found == m_runs.end() ? 0 : found->second.size();
}

size_t RunHistory::results(CallerResult result) const
{
    std::lock_guard lock(m_mutex);
    return static_cast<size_t>(std::count_if(m_results.begin(), m_results.end(),
        [result](const auto& item) { return item.second == result; }));
}

void RunHistory::recordPartCrash(const std::string& part)
{
    std::lock_guard lock(m_mutex);
    m_crashingParts[part].crashes.push_back(steadyNow());
}

void RunHistory::recordCrashingArrival(
    const std::string& part, const std::string& attempt, bool isInTouch)
{
    constexpr size_t AllowedCrashes = 5;
    constexpr size_t AllowedLateArrivals = 3;
    bool isTooLate = false;
    {
        std::lock_guard lock(m_mutex);
        CrashingPart& known = m_crashingParts[part];
        isTooLate = isInTouch && known.crashes.size() >= AllowedCrashes
            && steadyNow() - known.crashes[AllowedCrashes - 1] > ContactTime
            && ++known.lateArrivals > AllowedLateArrivals;
    }
    if (isTooLate)
        recordViolation("budget", attempt + " reached an engine with the part " + part);
}

size_t RunHistory::partCrashes() const
{
    std::lock_guard lock(m_mutex);
    size_t count = 0;
    for (const auto& [part, known] : m_crashingParts)
        count += known.crashes.size();
    return count;
}

void RunHistory::recordViolation(std::string_view promise, const std::string& detail)
{
    const std::string time = std::to_string(age().count());
    std::lock_guard lock(m_mutex);
    m_violations.push_back(time + " ms " + std::string(promise) + ": " + detail);
}

void RunHistory::checkAtEnd()
{
    std::vector<std::pair<std::string_view, std::string>> found;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [attempt, targets] : m_runs) {
            if (!attempt.starts_with(AtMostOncePrefix))
                continue;
            if (targets.size() > 1)
                found.emplace_back("twice", attempt + " ran at " + targets[0] + ", " + targets[1]);
            const auto result = m_results.find(attempt);
            if (result != m_results.end() && result->second == CallerResult::Refused)
                found.emplace_back("refused", attempt + " was refused but ran at " + targets[0]);
        }
        for (const RetryLimit::Use& use : m_retryLimit.worstUses()) {
            if (static_cast<double>(use.retries) > use.allowed)
                found.emplace_back("retries",
                    std::to_string(use.retries) + " in a window at pool " + use.pool + ", allowed "
                        + std::to_string(use.allowed));
        }
    }
    for (const auto& [promise, detail] : found)
        recordViolation(promise, detail);
}

std::vector<std::string> RunHistory::violations() const
{
    std::lock_guard lock(m_mutex);
    return m_violations;
}

Milliseconds RunHistory::age() const
{
    return std::chrono::duration_cast<Milliseconds>(steadyNow() - m_start);
}

} // namespace citronspoke::soak

#pragma once

#include "RetryLimit.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace citronspoke::soak {

/**
 * How a caller's request ended: Refused is a 503 or 429, Failed another error status, Broken no
 * complete response.
 */
enum class CallerResult : uint8_t { Served, Refused, Failed, Broken };

/**
 * Records what targets ran and callers received in one run, and each violation of a guarantee.
 * Any thread may call.
 */
class RunHistory {
public:
    /** Prefix of the ids of attempts that may run at most once. */
    static constexpr std::string_view AtMostOncePrefix = "once";

    RunHistory();

    /** A caller's attempt. */
    struct SentAttempt {
        /** Address of the gateway that it was sent to. */
        std::string gateway;
        SteadyTime sentAt;
        /** None while the caller has no response. */
        std::optional<SteadyTime> answeredAt;
    };
    /** Records that a caller sends an attempt. @param pool to which its route leads. */
    void recordSent(
        const std::string& attempt, const std::string& gateway, const std::string& pool);
    /** Records that an attempt has reached a target, which may refuse it. */
    void recordArrival(const std::string& attempt, const std::string& pool, bool isPrefill);
    /** @return the largest use of the retry limit, for each pool. */
    std::vector<RetryLimit::Use> retryUses() const;
    /** @return none when no caller has sent the attempt. */
    std::optional<SentAttempt> sent(const std::string& attempt) const;
    /** Records that a target began to run an attempt. */
    void recordRun(const std::string& attempt, const std::string& target);
    void recordResult(const std::string& attempt, CallerResult result);
    /** Streams that callers resumed, and how many of these went on to their end. */
    struct Resumes {
        size_t all = 0;
        size_t served = 0;

        void add(const Resumes& other);
    };
    /** How gateways were killed. */
    enum class KillMode : uint8_t { Single, All };
    using ResumesByMode = std::map<KillMode, Resumes>;
    /** Records that all gateways were killed. */
    void recordKillOfAll();
    /** @return when all gateways were last killed. */
    std::optional<SteadyTime> lastKillOfAll() const;
    /** Records that a decode engine serves streams of a version; empty: of none any longer. */
    void recordServing(const std::string& engine, const std::string& version);
    /** @return whether a decode engine without a fault serves streams of the version. */
    bool isServing(const std::string& version) const;
    /** Records that a caller resumed a stream, with one or more tries, and whether it got the rest.
     * @param mode none when no engine of its version served all the time. */
    void recordResume(bool isServed, std::optional<KillMode> mode);
    Resumes resumes() const;
    /** @return the resumed streams of whose version an engine served all the time. */
    ResumesByMode resumesByMode() const;
    /** @return how often targets ran the attempt. */
    size_t runs(const std::string& attempt) const;
    /** @return how many attempts ended with this result. */
    size_t results(CallerResult result) const;
    /** Records that a prompt part has crashed an engine. */
    void recordPartCrash(const std::string& part);
    /**
     * Records that a request with a part that crashes engines has reached one; a violation when the
     * part must be known by then.
     * @param isInTouch whether the gateway has run for ContactTime.
     */
    void recordCrashingArrival(const std::string& part, const std::string& attempt, bool isInTouch);
    /** @return how many engines prompt parts have crashed. */
    size_t partCrashes() const;
    /** A gateway that has run for this long must have followed a fault before, as the deployments
     * require it. */
    static constexpr Milliseconds ContactTime { 3000 };
    /** @param promise the violated guarantee, in one word. */
    void recordViolation(std::string_view promise, const std::string& detail);
    /** Checks the at-most-once guarantee and the retry limit, once no request is in flight. */
    void checkAtEnd();
    /** @return one line for each violation, with the time since the start of the run. */
    std::vector<std::string> violations() const;
    /** @return the time since the start of the run. */
    Milliseconds age() const;

private:
    mutable std::mutex m_mutex;
    SteadyTime m_start;
    std::map<std::string, std::vector<std::string>> m_runs;
    std::map<std::string, SentAttempt> m_sent;
    std::map<std::string, CallerResult> m_results;
    RetryLimit m_retryLimit;
    std::vector<std::string> m_violations;
    /** What happened to requests with a part that crashes engines. */
    struct CrashingPart {
        std::vector<SteadyTime> crashes;
        /** Arrivals later than ContactTime after the last crash that is allowed. */
        size_t lateArrivals = 0;
    };
    std::map<std::string, CrashingPart> m_crashingParts;
    Resumes m_resumes;
    ResumesByMode m_resumesByMode;
    std::optional<SteadyTime> m_lastKillOfAll;
    std::map<std::string, std::string> m_servedVersions;
};

} // namespace citronspoke::soak

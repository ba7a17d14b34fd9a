// Model engines, and prompts of which one part crashes engines.
#pragma once

#include "Fleet.h"

#include <set>

namespace review {

/** The part that crashes engines. */
inline constexpr const char* BadPart = "bad1";

/**
 * Model engines, which keep their phases: three prefill prompts, six decode. An engine that begins
 * to write an answer on the bad part crashes, and is back after 2 s.
 */
class Engines {
public:
    struct Options {
        /** The bad part crashes engines. */
        bool crashes = true;
        /** An engine that crashes has sent its first event. */
        bool sendsFirstEvent = false;
    };

    Engines(Store& store, Record& record, const Options& options);

    /** @return when answers on the bad part began. */
    std::vector<Milliseconds> badRuns();

private:
    void handle(const Incarnation& incarnation, const Request& request, Connection& connection);
    std::string newHandle();
    bool takeHandle(const std::string& handle);
    void stream(const Incarnation& incarnation, const Request& request, Connection& connection);

    Record& m_record;
    Options m_options;
    std::mutex m_mutex;
    uint64_t m_lastHandle = 0;
    std::set<std::string> m_handles;
    std::vector<Milliseconds> m_badRuns;
    Fleet m_fleet;
};

/** @return the route of prompts. */
Route promptRoute();
/**
 * @param part one that prompts share, after the one that all prompts have and before their own.
 * @return a request in wire form.
 */
std::string promptRequest(const std::string& attempt, const std::string& part);

/** Sends sound prompts to all gateways until it is destroyed. */
class SoundCallers {
public:
    explicit SoundCallers(const Deployment& deployment);
    /** Ends the callers. @return number of prompts that were served. */
    size_t finish();

private:
    void send(const std::stop_token& stop, const std::string& gateway, const std::string& name);

    std::atomic<size_t> m_served { 0 };
    std::vector<std::jthread> m_threads;
};

/** Sends prompts with the bad part, every 2 s, at one gateway after the other. */
void sendBadPrompts(const Deployment& deployment, size_t count, Record& record);

/**
 * Checks the rule BUDGET for the bad part. All gateways must have been in touch.
 * @return 0 when it held, 1 when it was broken.
 */
int checkBadRuns(const std::vector<Milliseconds>& runs, Record& record);

} // namespace review

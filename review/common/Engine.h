#pragma once

#include "Fleet.h"

#include <set>

namespace review {

/** Which requests engines have run. Any thread may call. */
class Ledger {
public:
    void noteRun(const std::string& attempt);
    size_t runs(const std::string& attempt);

private:
    std::mutex m_mutex;
    std::multiset<std::string> m_runs;
};

/** A sound engine of the application service "desk". */
class Engine {
public:
    struct Options {
        /** How long it works on a request. */
        std::chrono::milliseconds workTime { 200 };
        size_t answerBytes = 800;
    };
    Engine(std::string id, const Options& options, Ledger& ledger, Record& record);

    const std::string& id() const { return m_id; }
    /** @return its entry in the store. */
    std::string entry() const;

private:
    void handle(const Request& request, ServerConnection& connection);

    std::string m_id;
    Options m_options;
    Ledger& m_ledger;
    Record& m_record;
    Server m_server;
};

/** @return an entry of the service "desk" with this address. */
std::string entryText(const std::string& address);
/** @return the answer of an engine to this attempt. */
std::string answerText(const std::string& attempt, size_t bytes);
/** @return a configuration with one route, "/desk/", to the service "desk". */
std::string configurationText(const std::string& routeKind, int timeoutMs);
/** @return a request of a client on the route "/desk/". */
std::string requestText(const std::string& attempt, int deadlineMs, const std::string& body);

} // namespace review

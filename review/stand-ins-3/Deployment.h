// A small deployment: the store, the gateways as processes, and what is written about the run.
#pragma once

#include "Store.h"

#include <deque>
#include <fstream>
#include <sys/types.h>

namespace review {

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(std::chrono::steady_clock::now())
    {
    }
    void note(const std::string& line);
    Milliseconds now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    SteadyTime m_start;
};

/** What the operator declares of a route. */
struct Route {
    std::string prefix;
    std::string kind = "idempotent";
    std::string service = "app";
    int timeoutMs = 1000;
    int attempts = 2;
    /** Requests declare their prompts, and a stream may be resumed. */
    bool carriesPrompts = false;
    bool isResumable = false;
};

/** What a server writes about itself. */
struct ServerEntry {
    std::string service;
    std::string address;
    /** Empty for an application. */
    std::string phase;
    std::string state = "ready";
    std::string version = "v1";
    /** Unix milliseconds of its start. */
    int64_t born = 0;
    int64_t sequence = 1;
};

/** @return the time of day in Unix milliseconds. */
int64_t unixNow();
std::string entryText(const ServerEntry& entry);
/** @return a request in wire form, with its attempt id and its deadline. */
std::string requestText(const std::string& method, const std::string& path,
    const std::string& attempt, Milliseconds deadline, const Fields& more = {},
    const std::string& body = {});

/** The store and the gateways. */
class Deployment {
public:
    /** @param folder where settings files and logs are written. */
    explicit Deployment(std::string folder)
        : m_folder(std::move(folder))
    {
    }
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Store& store() noexcept { return m_store; }
    /** Writes the operator's configuration. */
    void declare(int version, const std::vector<Route>& routes);
    /** Starts one more gateway. */
    void addGateway();
    size_t gateways() const noexcept { return m_gateways.size(); }
    /** @return the address for callers. */
    const std::string& callers(size_t gateway) const { return m_gateways.at(gateway).callers; }
    void signal(size_t gateway, int number) const;
    /** Ends a gateway with SIGKILL. */
    void kill(size_t gateway);
    void restart(size_t gateway);
    /** @return whether all gateways answer their readiness probes with 200 within the limit. */
    bool waitUntilReady(Milliseconds limit) const;

private:
    struct Gateway {
        std::string name;
        std::string callers;
        std::string readiness;
        std::string settings;
        pid_t process = -1;
    };
    void launch(Gateway& gateway, bool isFirstStart) const;

    std::string m_folder;
    Store m_store;
    std::deque<Gateway> m_gateways;
};

/** @return whether an environment variable is "0". */
bool isOff(const char* name);

/**
 * Runs a case: its arguments are a folder for temporary files and the path of its record.
 * @param play returns 0 when the rule held, 1 when it was broken, 2 when the case could not run.
 */
int runCase(int argc, char** argv,
    const std::function<int(const std::string& folder, Record& record)>& play);

} // namespace review

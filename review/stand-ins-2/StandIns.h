// Stand-ins for the cases 6 to 10: an HTTP server, the platform's store, a client and a child
// process.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace standins {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Writes lines with the time since the start to record.txt and standard output. */
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);
    Milliseconds now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/** Field names are in lower case. */
using Fields = std::map<std::string, std::string>;

struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;

    std::string field(const std::string& name) const;
};

struct Response {
    /** 0 without a complete head. */
    int status = 0;
    Fields fields;
    std::string body;
    /** The body came to the end that its head announced. */
    bool isComplete = false;
};

/** A TCP connection with blocking reads and writes. */
class Link {
public:
    explicit Link(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Link();
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    /** @return false once the connection is broken. */
    bool send(const std::string& bytes) const;
    /** Reads once. @return false at the end of the connection or of the time limit. */
    bool receive(std::string& bytes, size_t most = 65536) const;
    void setTimeout(Milliseconds limit) const;
    bool readRequest(Request& request);
    /** Ends the connection with a reset. */
    void reset();
    void close();
    int descriptor() const { return m_descriptor; }

private:
    int m_descriptor;
    std::string m_pending;
};

/** @param receiveBuffer 0 for the default. @return null when nobody listens. */
std::unique_ptr<Link> connectTo(int port, int receiveBuffer = 0);
std::string compose(const std::string& startLine,
    const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body);
/**
 * Sends a request and reads its response; handles a length, chunks, and an end with the channel.
 * @param mostBytes of one read.
 * @param beforeRead called before each read of the body, with the bytes of it received so far.
 */
Response fetch(Link& link, const std::string& request, size_t mostBytes = 65536,
    const std::function<void(size_t)>& beforeRead = {});

/** Serves HTTP on a free loopback port, one thread a connection. */
class Server {
public:
    using Handler = std::function<void(const Request&, Link&)>;
    explicit Server(Handler handler, int port = 0);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /** As a process that was killed: all connections and the listener are gone. */
    void crash();
    /** Resets the open connections and serves new ones. */
    void resetAll();

private:
    void acceptAll();
    void serve(int descriptor);

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<Link*> m_links;
    std::atomic<int> m_serving { 0 };
    std::thread m_acceptor;
};

/** The platform's store: keys, ranges, watches, transactions and leases. */
class Store {
public:
    Store();
    std::string address() const { return m_server.address(); }
    void put(const std::string& key, const std::string& value, int64_t lease = 0);
    /** Writes the key once the store is not silent any more; returns at once. */
    void putWhenUp(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** While set, calls get no response. */
    void setSilent(bool isSilent);

private:
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Event {
        std::string key;
        int64_t revision = 0;
        bool isDeleted = false;
        Item item;
    };

    void handle(const Request& request, Link& link);
    void handleWatch(const Fields& query, Link& link);
    void handleWrite(const Json& body, Link& link);
    void handleLease(const Request& request, Link& link);
    void putLocked(const std::string& key, const std::string& value, int64_t lease);
    void removeLocked(const std::string& key);
    void expireLeasesLocked();
    bool waitWhileSilent();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<int64_t, std::pair<Milliseconds, Clock::time_point>> m_leases;
    int64_t m_revision = 1;
    int64_t m_lastLease = 0;
    bool m_isSilent = false;
    std::map<std::string, std::string> m_waiting;
    Server m_server;
};

/** A program of the project, started with the command of the deploy file. */
class Process {
public:
    Process(const std::string& program, const std::string& settings, const std::string& name);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    /** @return none while it runs, else its status as waitpid() states it. */
    std::optional<int> ended();
    pid_t id() const { return m_id; }

private:
    pid_t m_id;
    std::optional<int> m_status;
};

int freePort();
/** A folder that is removed at the end of the program. */
std::string temporaryFolder();
/**
 * @param isFirstStart of the whole system.
 * @return the settings of a gateway as the deploy file's template gives them for a small site.
 */
std::string gatewaySettings(const std::string& name, const std::string& store, int callers,
    int readiness, int internal, int memoryMb, bool isFirstStart = true);
/** Waits until the readiness page says 200. */
bool waitUntilReady(int readinessPort, Milliseconds limit);
/** @return whether the disruption shall be left out. */
bool isCalm();

} // namespace standins

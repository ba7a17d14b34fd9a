#pragma once

#include "Http.h"

#include <chrono>
#include <condition_variable>
#include <map>

namespace review {

/** The platform's store: ranges, watches, conditional writes and leases. */
class Store {
public:
    Store();

    std::string address() const { return m_server.address(); }
    /** Writes a key, as the operator or an engine does. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** While set, every call is answered 503: "nothing was done". */
    void refuse(bool isRefusing) { m_isRefusing = isRefusing; }

private:
    using Clock = std::chrono::steady_clock;
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds timeToLive { 0 };
        Clock::time_point end;
    };
    /** A write, or without an item a removal. */
    struct Change {
        std::string key;
        int64_t revision = 0;
        std::optional<Item> item;
    };

    void handle(const Request& request, ServerConnection& connection);
    void range(const Request& request, ServerConnection& connection);
    void watch(const Request& request, ServerConnection& connection);
    void write(const Request& request, ServerConnection& connection);
    void grantLease(const Request& request, ServerConnection& connection);
    void renewLease(const Request& request, ServerConnection& connection);
    // The following are called with the mutex locked.
    void apply(const std::string& key, const std::optional<std::string>& value, int64_t lease);
    void expireLeases();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes;
    std::map<int64_t, Lease> m_leases;
    int64_t m_revision = 1;
    int64_t m_lastLease = 0;
    std::atomic<bool> m_isRefusing { false };
    Server m_server;
};

} // namespace review

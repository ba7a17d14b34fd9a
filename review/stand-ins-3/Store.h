// The platform's store as PROTOCOL.md describes it, in memory.
#pragma once

#include "Http.h"

#include <condition_variable>
#include <optional>

namespace review {

/** A store with ranges, watches, transactions and leases. Any thread may call. */
class Store {
public:
    Store();

    std::string address() const { return m_server.address(); }
    /** Writes a key, as the operator and the servers do. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Change {
        int64_t revision = 0;
        std::string key;
        /** None: the key was removed. */
        std::optional<Item> item;
    };
    struct Lease {
        Milliseconds timeToLive { 0 };
        SteadyTime end;
    };
    /** A status and a body. */
    using Answer = std::pair<uint32_t, std::string>;

    void handle(const Request& request, Connection& connection);
    Answer range(const std::string& prefix) const;
    Answer watch(std::unique_lock<std::mutex>& lock, const std::string& prefix, int64_t after,
        Milliseconds wait);
    Answer transact(const std::string& body);
    Answer grant(const std::string& body);
    Answer renew(int64_t lease);
    void apply(const std::string& key, const std::optional<std::string>& value, int64_t lease);
    void endLeases();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    int64_t m_revision = 1;
    int64_t m_lastLease = 0;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes;
    std::map<int64_t, Lease> m_leases;
    Server m_server;
};

} // namespace review

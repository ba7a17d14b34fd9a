#pragma once

#include "FakeHttpServer.h"

#include <condition_variable>
#include <map>

namespace citronspoke::fakes {

/**
 * An in-memory fake of the platform's key-value store over its HTTP interface, with ranges,
 * long-poll watches, writes and leases. Any thread may call.
 */
class FakeFleetStore {
public:
    FakeFleetStore();
    ~FakeFleetStore();

    fleet::Address address() const { return m_server->address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** Compacts the history: a watch from an earlier revision fails with 410. */
    void dropHistory();
    /** While set, every call is answered with 503. */
    void refuse(bool isRefusing) { m_isRefusing = isRefusing; }
    /** Delays every call by @p delay. */
    void slowDown(Milliseconds delay) { m_delay = delay; }
    /** While set, writes take effect, but the connection is reset before the response. */
    void loseAnswers(bool isLosing) { m_isLosingResponses = isLosing; }
    /** Expires all leases at once, as after a long outage. */
    void endLeases();
    /** @return all keys with their values. */
    std::map<std::string, std::string> contents() const;

private:
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Lease {
        Milliseconds timeToLive { 0 };
        SteadyTime end;
    };
    struct Change {
        std::string key;
        int64_t revision = 0;
        std::optional<Item> item;
    };

    void handle(const FakeRequest& request, FakeConnection& connection);
    std::string range(const std::string& prefix);
    std::optional<std::string> watch(const std::string& prefix, int64_t after, Milliseconds wait);
    void handleWrite(const FakeRequest& request, FakeConnection& connection);
    void handleLease(const FakeRequest& request, FakeConnection& connection);
    void apply(const std::string& key, const std::optional<std::string>& value, int64_t lease = 0);
    void dropLease(int64_t lease);
    void expireLeases();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes;
    int64_t m_revision = 1;
    int64_t m_oldestRevision = 0;
    int64_t m_lastLease = 0;
    std::map<int64_t, Lease> m_leases;
    std::atomic<bool> m_isRefusing { false };
    std::atomic<bool> m_isLosingResponses { false };
    std::atomic<Milliseconds> m_delay { Milliseconds(0) };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<FakeHttpServer> m_server;
};

} // namespace citronspoke::fakes

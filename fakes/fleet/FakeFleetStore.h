#pragma once

#include "FakeHttpServer.h"

#include <condition_variable>
#include <map>

namespace citronspoke::fakes {

/**
 * An in-memory fake of the platform's key-value store over its HTTP interface, with ranges,
 * long-poll watches, writes, leases and restores. Any thread may call.
 */
class FakeFleetStore {
public:
    FakeFleetStore();
    ~FakeFleetStore();

    fleet::Address address() const { return m_server->address(); }
    /** @return another address of the same store, for processes that it can refuse alone. */
    fleet::Address secondAddress() const { return m_secondServer->address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** Compacts the history: a watch from an earlier revision fails with 410. */
    void dropHistory();
    /** While set, every call is answered with 503. */
    void refuse(bool isRefusing) { m_isRefusing = isRefusing; }
    /** While set, every call at the second address is answered with 503. */
    void refuseSecondAddress(bool isRefusing);
    /** While set, every write and lease call is answered with 503. */
    void refuseWrites(bool isRefusing) { m_isRefusingWrites = isRefusing; }
    /** Delays every call by @p delay. */
    void slowDown(Milliseconds delay) { m_delay = delay; }
    /** While set, writes take effect, but the connection is reset before the response. */
    void loseAnswers(bool isLosing) { m_isLosingResponses = isLosing; }
    /** @return the era that every response states. */
    int64_t era() const;
    struct Copy;
    /** @return the contents, revision and leases as they are now. */
    std::shared_ptr<const Copy> copy() const;
    /**
     * Continues from an older copy in a new era: writes and leases since then are lost, and their
     * revisions and lease numbers are given out again. Waiting watches are cut.
     */
    void restore(const Copy& copy);
    /** @return the number of a new lease, as another process would get it. */
    int64_t grantLease(Milliseconds timeToLive);
    /** @return the lease of a key; 0 when it has none or is missing. */
    int64_t leaseOf(const std::string& key) const;
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

    /** A response and the era in which the call was executed. */
    struct Outcome {
        uint32_t status = 0;
        int64_t era = 0;
        std::string body;
    };

    void handle(const FakeRequest& request, FakeConnection& connection);
    Outcome range(const std::string& prefix);
    /** @return none when the store was restored while the watch waited. */
    std::optional<Outcome> watch(const std::string& prefix, int64_t after, Milliseconds wait);
    void handleWrite(const FakeRequest& request, FakeConnection& connection);
    void handleLease(const FakeRequest& request, FakeConnection& connection);
    void apply(const std::string& key, const std::optional<std::string>& value, int64_t lease = 0);
    void dropLease(int64_t lease);
    void expireLeases();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    struct Contents {
        std::map<std::string, Item> items;
        std::vector<Change> changes;
        int64_t revision = 1;
        int64_t oldestRevision = 0;
        int64_t lastLease = 0;
        std::map<int64_t, Lease> leases;
    };

    Contents m_contents;
    std::atomic<int64_t> m_era { 1 };
    std::atomic<bool> m_isRefusing { false };
    std::atomic<bool> m_isRefusingWrites { false };
    std::atomic<bool> m_isLosingResponses { false };
    std::atomic<Milliseconds> m_delay { Milliseconds(0) };
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isRefusingSecond { false };
    std::unique_ptr<FakeHttpServer> m_server;
    std::unique_ptr<FakeHttpServer> m_secondServer;
};

struct FakeFleetStore::Copy {
    Contents contents;
};

} // namespace citronspoke::fakes

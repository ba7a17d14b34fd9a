#pragma once

#include "FakeHttpServer.h"

#include <condition_variable>
#include <map>

namespace citronspoke::fakes {

/** The platform's store in the users' form: ranges, watches, writes and leases, in memory. */
class FakeFleetStore {
public:
    FakeFleetStore();
    ~FakeFleetStore();

    fleet::Address address() const { return m_server->address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** From now on the history before this moment is gone. */
    void dropHistory();
    /** While it is set, every call is refused. */
    void refuse(bool isRefusing) { m_isRefusing = isRefusing; }
    /** Every call takes so much longer. */
    void slowDown(Milliseconds delay) { m_delay = delay; }
    /** While it is set, writes are done and not answered. */
    void loseAnswers(bool isLosing) { m_isLosingAnswers = isLosing; }
    /** Ends all leases at once, as when they lapse during an outage. */
    void endLeases();
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
    std::atomic<bool> m_isLosingAnswers { false };
    std::atomic<Milliseconds> m_delay { Milliseconds(0) };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<FakeHttpServer> m_server;
};

} // namespace citronspoke::fakes

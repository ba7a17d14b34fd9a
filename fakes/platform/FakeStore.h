#pragma once

#include "transport/Transport.h"

#include <nlohmann/json.hpp>

namespace citronspoke::fakes {

/**
 * A fake key-value store. Takes and returns the bodies of the etcd v3 JSON protocol. Any thread
 * may call.
 */
class FakeStore {
public:
    nlohmann::json range(const nlohmann::json& body);
    nlohmann::json transact(const nlohmann::json& body);
    nlohmann::json grantLease(const nlohmann::json& body);
    nlohmann::json keepAlive(const nlohmann::json& body);
    nlohmann::json revoke(const nlohmann::json& body);
    /** Responds at the key's next change, or at once if its value is not older than requested. */
    void watch(const nlohmann::json& body, const transport::HttpExchangePointer& exchange);
    /** Removes the keys of expired leases. */
    void expireLeases();

private:
    struct Value {
        std::string text;
        int64_t revision = 0;
        int64_t lease = 0;
    };
    struct Lease {
        SteadyTime deadline;
        std::chrono::seconds timeToLive { 0 };
    };
    struct Watcher {
        std::string key;
        transport::HttpExchangePointer exchange;
    };

    nlohmann::json header() const;
    void removeLease(int64_t lease);
    void notify(const std::string& key);

    std::mutex m_mutex;
    int64_t m_revision = 1;
    int64_t m_lastLease = 1000;
    std::map<std::string, Value> m_values;
    std::map<int64_t, Lease> m_leases;
    std::vector<Watcher> m_watchers;
};

} // namespace citronspoke::fakes

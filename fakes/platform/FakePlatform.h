#pragma once

#include "FakeStore.h"

namespace citronspoke::fakes {

/** The faults injected at one endpoint; each client under test can have an endpoint of its own. */
struct EndpointFaults {
    bool isDown = false;
    /** While set, calls to the store wait. */
    bool isHanging = false;
    /** Added to each call to the store. */
    Milliseconds delay { 0 };
    /** Number of next writes that take effect, but whose connection is cut before the response. */
    int responsesToLose = 0;
};

/**
 * Fakes the platform's services: key-value store, list of VMs and weight store. It serves on one
 * or more endpoints (addresses), which share the state and whose faults are set one by one.
 */
class FakePlatform {
public:
    /** @param endpoints addresses to serve on, IP:PORT. */
    explicit FakePlatform(std::span<const std::string> endpoints);
    /** Expires leases until a stop is requested. */
    void run(const std::stop_token& token);

private:
    void handle(const std::string& endpoint, const transport::HttpExchangePointer& exchange);
    void handleStore(const std::string& endpoint, const transport::HttpExchangePointer& exchange);
    nlohmann::json storeResponse(const std::string& path, const nlohmann::json& body);
    void setFaults(const std::string& endpoint, const nlohmann::json& body);
    void setVm(const nlohmann::json& body);
    nlohmann::json vmList();
    nlohmann::json counters();
    transport::HttpResponse weights();

    FakeStore m_store;
    std::mutex m_mutex;
    std::map<std::string, EndpointFaults> m_faults;
    std::map<std::string, std::string> m_vms;
    std::map<std::string, int64_t> m_calls;
    /** Token bucket of the weight store; a read takes one token. */
    double m_weightTokens = 2;
    SteadyTime m_weightRefill;
    std::vector<std::unique_ptr<transport::HttpServer>> m_servers;
};

} // namespace citronspoke::fakes

#pragma once

#include "FakeStore.h"

namespace citronspoke::fakes {

/** The failures of one front; each client under test can have a front of its own. */
struct FrontFaults {
    bool isDown = false;
    /** Calls wait until this is cleared. */
    bool isHanging = false;
    Milliseconds delay { 0 };
    /** So many coming writes take effect, but their connection is cut before the answer. */
    int answersToLose = 0;
};

/**
 * The platform's services: key-value store, list of VMs and weight store. It is reached by one
 * or more fronts (ports), which share the state and fail one by one.
 */
class FakePlatform {
public:
    explicit FakePlatform(std::span<const std::string> fronts);
    void run(const std::stop_token& token);

private:
    void handle(const std::string& front, const transport::HttpExchangePointer& exchange);
    void handleStore(const std::string& front, const transport::HttpExchangePointer& exchange);
    nlohmann::json storeAnswer(const std::string& path, const nlohmann::json& body);
    void setFaults(const std::string& front, const nlohmann::json& body);
    void setVm(const nlohmann::json& body);
    nlohmann::json vmList();
    nlohmann::json counters();
    transport::HttpResponse weights();

    FakeStore m_store;
    std::mutex m_mutex;
    std::map<std::string, FrontFaults> m_faults;
    std::map<std::string, std::string> m_vms;
    std::map<std::string, int64_t> m_calls;
    /** The weight store serves so many reads at once. */
    double m_weightTokens = 2;
    SteadyTime m_weightRefill;
    std::vector<std::unique_ptr<transport::HttpServer>> m_servers;
};

} // namespace citronspoke::fakes

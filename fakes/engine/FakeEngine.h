#pragma once

#include "BatchModel.h"
#include "TokenText.h"
#include "transport/Transport.h"

#include <nlohmann/json.hpp>

namespace citronspoke::fakes {

/** Settings of a fake engine. */
struct EngineOptions {
    /** IP:PORT to serve on. */
    std::string listen;
    BatchTiming timing;
    uint32_t slots = 16;
    /** Capacity of the KV cache in tokens. */
    uint64_t cacheTokens = 200000;
    EngineRole role = EngineRole::Mixed;
    /** Refuses stale orders and orders during a role change; some engines do not. */
    bool checksFencing = true;
    /** How long a change of role takes. */
    Milliseconds roleChangeDuration { 2000 };
    /** How long the engine is unreachable after a crash. */
    Milliseconds crashDuration { 1000 };
};

/**
 * A fake model engine: it streams tokens, carries out role orders and crashes on prompts that
 * contain the crash marker. Server threads and the thread of run() share its state under a mutex.
 */
class FakeEngine {
public:
    explicit FakeEngine(EngineOptions options);
    /** Runs batch steps in real time until a stop is requested. */
    void run(const std::stop_token& token);

private:
    struct Stream {
        transport::HttpExchangePointer exchange;
        uint64_t promptHash = 0;
    };
    struct RoleChange {
        int64_t fencing = 0;
        int64_t sequence = 0;
        EngineRole role = EngineRole::Mixed;
        SteadyTime end;
    };

    void handle(const transport::HttpExchangePointer& exchange);
    void startStream(const transport::HttpExchangePointer& exchange);
    transport::HttpResponse handleOrder(const nlohmann::json& order);
    void beginRoleChange(const nlohmann::json& order);
    void finishRoleChange();
    void crash();
    void emit(const GeneratedToken& token);
    void refreshLoad();
    nlohmann::json state();
    bool isUnavailable() const;

    EngineOptions m_options;
    std::mutex m_mutex;
    BatchModel m_batch;
    std::map<StreamNumber, Stream> m_streams;
    StreamNumber m_lastStream;
    EngineRole m_role;
    std::optional<RoleChange> m_roleChange;
    int64_t m_fencing = 0;
    int64_t m_sequence = 0;
    SteadyTime m_crashEnd;
    std::string m_incarnation;
    /** The last load report; like a real engine's, it lags behind the batch. */
    nlohmann::json m_load;
    SteadyTime m_loadRefreshed;
    nlohmann::json m_orders = nlohmann::json::array();
    int64_t m_cutStreams = 0;
    int64_t m_conflictingOrders = 0;
    int64_t m_staleOrders = 0;
    int64_t m_crashes = 0;
    int64_t m_roleChanges = 0;
    int64_t m_cancelled = 0;
    std::unique_ptr<transport::HttpServer> m_server;
};

} // namespace citronspoke::fakes

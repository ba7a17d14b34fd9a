#pragma once

#include "BatchModel.h"
#include "TokenText.h"
#include "transport/Transport.h"

#include <nlohmann/json.hpp>

namespace citronspoke::fakes {

struct EngineOptions {
    std::string listen;
    BatchTiming timing;
    uint32_t slots = 16;
    uint64_t cacheTokens = 200000;
    EngineRole role = EngineRole::Mixed;
    bool checksFencing = true;
    Milliseconds changeDuration { 2000 };
    Milliseconds crashDuration { 1000 };
};

/** A stand-in model engine: streams answers, takes orders and crashes on marked prompts. */
class FakeEngine {
public:
    explicit FakeEngine(EngineOptions options);
    /** Steps the batch until asked to stop. */
    void run(const std::stop_token& token);

private:
    struct Stream {
        transport::HttpExchangePointer exchange;
        uint64_t promptHash = 0;
    };
    struct Change {
        int64_t fencing = 0;
        int64_t sequence = 0;
        EngineRole role = EngineRole::Mixed;
        SteadyTime end;
    };

    void handle(const transport::HttpExchangePointer& exchange);
    void startStream(const transport::HttpExchangePointer& exchange);
    transport::HttpResponse takeOrder(const nlohmann::json& order);
    void beginChange(const nlohmann::json& order);
    void finishChange();
    void crash();
    void emit(const GeneratedToken& token);
    void refreshLoad();
    nlohmann::json state();
    bool isAway() const;

    EngineOptions m_options;
    std::mutex m_mutex;
    BatchModel m_batch;
    std::map<StreamNumber, Stream> m_streams;
    StreamNumber m_lastStream;
    EngineRole m_role;
    std::optional<Change> m_change;
    int64_t m_fencing = 0;
    int64_t m_sequence = 0;
    SteadyTime m_crashEnd;
    std::string m_incarnation;
    /** The load report, refreshed with a lag. */
    nlohmann::json m_load;
    SteadyTime m_loadRefreshed;
    nlohmann::json m_orders = nlohmann::json::array();
    int64_t m_cutStreams = 0;
    int64_t m_conflicts = 0;
    int64_t m_staleOrders = 0;
    int64_t m_crashes = 0;
    int64_t m_changes = 0;
    int64_t m_cancelled = 0;
    std::unique_ptr<transport::HttpServer> m_server;
};

} // namespace citronspoke::fakes

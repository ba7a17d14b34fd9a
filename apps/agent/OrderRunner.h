#pragma once

#include "AgentCore.h"

namespace citronspoke::agent {

/**
 * Executes the orders of a control shard for this engine, one at a time, on a worker thread. Each
 * order is read from the store; messages only trigger an earlier read. While the store is
 * unreachable no order is started.
 */
class OrderRunner final : public Service {
public:
    OrderRunner(const settings::AgentSettings& settings, const platform::Store& store,
        const control::ConfigHolder& config, AgentCore& core);

    std::string_view name() const noexcept override { return "orders"; }
    void start() override;
    void stop() override;

private:
    /** The state that the engine reports. */
    struct EngineState {
        EngineRole role = EngineRole::Mixed;
        bool isChanging = false;
    };
    enum class SendOutcome : uint8_t { Accepted, Refused, NoResponse };

    void run(const std::stop_token& token);
    /** Adopts the engine's role, after waiting for a change that an earlier agent started. */
    void adoptEngineState(const std::stop_token& token);
    /**
     * @return the stored order for this engine that is not done; none when there is none.
     * @throws platform::StoreUnavailable
     */
    std::optional<control::Order> pendingOrder() const;
    void execute(const control::Order& order, const std::stop_token& token);
    SendOutcome sendToEngine(const control::Order& order) const;
    std::optional<EngineState> engineState() const;
    /** @return false when asked to stop. */
    bool waitUntilDrained(const std::stop_token& token);

    const settings::AgentSettings& m_settings;
    const platform::Store& m_store;
    const control::ConfigHolder& m_config;
    AgentCore& m_core;
    /** Why the worker thread wakes early: a possible new order, or a crash of the target. */
    enum class WakeReason : uint8_t { OrderHint, TargetCrash };
    BoundedQueue<WakeReason> m_wakeReasons;
    protocol::OrderProgress m_progress;
    std::optional<WorkerThread> m_worker;
};

} // namespace citronspoke::agent

#pragma once

#include "AgentCore.h"

namespace citronspoke::agent {

/**
 * Carries out the orders of a control shard, one at a time. The order is read fresh from the
 * store; messages only hint at it. With the store away no order is begun.
 */
class OrderRunner final : public Service {
public:
    OrderRunner(const settings::AgentSettings& settings, const platform::Store& store,
        const control::ConfigHolder& config, AgentCore& core);

    std::string_view name() const noexcept override { return "orders"; }
    void start() override;
    void stop() override;

private:
    /** What the engine says of itself. */
    struct EngineState {
        EngineRole role = EngineRole::Mixed;
        bool isChanging = false;
    };
    enum class GiveOutcome : uint8_t { Taken, Refused, NoAnswer };

    void run(const std::stop_token& token);
    /** Learns the engine's role, and waits out a change that an earlier agent began. */
    void adoptEngineState(const std::stop_token& token);
    std::optional<control::Order> standingOrder() const;
    void carryOut(const control::Order& order, const std::stop_token& token);
    GiveOutcome give(const control::Order& order) const;
    std::optional<EngineState> engineState() const;
    bool waitUntilEmpty(const std::stop_token& token);

    const settings::AgentSettings& m_settings;
    const platform::Store& m_store;
    const control::ConfigHolder& m_config;
    AgentCore& m_core;
    /** What wakes the duty: an order to look for, or a target that crashed. */
    enum class Wake : uint8_t { OrderHint, TargetLost };
    Ring<Wake> m_wakes;
    protocol::OrderProgress m_progress;
    std::optional<Duty> m_duty;
};

} // namespace citronspoke::agent

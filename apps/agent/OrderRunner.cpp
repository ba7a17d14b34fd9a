#include "OrderRunner.h"

#include "telemetry/Telemetry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace citronspoke::agent {

namespace {

    using telemetry::EventKind;

    constexpr size_t WakeCapacity = 16;
    constexpr Milliseconds PollInterval { 4000 };
    constexpr Milliseconds EnginePollInterval { 100 };
    constexpr Milliseconds EngineCallLimit { 1000 };

    std::string orderText(const control::Order& order)
    {
        return "fencing=" + std::to_string(order.fencing.value()) + " sequence="
            + std::to_string(order.sequence.value()) + " role=" + std::string(toText(order.role));
    }

} // namespace

OrderRunner::OrderRunner(const settings::AgentSettings& settings, const platform::Store& store,
    const control::ConfigHolder& config, AgentCore& core)
    : m_settings(settings)
    , m_store(store)
    , m_config(config)
    , m_core(core)
    , m_wakes(WakeCapacity)
{
    m_core.onOrderHint([this] { m_wakes.tryPush(Wake::OrderHint); });
    m_core.onTargetLost([this] { m_wakes.tryPush(Wake::TargetLost); });
}

void OrderRunner::start()
{
    m_duty.emplace("orders", [this](const std::stop_token& token) { run(token); });
}

void OrderRunner::stop()
{
    m_duty->requestStop();
    m_wakes.close();
    m_duty.reset();
}

void OrderRunner::run(const std::stop_token& token)
{
    adoptEngineState(token);
    std::deque<Wake> wakes;
    while (!token.stop_requested()) {
        try {
            if (const std::optional<control::Order> order = standingOrder())
                carryOut(*order, token);
        } catch (const platform::StoreUnavailable&) {
            telemetry::count("order_polls_failed");
        }
        m_wakes.popAll(wakes, jittered(PollInterval));
        if (std::find(wakes.begin(), wakes.end(), Wake::TargetLost) != wakes.end())
            adoptEngineState(token);
    }
}

void OrderRunner::adoptEngineState(const std::stop_token& token)
{
    bool isWaiting = false;
    do {
        const std::optional<EngineState> state = engineState();
        if (state && !state->isChanging) {
            m_core.post(ChangeEnded { state->role, m_progress });
            return;
        }
        if (state && !isWaiting) {
            isWaiting = true;
            m_core.post(EmptyTarget { std::make_shared<std::promise<void>>() });
        }
    } while (sleepUnlessStopped(token, EnginePollInterval));
}

std::optional<control::Order> OrderRunner::standingOrder() const
{
    const settings::DeploymentPointer deployment = m_config.current();
    const TargetId self(m_settings.process.id);
    if (!deployment || !deployment->targets.contains(self))
        return std::nullopt;
    const std::optional<control::Order> order
        = control::readOrder(m_store, deployment->targets.at(self).pool, self);
    if (!order || order->isDone)
        return std::nullopt;
    const bool isDoneHere = order->fencing == m_progress.fencing
        && order->sequence == m_progress.sequence && m_progress.done;
    return isDoneHere ? std::nullopt : order;
}

void OrderRunner::carryOut(const control::Order& order, const std::stop_token& token)
{
    const TargetId self(m_settings.process.id);
    m_progress = { order.fencing, order.sequence, false };
    telemetry::record(EventKind::OrderBegun, {}, self, orderText(order));
    telemetry::logInfo("orders", "Order begun.", { { "order", orderText(order) } });
    failurePoint("order.after_read");
    if (!waitUntilEmpty(token))
        return;
    const std::optional<EngineState> before = engineState();
    const bool isInForce = before && !before->isChanging && before->role == order.role;
    bool isTaken = isInForce;
    do {
        const std::optional<EngineState> state = engineState();
        const bool isReady = state && !state->isChanging;
        if (isReady && state->role == order.role && isTaken) {
            m_progress.done = true;
            telemetry::record(EventKind::OrderDone, {}, self, orderText(order));
            m_core.post(ChangeEnded { order.role, m_progress });
            return;
        }
        if (!isReady)
            continue;
        failurePoint("order.before_give");
        const GiveOutcome outcome = give(order);
        failurePoint("order.after_give");
        isTaken = outcome == GiveOutcome::Taken;
        if (outcome == GiveOutcome::Refused) {
            telemetry::record(EventKind::OrderRefused, {}, self, orderText(order));
            telemetry::count("orders_refused");
            m_core.post(ChangeEnded { state->role, m_progress });
            return;
        }
    } while (sleepUnlessStopped(token, EnginePollInterval));
}

bool OrderRunner::waitUntilEmpty(const std::stop_token& token)
{
    const auto done = std::make_shared<std::promise<void>>();
    std::future<void> emptied = done->get_future();
    m_core.post(EmptyTarget { done });
    while (emptied.wait_for(EnginePollInterval) != std::future_status::ready) {
        if (token.stop_requested())
            return false;
    }
    return true;
}

OrderRunner::GiveOutcome OrderRunner::give(const control::Order& order) const
{
    constexpr uint32_t HttpOk = 200;
    transport::HttpRequest request;
    request.method = "POST";
    request.target = m_settings.target + "/control/orders";
    request.body = nlohmann::json {
        { "fencing", order.fencing.value() }, { "sequence", order.sequence.value() },
        { "kind", "set_role" }, { "role", toText(order.role) }
    }.dump();
    try {
        const transport::HttpResponse response = transport::callHttp(request, EngineCallLimit);
        return response.status == HttpOk ? GiveOutcome::Taken : GiveOutcome::Refused;
    } catch (const transport::HttpFailed&) {
        return GiveOutcome::NoAnswer;
    }
}

std::optional<OrderRunner::EngineState> OrderRunner::engineState() const
{
    transport::HttpRequest request;
    request.target = m_settings.target + "/control/state";
    try {
        const transport::HttpResponse response = transport::callHttp(request, EngineCallLimit);
        const nlohmann::json body = nlohmann::json::parse(response.body);
        EngineState state;
        state.role
            = engineRoleFromText(body.at("role").get<std::string>()).value_or(EngineRole::Mixed);
        state.isChanging = body.at("changing");
        return state;
    } catch (const transport::HttpFailed&) {
        return std::nullopt;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace citronspoke::agent

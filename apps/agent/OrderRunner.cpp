#include "OrderRunner.h"

#include "telemetry/Telemetry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace citronspoke::agent {

namespace {

    using telemetry::EventKind;

    constexpr size_t WakeQueueCapacity = 16;
    constexpr Milliseconds PollInterval { 4000 };
    constexpr Milliseconds EnginePollInterval { 100 };
    constexpr Milliseconds EngineCallTimeout { 1000 };

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
    , m_wakeReasons(WakeQueueCapacity)
{
    m_core.onOrderHint([this] { m_wakeReasons.tryPush(WakeReason::OrderHint); });
    m_core.onTargetCrash([this] { m_wakeReasons.tryPush(WakeReason::TargetCrash); });
}

void OrderRunner::start()
{
    m_worker.emplace("orders", [this](const std::stop_token& token) { run(token); });
}

void OrderRunner::stop()
{
    m_worker->requestStop();
    m_wakeReasons.close();
    m_worker.reset();
}

void OrderRunner::run(const std::stop_token& token)
{
    adoptEngineState(token);
    std::deque<WakeReason> reasons;
    while (!token.stop_requested()) {
        try {
            if (const std::optional<control::Order> order = pendingOrder())
                execute(*order, token);
        } catch (const platform::StoreUnavailable&) {
            telemetry::count("order_polls_failed");
        }
        m_wakeReasons.popAll(reasons, jittered(PollInterval));
        if (std::find(reasons.begin(), reasons.end(), WakeReason::TargetCrash) != reasons.end())
            adoptEngineState(token);
    }
}

void OrderRunner::adoptEngineState(const std::stop_token& token)
{
    bool isDrainRequested = false;
    do {
        const std::optional<EngineState> state = engineState();
        if (state && !state->isChanging) {
            m_core.post(EngineReady { state->role, m_progress });
            return;
        }
        if (state && !isDrainRequested) {
            isDrainRequested = true;
            m_core.post(DrainForChange { std::make_shared<std::promise<void>>() });
        }
    } while (sleepUnlessStopped(token, EnginePollInterval));
}

std::optional<control::Order> OrderRunner::pendingOrder() const
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

void OrderRunner::execute(const control::Order& order, const std::stop_token& token)
{
    const TargetId self(m_settings.process.id);
    m_progress = { order.fencing, order.sequence, false };
    telemetry::record(EventKind::OrderBegun, {}, self, orderText(order));
    telemetry::logInfo("orders", "Started executing an order.", { { "order", orderText(order) } });
    failurePoint("order.after_read");
    if (!waitUntilDrained(token))
        return;
    const std::optional<EngineState> before = engineState();
    const bool hasRoleAlready = before && !before->isChanging && before->role == order.role;
    bool isAccepted = hasRoleAlready;
    do {
        const std::optional<EngineState> state = engineState();
        const bool isReady = state && !state->isChanging;
        if (isReady && state->role == order.role && isAccepted) {
            m_progress.done = true;
            telemetry::record(EventKind::OrderDone, {}, self, orderText(order));
            m_core.post(EngineReady { order.role, m_progress });
            return;
        }
        if (!isReady)
            continue;
        failurePoint("order.before_give");
        const SendOutcome outcome = sendToEngine(order);
        failurePoint("order.after_give");
        isAccepted = outcome == SendOutcome::Accepted;
        if (outcome == SendOutcome::Refused) {
            telemetry::record(EventKind::OrderRefused, {}, self, orderText(order));
            telemetry::count("orders_refused");
            m_core.post(EngineReady { state->role, m_progress });
            return;
        }
    } while (sleepUnlessStopped(token, EnginePollInterval));
}

bool OrderRunner::waitUntilDrained(const std::stop_token& token)
{
    const auto done = std::make_shared<std::promise<void>>();
    std::future<void> drained = done->get_future();
    m_core.post(DrainForChange { done });
    while (drained.wait_for(EnginePollInterval) != std::future_status::ready) {
        if (token.stop_requested())
            return false;
    }
    return true;
}

OrderRunner::SendOutcome OrderRunner::sendToEngine(const control::Order& order) const
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
        const transport::HttpResponse response = transport::callHttp(request, EngineCallTimeout);
        return response.status == HttpOk ? SendOutcome::Accepted : SendOutcome::Refused;
    } catch (const transport::HttpFailed&) {
        return SendOutcome::NoResponse;
    }
}

std::optional<OrderRunner::EngineState> OrderRunner::engineState() const
{
    transport::HttpRequest request;
    request.target = m_settings.target + "/control/state";
    try {
        const transport::HttpResponse response = transport::callHttp(request, EngineCallTimeout);
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

#include "RoleReconciler.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::sidecar {

namespace {

    constexpr Milliseconds CheckInterval { 500 };
    constexpr Milliseconds RequestTimeout { 1000 };
    /** A plan must hold this long before an order, so that the brief loss of an engine changes no
     * roles. */
    constexpr Milliseconds DecodeShortageDelay { 2500 };
    /** Longer: a decode engine that starts while others are being replaced is often needed soon. */
    constexpr Milliseconds DecodeSurplusDelay { 7000 };
    /** At startup no work is in flight, and only the target records have to settle. */
    constexpr Milliseconds StartupPlanDelay { 700 };
    constexpr Milliseconds StartupPeriod { 8000 };
    /** An order without a response may still be carried out; checks resume after this. */
    constexpr Milliseconds OrderSettleTime { 4000 };

} // namespace

RoleReconciler::RoleReconciler(channels::EventLoop& loop, const settings::SidecarSettings& settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_engine(fleet::requireAddress(settings.engine))
    , m_store(fleet::requireAddress(settings.store))
    , m_pool(loop, {})
    , m_targetFeed(loop, m_pool, m_store,
          { std::string(adapter::TargetPrefix), storefeed::Polling {} },
          { [this](std::span<const adapter::StoreItem> items, SteadyTime) { onTargets(items); },
              {} })
    , m_roleFeed(loop, m_pool, m_store,
          { std::string(storefeed::RolePrefix), storefeed::Polling {} },
          { [this](
                std::span<const adapter::StoreItem> items, SteadyTime) { onOrderedRoles(items); },
              {} })
    , m_operatorServer(loop, fleet::requireAddress(settings.operatorAddress),
          [](std::string_view) {
              return channels::StatusServer::Page { 200, "text/plain", telemetry::metricsText() };
          })
    , m_timer(loop)
    , m_startedAt(steadyNow())
{
}

void RoleReconciler::start()
{
    m_targetFeed.start();
    m_roleFeed.start();
    reconcileLater(CheckInterval);
}

void RoleReconciler::onTargets(std::span<const adapter::StoreItem> items)
{
    m_targets.clear();
    for (const adapter::StoreItem& item : items)
        addTarget(item);
}

void RoleReconciler::addTarget(const adapter::StoreItem& item)
{
    try {
        const fleet::TargetRecord target = adapter::decodeTarget(item);
        m_targets[target.id] = target;
    } catch (const adapter::DocumentUnreadable& unreadable) {
        m_targets.erase(TargetId(item.key.substr(adapter::TargetPrefix.size())));
        telemetry::logWarning("targets", "Skipped an unreadable target record.",
            { { "key", item.key }, { "cause", unreadable.describe() } });
    }
}

const fleet::TargetRecord* RoleReconciler::ownRecord() const
{
    for (const auto& [id, target] : m_targets) {
        if (target.address == m_engine && !target.isLeaving)
            return &target;
    }
    return nullptr;
}

std::optional<EngineRole> RoleReconciler::desiredRole() const
{
    const fleet::TargetRecord* own = ownRecord();
    // While the store is unreachable the records may be stale, and so would be the plan.
    if (!own || !m_targetFeed.isConnected())
        return std::nullopt;
    std::vector<fleet::TargetRecord> engines;
    for (const auto& [id, target] : m_targets) {
        if (target.pool != own->pool)
            continue;
        // An order to this engine itself may have been lost, so its current role counts.
        engines.push_back(
            id == own->id ? target : dispatch::withOrderedRole(target, m_orderedRoles));
    }
    return dispatch::plannedRoleChange(dispatch::planDecodeEngines(m_plan, engines), *own);
}

void RoleReconciler::reconcile()
{
    const std::optional<EngineRole> desired = desiredRole();
    const SteadyTime now = steadyNow();
    if (desired != m_desiredRole) {
        m_desiredRole = desired;
        m_desiredRoleSince = now;
    }
    const bool isStartingUp = now - m_startedAt < StartupPeriod;
    Milliseconds requiredDelay
        = desired == EngineRole::Decode ? DecodeShortageDelay : DecodeSurplusDelay;
    if (isStartingUp)
        requiredDelay = StartupPlanDelay;
    const fleet::TargetRecord* own = ownRecord();
    if (desired && now - m_desiredRoleSince >= requiredDelay) {
        requestReport(*desired);
        return;
    }
    const auto ordered = own ? m_orderedRoles.find(own->id) : m_orderedRoles.end();
    if (!desired && ordered != m_orderedRoles.end() && ordered->second != own->role
        && now - m_desiredRoleSince >= OrderSettleTime) {
        withdrawOrder(*own->role);
        return;
    }
    reconcileLater(CheckInterval);
}

void RoleReconciler::onOrderedRoles(std::span<const adapter::StoreItem> items)
{
    m_orderedRoles.clear();
    for (const adapter::StoreItem& item : items) {
        if (const std::optional<EngineRole> role = engineRoleFromText(item.value))
            m_orderedRoles[TargetId(item.key.substr(storefeed::RolePrefix.size()))] = *role;
    }
}

void RoleReconciler::publishOrderedRole(EngineRole role, std::function<void(FencingNumber)> next)
{
    const fleet::TargetRecord* own = ownRecord();
    if (!own) {
        reconcileLater(CheckInterval);
        return;
    }
    const adapter::StoreWrite write { std::string(storefeed::RolePrefix) + own->id.text(),
        std::string(toText(role)), adapter::StoreLease(0), std::nullopt };
    m_call = channels::call(m_loop, m_pool, { m_store, {} },
        adapter::composeCall(adapter::writeCall(std::span(&write, 1)), m_store), RequestTimeout,
        [this, next = std::move(next)](const std::optional<channels::CallResponse>& response) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            try {
                if (response) {
                    const adapter::WriteResult decoded
                        = adapter::decodeWrite(response->status, response->body);
                    if (const adapter::WriteDone* done
                        = std::get_if<adapter::WriteDone>(&decoded)) {
                        // The store's revision grows with each write, across restarts too.
                        next(FencingNumber(done->revision.value()));
                        return;
                    }
                }
            } catch (const Error& error) {
                telemetry::logWarning("orders",
                    "The ordered role could not be written to the store.",
                    { { "cause", error.describe() } });
            }
            reconcileLater(CheckInterval);
        });
}

void RoleReconciler::withdrawOrder(EngineRole currentRole)
{
    telemetry::logInfo(
        "orders", "Withdrawing a role order.", { { "role", std::string(toText(currentRole)) } });
    publishOrderedRole(currentRole, [this](FencingNumber) { reconcileLater(CheckInterval); });
}

void RoleReconciler::callEngine(const adapter::Call& call, channels::CallHandler handler)
{
    m_call = channels::call(m_loop, m_pool, { m_engine, {} }, adapter::composeCall(call, m_engine),
        RequestTimeout,
        [this, handler = std::move(handler)](
            const std::optional<channels::CallResponse>& response) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            handler(response);
        });
}

void RoleReconciler::requestReport(EngineRole desired)
{
    callEngine(adapter::reportCall(),
        [this, desired](const std::optional<channels::CallResponse>& response) {
            try {
                if (response && response->status == 200) {
                    const fleet::EngineReport report = adapter::decodeReport(response->body);
                    if (report.role && *report.role != desired && !report.isChangingRole) {
                        publishOrderedRole(
                            desired, [this, desired, report](FencingNumber fencingNumber) {
                                sendOrder(desired, report, fencingNumber);
                            });
                        return;
                    }
                }
            } catch (const Error& error) {
                telemetry::logWarning("orders", "The engine's report could not be processed.",
                    { { "cause", error.describe() } });
            }
            reconcileLater(CheckInterval);
        });
}

void RoleReconciler::sendOrder(
    EngineRole desired, const fleet::EngineReport& report, FencingNumber fencingNumber)
{
    const fleet::TargetRecord* own = ownRecord();
    if (!own) {
        reconcileLater(CheckInterval);
        return;
    }
    const adapter::RoleOrder order { desired, m_settings.id, fencingNumber, report.acceptedOrders,
        own->id };
    telemetry::logInfo("orders", "Ordering a role change.",
        { { "target", own->id.text() }, { "role", std::string(toText(desired)) },
            { "fence", std::to_string(fencingNumber.value()) },
            { "orders_before", std::to_string(report.acceptedOrders.value()) },
            { "running", std::to_string(report.runningRequests) } });
    callEngine(adapter::roleOrderCall(order),
        [this](const std::optional<channels::CallResponse>& response) {
            telemetry::count(
                "orders", { { "status", response ? std::to_string(response->status) : "none" } });
            telemetry::logInfo("orders", "The call with the role order ended.",
                { { "status", response ? std::to_string(response->status) : "none" } });
            reconcileLater(OrderSettleTime);
        });
}

void RoleReconciler::reconcileLater(Milliseconds delay)
{
    m_timer.arm(delay, [this] { reconcile(); });
}

} // namespace citronspoke::sidecar

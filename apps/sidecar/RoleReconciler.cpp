#include "RoleReconciler.h"

#include "capacity/Capacity.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::sidecar {

namespace {

    /** The engine is on this VM and responds within milliseconds. */
    constexpr Milliseconds EngineTimeout { 400 };
    /** A report lists the engine's runs. */
    constexpr size_t MaxResponseBytes = size_t { 64 } << 10;
    constexpr Milliseconds ProgressInterval { 200 };
    /** How long an engine may take to carry out an order that it did not respond to. */
    constexpr Milliseconds UnansweredOrderLifetime { 15000 };
    constexpr Milliseconds UnansweredCheckInterval { 500 };

    EngineRole otherRole(EngineRole role)
    {
        return role == EngineRole::Decode ? EngineRole::Prefill : EngineRole::Decode;
    }

    /** Some engines do not state when they started; their id changes with each start. */
    bool isOtherIncarnation(const fleet::EngineReport& report, const roles::RoleChange& change)
    {
        constexpr UnixMillis NotStated;
        return report.startedAt != change.engineStartedAt && report.startedAt != NotStated
            && change.engineStartedAt != NotStated;
    }

} // namespace

RoleReconciler::RoleReconciler(channels::EventLoop& loop, const settings::SidecarSettings& settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_engine(fleet::requireAddress(settings.engine))
    , m_pool(loop, {})
    , m_port(loop, fleet::requireAddress(settings.operatorAddress),
          [this](std::string_view datagram) { onDatagram(datagram); })
    , m_originHolder(m_port, EntryId(settings.id))
    , m_operatorServer(loop, fleet::requireAddress(settings.operatorAddress),
          capacity::callerCapacity(settings.process.memoryBytes(), settings.process.descriptors)
              .pageConnections,
          [](std::string_view) {
              return channels::StatusServer::Page { 200, "text/plain", telemetry::metricsText() };
          })
    , m_startedAt(unixNow())
    , m_timer(loop)
{
}

/** Passes each kind of message to the part that handles it. */
struct RoleReconciler::MessageHandler {
    RoleReconciler& reconciler;

    void operator()(const roles::RoleRequest& request) const
    {
        reconciler.m_quorum.add(request, steadyNow());
        reconciler.reconcile();
    }
    void operator()(const peers::OriginBatch& batch) const
    {
        reconciler.m_originHolder.onBatch(batch);
    }
    void operator()(const streams::OriginQuery& query) const
    {
        reconciler.m_originHolder.onQuery(query);
    }
};

void RoleReconciler::onDatagram(std::string_view datagram)
{
    try {
        std::visit(MessageHandler { *this }, peers::decodeSidecarMessage(datagram));
    } catch (const peers::UpdateUnreadable& unreadable) {
        telemetry::logWarning("orders", unreadable.describe());
    }
}

void RoleReconciler::reconcile()
{
    if (m_call)
        return;
    if (!m_change) {
        m_change = m_quorum.agreedChange(steadyNow());
        m_isOrderSent = false;
        m_isAccepted = false;
    }
    if (m_unanswered && steadyNow() - m_unanswered->sentAt > UnansweredOrderLifetime)
        m_unanswered.reset();
    if (!m_change && !m_unanswered)
        return;
    if (const SteadyTime now = steadyNow(); now < m_pausedUntil) {
        reconcileLater(std::chrono::ceil<Milliseconds>(m_pausedUntil - now));
        return;
    }
    callEngine(
        adapter::reportCall(), [this](const std::optional<channels::CallResponse>& response) {
            constexpr uint32_t Ok = 200;
            try {
                if (response && response->status == Ok) {
                    onReport(adapter::decodeReport(response->body));
                    return;
                }
                telemetry::logWarning("orders", "The engine did not report its role.");
            } catch (const adapter::DocumentUnreadable& unreadable) {
                telemetry::logWarning("orders", "The engine's report could not be processed.",
                    { { "cause", unreadable.describe() } });
            }
            if (m_change)
                abandon(otherRole(m_change->role), "the engine does not report its role");
            if (m_unanswered)
                reconcileLater(UnansweredCheckInterval);
        });
}

void RoleReconciler::reconcileLater(Milliseconds delay)
{
    m_timer.arm(delay, [this] { reconcile(); });
}

void RoleReconciler::onReport(const fleet::EngineReport& report)
{
    if (!m_change) {
        checkUnanswered(report);
        return;
    }
    if (!report.role || isOtherIncarnation(report, *m_change)) {
        telemetry::logInfo("orders", "Ignored a request for another incarnation of the engine.",
            { { "target", m_change->engine.text() },
                { "requested", std::to_string(m_change->engineStartedAt.value()) },
                { "running", std::to_string(report.startedAt.value()) } });
        m_change.reset();
    } else if (report.isChangingRole) {
        m_isAccepted = true;
        reportRole(*m_change, m_change->role, true);
        reconcileLater(ProgressInterval);
    } else if (*report.role == m_change->role) {
        reportRole(*m_change, *report.role, false);
        m_change.reset();
    } else {
        continueChange(report);
    }
}

void RoleReconciler::checkUnanswered(const fleet::EngineReport& report)
{
    const roles::RoleChange& change = m_unanswered->change;
    const bool hasRole = report.role == change.role;
    if (!isOtherIncarnation(report, change) && (report.isChangingRole || hasRole))
        reportRole(change, change.role, !hasRole);
    if (hasRole)
        m_unanswered.reset();
    else
        reconcileLater(UnansweredCheckInterval);
}

void RoleReconciler::continueChange(const fleet::EngineReport& report)
{
    if (m_isAccepted) {
        abandon(*report.role, "the engine no longer changes its role");
    } else if (m_isOrderSent) {
        // Another engine is ordered at once; a second order here may meet the same fate.
        m_unanswered = { *m_change, steadyNow() };
        abandon(*report.role, "the engine did not respond to the order");
        reconcileLater(UnansweredCheckInterval);
    } else if (m_isLeaving) {
        abandon(*report.role, "the engine is leaving");
    } else {
        sendOrder(report);
    }
}

void RoleReconciler::noteNotice(const adapter::TargetNotice& notice)
{
    m_isLeaving = notice.isLeaving;
    if (!notice.pause)
        return;
    m_pausedUntil = std::max(m_pausedUntil, steadyNow() + *notice.pause);
    telemetry::logInfo("orders", "The engine requested a pause.",
        { { "pause_ms", std::to_string(notice.pause->count()) } });
}

void RoleReconciler::sendOrder(const fleet::EngineReport& report)
{
    const FencingNumber fence = roles::nextFencingNumber(report);
    const adapter::RoleOrder order { m_change->role, m_settings.id, fence, report.acceptedOrders,
        m_change->engine };
    m_isOrderSent = true;
    // The gateways stop sending new work before the engine begins to refuse it.
    reportRole(*m_change, m_change->role, true);
    telemetry::logInfo("orders", "Ordering a role change.",
        { { "target", m_change->engine.text() }, { "role", std::string(toText(m_change->role)) },
            { "fence", std::to_string(fence.value()) },
            { "orders_before", std::to_string(report.acceptedOrders.value()) },
            { "running", std::to_string(report.runningRequests) } });
    callEngine(adapter::roleOrderCall(order),
        [this, role = *report.role](const std::optional<channels::CallResponse>& response) {
            onOrderResponse(role, response);
        });
}

void RoleReconciler::onOrderResponse(
    EngineRole roleBefore, const std::optional<channels::CallResponse>& response)
{
    const std::string status = response ? std::to_string(response->status) : "none";
    telemetry::count("orders", { { "status", status } });
    telemetry::logInfo("orders", "The call with the role order ended.", { { "status", status } });
    if (response) {
        const adapter::OrderResult result = adapter::decodeOrder(response->status);
        m_isAccepted = result == adapter::OrderResult::Begun;
        if (result == adapter::OrderResult::OtherTarget)
            reportReplaced();
        if (!m_isAccepted && result != adapter::OrderResult::AlreadyHolds) {
            abandon(roleBefore, "the engine refused the order");
            return;
        }
    }
    // Without a response the report shows whether the engine has accepted the order.
    reconcileLater(ProgressInterval);
}

void RoleReconciler::abandon(EngineRole role, std::string_view cause)
{
    telemetry::logWarning("orders", "Gave up a role change.",
        { { "target", m_change->engine.text() }, { "cause", std::string(cause) } });
    reportRole(*m_change, role, false);
    m_change.reset();
}

void RoleReconciler::reportReplaced()
{
    m_outbox.addReplaced(m_change->engine);
    sendReports();
}

void RoleReconciler::reportRole(const roles::RoleChange& change, EngineRole role, bool isChanging)
{
    m_outbox.add(roles::RoleReport { change.engine, change.engineStartedAt, role, isChanging });
    sendReports();
}

void RoleReconciler::sendReports()
{
    const std::vector<fleet::Address> gateways = m_quorum.replyAddresses(steadyNow());
    for (const std::string& datagram :
        m_outbox.takeDatagrams(EntryId(m_settings.id), m_startedAt)) {
        for (const fleet::Address& gateway : gateways)
            m_port.send(gateway, datagram);
    }
}

void RoleReconciler::callEngine(const adapter::Call& call, channels::CallHandler handler)
{
    m_call = channels::call(m_loop, m_pool, { m_engine, {} }, adapter::composeCall(call, m_engine),
        { EngineTimeout, MaxResponseBytes },
        [this, handler = std::move(handler)](
            const std::optional<channels::CallResponse>& response) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            if (response)
                noteNotice(adapter::decodeTargetNotice(response->status, response->headers));
            handler(response);
        });
}

} // namespace citronspoke::sidecar

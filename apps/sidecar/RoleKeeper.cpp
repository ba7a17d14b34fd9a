#include "RoleKeeper.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::sidecar {

namespace {

    constexpr Milliseconds CheckInterval { 500 };
    constexpr Milliseconds CallLimit { 1000 };
    /** A plan must hold this long before an order, so that a passing loss moves no engine. */
    constexpr Milliseconds SteadyLack { 2500 };
    /** Engines that start as makers while others are replaced are often needed soon. */
    constexpr Milliseconds SteadySurplus { 7000 };
    /** Right after the start there is no work in flight, and entries only have to settle. */
    constexpr Milliseconds SteadyPlanAtStart { 700 };
    constexpr Milliseconds StartPeriod { 8000 };
    /** An order without an answer may still be carried out; the engine is asked after this. */
    constexpr Milliseconds AfterOrder { 4000 };

} // namespace

RoleKeeper::RoleKeeper(channels::EventLoop& loop, const settings::SidecarSettings& settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_engine(fleet::requireAddress(settings.engine))
    , m_store(fleet::requireAddress(settings.store))
    , m_pool(loop, {})
    , m_feed(loop, m_pool, m_store, { std::string(adapter::TargetPrefix), storefeed::Polling {} },
          { [this](std::span<const adapter::StoreItem> items, SteadyTime) { onTargets(items); },
              {} })
    , m_roles(loop, m_pool, m_store, { std::string(storefeed::RolePrefix), storefeed::Polling {} },
          { [this](std::span<const adapter::StoreItem> items, SteadyTime) { onRoles(items); }, {} })
    , m_operator(loop, fleet::requireAddress(settings.operatorAddress),
          [](std::string_view) {
              return channels::PageServer::Page { 200, "text/plain", telemetry::metricsText() };
          })
    , m_timer(loop)
    , m_startedAt(steadyNow())
{
}

void RoleKeeper::start()
{
    m_feed.start();
    m_roles.start();
    checkLater(CheckInterval);
}

void RoleKeeper::onTargets(std::span<const adapter::StoreItem> items)
{
    m_entries.clear();
    for (const adapter::StoreItem& item : items)
        put(item);
}

void RoleKeeper::put(const adapter::StoreItem& item)
{
    try {
        const fleet::TargetEntry entry = adapter::decodeTarget(item);
        m_entries[entry.id] = entry;
    } catch (const adapter::DocumentUnreadable& unreadable) {
        m_entries.erase(TargetId(item.key.substr(adapter::TargetPrefix.size())));
        telemetry::logWarning("targets", "Skipped an entry.",
            { { "key", item.key }, { "cause", unreadable.describe() } });
    }
}

const fleet::TargetEntry* RoleKeeper::ownEntry() const
{
    for (const auto& [id, entry] : m_entries) {
        if (entry.address == m_engine && !entry.isLeaving)
            return &entry;
    }
    return nullptr;
}

std::optional<EngineRole> RoleKeeper::wantedRole() const
{
    const fleet::TargetEntry* own = ownEntry();
    // While the store is away the list may be old, and an order could follow a stale plan.
    if (!own || !m_feed.isConnected())
        return std::nullopt;
    std::vector<fleet::TargetEntry> engines;
    for (const auto& [id, entry] : m_entries) {
        if (entry.pool != own->pool)
            continue;
        // This engine's own order may have been lost, so its present role counts.
        engines.push_back(id == own->id ? entry : dispatch::withOrderedRole(entry, m_ordered));
    }
    return dispatch::plannedChange(dispatch::planMakers(m_plan, engines), *own);
}

void RoleKeeper::check()
{
    const std::optional<EngineRole> wanted = wantedRole();
    const SteadyTime now = steadyNow();
    if (wanted != m_wanted) {
        m_wanted = wanted;
        m_wantedSince = now;
    }
    const bool isAtStart = now - m_startedAt < StartPeriod;
    Milliseconds steady = wanted == EngineRole::Decode ? SteadyLack : SteadySurplus;
    if (isAtStart)
        steady = SteadyPlanAtStart;
    const fleet::TargetEntry* own = ownEntry();
    if (wanted && now - m_wantedSince >= steady) {
        readReport(*wanted);
        return;
    }
    const auto ordered = own ? m_ordered.find(own->id) : m_ordered.end();
    if (!wanted && ordered != m_ordered.end() && ordered->second != own->role
        && now - m_wantedSince >= AfterOrder) {
        withdraw(*own->role);
        return;
    }
    checkLater(CheckInterval);
}

void RoleKeeper::onRoles(std::span<const adapter::StoreItem> items)
{
    m_ordered.clear();
    for (const adapter::StoreItem& item : items) {
        if (const std::optional<EngineRole> role = engineRoleFromText(item.value))
            m_ordered[TargetId(item.key.substr(storefeed::RolePrefix.size()))] = *role;
    }
}

void RoleKeeper::announce(EngineRole role, std::function<void(FencingNumber)> next)
{
    const fleet::TargetEntry* own = ownEntry();
    if (!own) {
        checkLater(CheckInterval);
        return;
    }
    const adapter::StoreWrite write { std::string(storefeed::RolePrefix) + own->id.text(),
        std::string(toText(role)), adapter::StoreLease(0), std::nullopt };
    m_call = channels::call(m_loop, m_pool, { m_store, {} },
        adapter::composeCall(adapter::writeCall(std::span(&write, 1)), m_store), CallLimit,
        [this, next = std::move(next)](const std::optional<channels::CallAnswer>& answer) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            try {
                if (answer) {
                    const adapter::WriteAnswer decoded
                        = adapter::decodeWrite(answer->status, answer->body);
                    if (const adapter::WriteDone* done
                        = std::get_if<adapter::WriteDone>(&decoded)) {
                        // The store's revision grows with each write, also over restarts.
                        next(FencingNumber(done->revision.value()));
                        return;
                    }
                }
            } catch (const Error& error) {
                telemetry::logWarning(
                    "orders", "The role was not announced.", { { "cause", error.describe() } });
            }
            checkLater(CheckInterval);
        });
}

void RoleKeeper::withdraw(EngineRole present)
{
    telemetry::logInfo(
        "orders", "Withdrawing an order.", { { "role", std::string(toText(present)) } });
    announce(present, [this](FencingNumber) { checkLater(CheckInterval); });
}

void RoleKeeper::callEngine(const adapter::Call& call, channels::CallHandler handler)
{
    m_call = channels::call(m_loop, m_pool, { m_engine, {} }, adapter::composeCall(call, m_engine),
        CallLimit,
        [this, handler = std::move(handler)](const std::optional<channels::CallAnswer>& answer) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            handler(answer);
        });
}

void RoleKeeper::readReport(EngineRole wanted)
{
    callEngine(
        adapter::reportCall(), [this, wanted](const std::optional<channels::CallAnswer>& answer) {
            try {
                if (answer && answer->status == 200) {
                    const fleet::EngineReport report = adapter::decodeReport(answer->body);
                    if (report.role && *report.role != wanted && !report.isChanging) {
                        announce(wanted, [this, wanted, report](FencingNumber fence) {
                            order(wanted, report, fence);
                        });
                        return;
                    }
                }
            } catch (const Error& error) {
                telemetry::logWarning(
                    "orders", "Unreadable report.", { { "cause", error.describe() } });
            }
            checkLater(CheckInterval);
        });
}

void RoleKeeper::order(EngineRole wanted, const fleet::EngineReport& report, FencingNumber fence)
{
    const fleet::TargetEntry* own = ownEntry();
    if (!own) {
        checkLater(CheckInterval);
        return;
    }
    const adapter::RoleOrder order { wanted, m_settings.id, fence, report.orders, own->id };
    telemetry::logInfo("orders", "Ordering a role.",
        { { "target", own->id.text() }, { "role", std::string(toText(wanted)) },
            { "fence", std::to_string(fence.value()) },
            { "orders_before", std::to_string(report.orders.value()) },
            { "running", std::to_string(report.running) } });
    callEngine(
        adapter::roleOrderCall(order), [this](const std::optional<channels::CallAnswer>& answer) {
            telemetry::count(
                "orders", { { "status", answer ? std::to_string(answer->status) : "none" } });
            telemetry::logInfo("orders", "The order was answered.",
                { { "status", answer ? std::to_string(answer->status) : "none" } });
            checkLater(AfterOrder);
        });
}

void RoleKeeper::checkLater(Milliseconds delay)
{
    m_timer.arm(delay, [this] { check(); });
}

} // namespace citronspoke::sidecar

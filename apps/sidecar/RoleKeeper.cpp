#include "RoleKeeper.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::sidecar {

namespace {

    constexpr Milliseconds CheckInterval { 500 };
    constexpr Milliseconds CallLimit { 1000 };
    /** A plan must hold this long before an order, so that a passing loss moves no engine. */
    constexpr Milliseconds SteadyPlan { 2500 };
    /** Right after the start there is no work in flight, and entries only have to settle. */
    constexpr Milliseconds SteadyPlanAtStart { 700 };
    constexpr Milliseconds StartPeriod { 8000 };
    /** An order without an answer may still be carried out; the engine is asked after this. */
    constexpr Milliseconds AfterOrder { 4000 };
    constexpr std::string_view HolderPrefix = "citronspoke/holders/";

    fleet::Address addressIn(const std::string& text)
    {
        const std::optional<fleet::Address> address = fleet::parseAddress(text);
        require(address.has_value(), "settings hold addresses IP:PORT");
        return *address;
    }

} // namespace

RoleKeeper::RoleKeeper(channels::EventLoop& loop, const settings::SidecarSettings& settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_engine(addressIn(settings.engine))
    , m_store(addressIn(settings.store))
    , m_pool(loop, {})
    , m_feed(loop, m_pool, m_store, { std::string(adapter::TargetPrefix), storefeed::Polling {} },
          { [this](std::span<const adapter::StoreItem> items, SteadyTime) { onTargets(items); },
              {} })
    , m_timer(loop)
    , m_startedAt(steadyNow())
{
}

void RoleKeeper::start()
{
    m_feed.start();
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
        if (entry.pool == own->pool)
            engines.push_back(entry);
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
    const Milliseconds steady = isAtStart ? SteadyPlanAtStart : SteadyPlan;
    if (!wanted || now - m_wantedSince < steady) {
        checkLater(CheckInterval);
        return;
    }
    if (!m_fence)
        acquireFence();
    else
        readReport(*wanted);
}

void RoleKeeper::acquireFence()
{
    // The store's revision grows with each write, so it never repeats over restarts.
    const adapter::StoreWrite write { std::string(HolderPrefix) + m_settings.id, m_settings.id,
        adapter::StoreLease(0), std::nullopt };
    m_call = channels::call(m_loop, m_pool, { m_store, {} },
        adapter::composeCall(adapter::writeCall(std::span(&write, 1)), m_store), CallLimit,
        [this](const std::optional<channels::CallAnswer>& answer) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            try {
                if (answer) {
                    const adapter::WriteAnswer decoded
                        = adapter::decodeWrite(answer->status, answer->body);
                    if (const adapter::WriteDone* done = std::get_if<adapter::WriteDone>(&decoded))
                        m_fence = FencingNumber(done->revision.value());
                }
            } catch (const Error& error) {
                telemetry::logWarning(
                    "orders", "No fencing number.", { { "cause", error.describe() } });
            }
            checkLater(m_fence ? Milliseconds(0) : CheckInterval);
        });
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
                        order(wanted, report);
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

void RoleKeeper::order(EngineRole wanted, const fleet::EngineReport& report)
{
    const fleet::TargetEntry* own = ownEntry();
    if (!own) {
        checkLater(CheckInterval);
        return;
    }
    const adapter::RoleOrder order { wanted, m_settings.id, *m_fence, report.orders, own->id };
    telemetry::logInfo("orders", "Ordering a role.",
        { { "target", own->id.text() }, { "role", std::string(toText(wanted)) },
            { "fence", std::to_string(m_fence->value()) },
            { "orders_before", std::to_string(report.orders.value()) },
            { "running", std::to_string(report.running) } });
    callEngine(
        adapter::roleOrderCall(order), [this](const std::optional<channels::CallAnswer>& answer) {
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

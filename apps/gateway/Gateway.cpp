#include "Gateway.h"

#include "Durations.h"
#include "telemetry/Telemetry.h"

#include <tuple>

namespace citronspoke::gateway {

namespace {

    /** The load balancer probes once a second and removes a VM after two failed probes. */
    constexpr Milliseconds LoadBalancerReactionTime { 2600 };
    constexpr Milliseconds StopCheckInterval { 50 };
    constexpr Milliseconds ExpiryInterval { 100 };
    /** Time for the process to exit before it would be killed. */
    constexpr Milliseconds ExitMargin { 400 };
    /** For the last responses to be sent. */
    constexpr Milliseconds LastResponseTime { 100 };

    /** Short enough to detect a watch that silently stopped delivering within the time in which a
     * new declaration must take effect. */
    Milliseconds watchPollTimeout(const settings::GatewaySettings& settings)
    {
        constexpr double ShareOfApplyTime = 0.75;
        return std::chrono::duration_cast<Milliseconds>(ShareOfApplyTime * settings.applyTime);
    }

    /** A small part of the time within which leaving targets must cease to get new work. */
    Milliseconds coalesceTime(const settings::GatewaySettings& settings)
    {
        constexpr int FractionOfDrainTime = 8;
        return settings.drainTime / FractionOfDrainTime;
    }

    /** Time for the store's response to a long poll that has ended. */
    constexpr Milliseconds ResponseMargin { 300 };

    std::string_view keyOf(const adapter::KeyChange& change)
    {
        const adapter::KeyWritten* written = std::get_if<adapter::KeyWritten>(&change);
        return written ? written->item.key : std::get<adapter::KeyDeleted>(change).key;
    }

} // namespace

Gateway::Gateway(
    channels::EventLoop& loop, const settings::GatewaySettings& settings, const Clocks& clocks)
    : m_loop(loop)
    , m_context(loop, settings, clocks)
    , m_store(loop, fleet::requireAddress(settings.store))
    , m_storeFeed(loop, m_store, { {}, watchPollTimeout(settings), coalesceTime(settings) },
          { [this](std::span<const adapter::StoreItem> items,
                const fleet::StoreRecovery& recovery) { onStoreItems(items, recovery); },
              [this](const adapter::KeyChange& change, const fleet::StoreRecovery& recovery) {
                  onStoreChange(change, recovery);
              } })
    , m_peers(m_context, m_store, fleet::requireAddress(settings.operatorAddress))
    , m_declarations(m_context, [this] { onAdopted(); })
    , m_exchange(m_context, m_peers, m_declarations, watchPollTimeout(settings) + ResponseMargin)
    , m_versions(m_context, m_peers, m_store)
    , m_quarantineRecord(m_context, m_peers, m_store)
    , m_streams(m_context, m_peers, m_versions, fleet::requireAddress(settings.operatorAddress))
    , m_roles(m_context, m_peers)
    , m_cacheInventory(m_context)
    , m_listener(std::make_unique<channels::Listener>(loop, fleet::requireAddress(settings.callers),
          channels::Listener::Limits {
              m_context.capacity.connections, [this] { return closeLongestWaiting(); } },
          [this](channels::ConnectionPointer connection) { accept(std::move(connection)); }))
    , m_readinessServer(loop, fleet::requireAddress(settings.readiness),
          m_context.capacity.pageConnections, [this](std::string_view) { return readinessPage(); })
    , m_operatorServer(loop, fleet::requireAddress(settings.operatorAddress),
          m_context.capacity.pageConnections,
          [this](std::string_view target) { return operatorPage(target); })
    , m_expiryTimer(loop)
    , m_stopTimer(loop)
    , m_stopGrace(settings.stopGrace)
{
    m_context.peers = &m_peers;
    m_context.streams = &m_streams;
    m_store.onRestored([this] { m_exchange.noteRestored(); });
    if (settings.duties.reportsUsage())
        m_duties.emplace(m_context, m_peers, m_store);
    m_context.storeAge = [this] {
        const std::optional<SteadyTime> last = m_storeFeed.lastResponse();
        const SteadyTime::duration age = last ? steadyNow() - *last : std::chrono::hours(1);
        return std::chrono::duration_cast<Milliseconds>(age);
    };
    m_context.isStoreServing = [this] { return m_storeFeed.isConnected(); };
    m_context.declarationAge = [this] {
        const std::optional<SteadyTime> confirmed = m_exchange.lastConfirmed();
        return confirmed ? std::min(m_context.storeAge(), since(*confirmed)) : m_context.storeAge();
    };
}

void Gateway::start()
{
    expireTargets();
    m_storeFeed.start();
    m_peers.start();
    m_exchange.start();
    m_versions.start();
    m_quarantineRecord.start();
    m_roles.start();
    if (m_duties)
        m_duties->start();
}

void Gateway::onStoreItems(
    std::span<const adapter::StoreItem> items, const fleet::StoreRecovery& recovery)
{
    std::vector<adapter::StoreItem> targets;
    std::vector<adapter::StoreItem> announcements;
    std::vector<adapter::StoreItem> versions;
    std::vector<adapter::StoreItem> duties;
    std::optional<adapter::StoreItem> quarantined;
    for (const adapter::StoreItem& item : items) {
        if (item.key == adapter::DeclarationKey)
            onDeclaration(item);
        else if (item.key.starts_with(adapter::TargetPrefix))
            targets.push_back(item);
        else if (item.key.starts_with(storefeed::GatewayPrefix))
            announcements.push_back(item);
        else if (item.key.starts_with(storefeed::VersionPrefix))
            versions.push_back(item);
        else if (item.key.starts_with(storefeed::DutyPrefix))
            duties.push_back(item);
        else if (item.key == storefeed::QuarantineKey)
            quarantined = item;
    }
    m_quarantineRecord.onRead(quarantined);
    onTargets(targets, recovery);
    m_peers.onAnnouncements(announcements, recovery.mayReturnUntil);
    m_versions.onRecords(versions);
    if (m_duties)
        m_duties->onRecords(duties);
}

void Gateway::onStoreChange(const adapter::KeyChange& change, const fleet::StoreRecovery& recovery)
{
    const std::string_view key = keyOf(change);
    if (key.starts_with(adapter::TargetPrefix)) {
        onTargetChange(change, recovery.mayReturnUntil);
    } else if (key.starts_with(storefeed::GatewayPrefix)) {
        m_peers.onAnnouncementChange(change, recovery.mayReturnUntil);
    } else if (key.starts_with(storefeed::VersionPrefix)) {
        m_versions.onRecordChange(change);
    } else if (key.starts_with(storefeed::DutyPrefix)) {
        if (m_duties)
            m_duties->onRecordChange(change);
    } else if (key == storefeed::QuarantineKey) {
        m_quarantineRecord.onChange(change);
    } else if (const adapter::KeyWritten* written = std::get_if<adapter::KeyWritten>(&change)) {
        onDeclaration(written->item);
    }
}

void Gateway::onDeclaration(const adapter::StoreItem& item)
{
    if (item.key == adapter::DeclarationKey)
        m_declarations.offer(item.value, "store");
}

void Gateway::onAdopted()
{
    startCacheInventory();
    const fleet::CallerLimits& limits = m_context.routes->declaration().limits;
    if (std::exchange(m_callerLimits, limits) == limits)
        return;
    for (const std::shared_ptr<CallerConnection>& connection : m_connections)
        connection->followLimits();
}

std::optional<fleet::TargetRecord> Gateway::decodeTarget(const adapter::StoreItem& item) const
{
    try {
        return adapter::decodeTarget(item);
    } catch (const adapter::DocumentUnreadable& unreadable) {
        telemetry::logWarning("targets", "Skipped an unreadable target record.",
            { { "key", item.key }, { "cause", unreadable.describe() } });
        return std::nullopt;
    }
}

void Gateway::onTargets(
    std::span<const adapter::StoreItem> items, const fleet::StoreRecovery& recovery)
{
    std::vector<fleet::TargetRecord> records;
    for (const adapter::StoreItem& item : items) {
        if (const std::optional<fleet::TargetRecord> record = decodeTarget(item)) {
            records.push_back(*record);
            m_versions.noteTarget(*record);
        }
    }
    const SteadyTime now = steadyNow();
    for (const TargetId& target : m_context.directory.replaceAll(records, recovery, now))
        telemetry::logInfo("targets", "Held back a record that may come from an older copy.",
            { { "target", target.text() } });
    telemetry::logInfo("targets", "Read the list of targets.",
        { { "targets", std::to_string(records.size()) },
            { "may_return", recovery.mayReturnUntil > now ? "yes" : "no" },
            { "may_be_outdated", recovery.mayBeOutdatedUntil > now ? "yes" : "no" } });
    startCacheInventory();
}

void Gateway::putTarget(const fleet::TargetRecord& record)
{
    const dispatch::TargetState* before = m_context.directory.find(record.id);
    if (before && before->record.role != record.role)
        m_context.reportedRoles.noteRecordChanged(record.id);
    m_versions.noteTarget(record);
    if (m_context.directory.put(record))
        m_context.prefixCacheIndex.removeEngine(record.id);
}

void Gateway::startCacheInventory()
{
    if (m_context.routes && m_context.directory.size() > 0)
        m_cacheInventory.start();
}

void Gateway::expireTargets()
{
    m_expiryTimer.arm(ExpiryInterval, [this] { expireTargets(); });
    m_context.directory.expire(steadyNow());
}

void Gateway::onTargetChange(const adapter::KeyChange& change, SteadyTime mayReturnUntil)
{
    if (const adapter::KeyDeleted* removed = std::get_if<adapter::KeyDeleted>(&change)) {
        const TargetId id(removed->key.substr(adapter::TargetPrefix.size()));
        const SteadyTime now = steadyNow();
        m_context.directory.remove(id, mayReturnUntil, now);
        if (mayReturnUntil <= now)
            m_context.prefixCacheIndex.removeEngine(id);
        telemetry::logInfo("targets", "An entry is gone.",
            { { "target", id.text() }, { "may_return", mayReturnUntil > now ? "yes" : "no" } });
        return;
    }
    const adapter::StoreItem& item = std::get<adapter::KeyWritten>(change).item;
    const std::optional<fleet::TargetRecord> record = decodeTarget(item);
    if (!record) {
        const TargetId id(item.key.substr(adapter::TargetPrefix.size()));
        m_context.directory.remove(id, SteadyTime {}, steadyNow());
        return;
    }
    putTarget(*record);
    telemetry::logInfo("targets", "A target record changed.",
        { { "target", record->id.text() }, { "pool", record->pool.text() },
            { "address", record->address.text() },
            { "state", record->isLeaving ? "leaving" : "serving" },
            { "role", record->role ? std::string(toText(*record->role)) : "" },
            { "version", record->version.text() } });
}

void Gateway::accept(channels::ConnectionPointer connection)
{
    const std::shared_ptr<std::weak_ptr<CallerConnection>> self
        = std::make_shared<std::weak_ptr<CallerConnection>>();
    const std::shared_ptr<CallerConnection> caller = std::make_shared<CallerConnection>(
        m_context, std::move(connection), [this, self] { m_connections.erase(self->lock()); });
    *self = caller;
    m_connections.insert(caller);
    caller->start();
}

bool Gateway::closeLongestWaiting()
{
    const auto isEarlier = [](const std::shared_ptr<CallerConnection>& left,
                               const std::shared_ptr<CallerConnection>& right) {
        const auto rank = [](const CallerConnection& connection) {
            return std::tuple(
                connection.isServing(), !connection.isIdle(), connection.waitingSince());
        };
        return rank(*left) < rank(*right);
    };
    const auto found = std::min_element(m_connections.begin(), m_connections.end(), isEarlier);
    if (found == m_connections.end() || (*found)->isServing())
        return false;
    (*found)->closeForRoom();
    return true;
}

channels::StatusServer::Page Gateway::readinessPage() const
{
    const bool isReady = m_context.routes && m_context.directory.size() > 0 && !m_context.stop;
    channels::StatusServer::Page page;
    page.status = isReady ? 200 : 503;
    return page;
}

channels::StatusServer::Page Gateway::operatorPage(std::string_view target) const
{
    if (target.substr(0, target.find('?')) == DeclarationExchange::Path)
        return m_exchange.respond(target);
    const capacity::CallerCapacity& capacity = m_context.capacity;
    const auto gauge = [](std::string_view name, size_t value) {
        telemetry::gauge(name, static_cast<double>(value));
    };
    gauge("request_memory_bytes", m_context.requestMemory->total());
    gauge("request_memory_limit_bytes", capacity.requests.totalBytes);
    gauge("unsent_bytes", m_context.callerBuffers.total());
    gauge("unsent_limit_bytes", capacity.unsentBytes);
    gauge("caller_connections", m_connections.size());
    gauge("caller_connections_limit", capacity.connections);
    gauge("prefix_index_bytes", m_context.prefixCacheIndex.memoryBytes());
    return { 200, "text/plain", telemetry::metricsText() };
}

void Gateway::reload(const settings::GatewaySettings& settings)
{
    m_stopGrace = settings.stopGrace;
    m_context.retryBudget.updateLimits(
        { settings.retries.share, settings.retries.fixedPart, settings.retries.window });
    const settings::GatewaySettings& before = m_context.settings;
    const bool needsRestart = settings.callers != before.callers
        || settings.readiness != before.readiness || settings.store != before.store
        || settings.operatorAddress != before.operatorAddress || settings.zone != before.zone
        || settings.process != before.process;
    telemetry::logInfo("gateway", "Reloaded the settings.",
        { { "stop_grace_ms", std::to_string(m_stopGrace.count()) },
            { "retry_share", std::to_string(settings.retries.share) },
            { "needs_restart", needsRestart ? "yes" : "no" } });
}

void Gateway::beginStop()
{
    if (m_context.stop)
        return;
    const SteadyTime now = steadyNow();
    m_context.stop = { now + LoadBalancerReactionTime, now + m_stopGrace - ExitMargin };
    if (m_duties)
        m_duties->beginStop();
    telemetry::logInfo("gateway", "Stopping.",
        { { "connections", std::to_string(m_connections.size()) },
            { "grace_ms", std::to_string(m_stopGrace.count()) } });
    m_stopTimer.arm(LoadBalancerReactionTime, [this] {
        m_listener->close();
        closeIdleConnections();
        checkStopped();
    });
}

void Gateway::closeIdleConnections()
{
    const std::set<std::shared_ptr<CallerConnection>> connections = m_connections;
    for (const std::shared_ptr<CallerConnection>& connection : connections)
        connection->closeWhenIdle();
}

void Gateway::checkStopped()
{
    if (m_connections.empty()) {
        finishStop();
        return;
    }
    if (steadyNow() < m_context.stop->endsRequestsAt) {
        m_stopTimer.arm(StopCheckInterval, [this] { checkStopped(); });
        return;
    }
    const std::set<std::shared_ptr<CallerConnection>> connections = m_connections;
    for (const std::shared_ptr<CallerConnection>& connection : connections)
        connection->endRequest();
    m_stopTimer.arm(LastResponseTime, [this] { finishStop(); });
}

void Gateway::finishStop()
{
    telemetry::logInfo(
        "gateway", "Stopped.", { { "unfinished", std::to_string(m_connections.size()) } });
    if (m_duties)
        m_duties->endStop();
    m_loop.stop();
}

} // namespace citronspoke::gateway

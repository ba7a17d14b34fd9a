#include "PeerGroup.h"

#include "StreamRegistry.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** A gateway that no longer renews its announcement is dropped after this. */
    constexpr Milliseconds LeaseDuration { 6000 };
    constexpr Milliseconds RenewInterval { 2000 };
    /** Changes within this time are batched into one datagram. */
    constexpr Milliseconds CoalesceTime { 5 };
    /** A quarter of the time after which peers drop a report. */
    constexpr Milliseconds ResendInterval { 500 };
    /** For gateways that start anew. */
    constexpr Milliseconds DepartureResendInterval { 2000 };
    /** Four times the interval of the reports. */
    constexpr Milliseconds DemandLifetime { 2000 };
    /** Longer than the users' window for retries, so that no part of the budget is spent twice. */
    constexpr Milliseconds GatewayCountRetention { 15000 };

    EntryId announcedGateway(std::string_view key)
    {
        return EntryId(std::string(key.substr(storefeed::GatewayPrefix.size())));
    }

} // namespace

PeerGroup::PeerGroup(
    GatewayContext& context, storefeed::StoreClient& store, const fleet::Address& ownAddress)
    : m_context(context)
    , m_ownAddress(ownAddress)
    , m_id(context.settings.id)
    , m_startedAt(unixNow())
    , m_port(context.loop, ownAddress, [this](std::string_view datagram) { onDatagram(datagram); })
    , m_announcement(context.loop, store,
          { std::string(storefeed::GatewayPrefix) + m_id.text(), ownAddress.text(), LeaseDuration,
              RenewInterval })
    , m_sendTimer(context.loop)
    , m_resendTimer(context.loop)
{
}

void PeerGroup::start()
{
    CrashQuarantine::Publisher publisher;
    publisher.crash = [this](peers::CrashReport report) {
        m_outbox.add(std::move(report));
        scheduleSend();
    };
    publisher.cleared = [this](uint64_t fingerprint) {
        m_outbox.addCleared(fingerprint);
        scheduleSend();
    };
    m_context.crashQuarantine.setPublisher(std::move(publisher));
    PartQuarantine::Publisher partPublisher;
    partPublisher.crash = [this](quarantine::PartCrashReport report) {
        m_outbox.add(std::move(report));
        scheduleSend();
    };
    partPublisher.served = [this](const quarantine::PromptPartId& part) {
        m_outbox.addServed(part);
        scheduleSend();
    };
    partPublisher.withdrawn = [this](quarantine::CrashKey crash) {
        m_outbox.addWithdrawn(crash);
        scheduleSend();
    };
    m_context.partQuarantine.setPublisher(std::move(partPublisher));
    m_announcement.start();
    m_resendTimer.arm(ResendInterval, [this] { resendReports(); });
}

void PeerGroup::onAnnouncements(
    std::span<const adapter::StoreItem> items, SteadyTime mayReturnUntil)
{
    const SteadyTime now = steadyNow();
    std::set<EntryId> missing;
    for (const auto& [id, peer] : m_peers)
        missing.insert(id);
    bool isAnnounced = false;
    for (const adapter::StoreItem& item : items) {
        addPeer(item);
        const EntryId id = announcedGateway(item.key);
        missing.erase(id);
        isAnnounced = isAnnounced || id == m_id;
    }
    for (const EntryId& id : missing)
        removePeer(id, mayReturnUntil, now);
    if (!isAnnounced)
        m_announcement.noteLost();
    updateGateways();
}

void PeerGroup::onAnnouncementChange(const adapter::KeyChange& change, SteadyTime mayReturnUntil)
{
    if (const adapter::KeyWritten* written = std::get_if<adapter::KeyWritten>(&change)) {
        addPeer(written->item);
    } else {
        const EntryId id = announcedGateway(std::get<adapter::KeyDeleted>(change).key);
        removePeer(id, mayReturnUntil, steadyNow());
        if (id == m_id)
            m_announcement.noteLost();
    }
    updateGateways();
}

void PeerGroup::removePeer(const EntryId& id, SteadyTime mayReturnUntil, SteadyTime now)
{
    const auto found = m_peers.find(id);
    if (found == m_peers.end())
        return;
    if (mayReturnUntil <= now)
        m_peers.erase(found);
    else
        found->second.mayReturnUntil = mayReturnUntil;
}

void PeerGroup::dropMissingPeers(SteadyTime now)
{
    const size_t dropped = std::erase_if(m_peers, [now](const auto& item) {
        return item.second.mayReturnUntil && now >= *item.second.mayReturnUntil;
    });
    if (dropped > 0)
        updateGateways();
}

void PeerGroup::updateGateways()
{
    const std::vector<EntryId> all = gateways();
    m_context.pacer.updateGateways(all, steadyNow());
    m_context.streams->updateGateways(all);
    m_context.evenLoads.updateGateways(all);
    m_announcement.updateOwners(m_peers.size());
    if (m_peers.size() != m_loggedGatewayCounts.first)
        updateGatewayCount();
}

void PeerGroup::addPeer(const adapter::StoreItem& item)
{
    const std::optional<fleet::Address> address = fleet::parseAddress(item.value);
    if (address)
        m_peers[announcedGateway(item.key)] = { *address, std::nullopt };
}

void PeerGroup::updateGatewayCount()
{
    const SteadyTime now = steadyNow();
    m_recentGatewayCounts[static_cast<uint32_t>(m_peers.size())] = now;
    std::erase_if(m_recentGatewayCounts,
        [now](const auto& item) { return now - item.second > GatewayCountRetention; });
    // While gateways are added and removed, the largest recent count gives the smallest budget.
    m_context.retryBudget.updateEntries(m_recentGatewayCounts.rbegin()->first);
    const std::pair<size_t, uint32_t> counts { m_peers.size(),
        m_recentGatewayCounts.rbegin()->first };
    if (std::exchange(m_loggedGatewayCounts, counts) == counts)
        return;
    telemetry::logInfo("peers", "The number of gateways changed.",
        { { "gateways", std::to_string(m_peers.size()) },
            { "counted", std::to_string(m_recentGatewayCounts.rbegin()->first) } });
}

void PeerGroup::noteLoad(const TargetId& target, const dispatch::Load& load)
{
    m_outbox.add(peers::LoadReport { target, load });
    scheduleSend();
}

void PeerGroup::noteReplaced(const TargetId& target)
{
    m_outbox.addReplaced(target);
    scheduleSend();
}

void PeerGroup::noteCachedParts(const TargetId& engine, std::span<const fleet::PromptPart> parts)
{
    m_outbox.add(peers::CachedPartsReport { engine, { parts.begin(), parts.end() } });
    scheduleSend();
}

void PeerGroup::scheduleSend()
{
    if (m_isSendScheduled)
        return;
    m_isSendScheduled = true;
    m_sendTimer.arm(CoalesceTime, [this] { sendUpdates(); });
}

void PeerGroup::sendUpdates()
{
    m_isSendScheduled = false;
    for (const std::string& datagram : m_outbox.takeDatagrams(m_id, m_startedAt)) {
        for (const auto& [id, peer] : m_peers) {
            if (id != m_id)
                m_port.send(peer.address, datagram);
        }
    }
}

void PeerGroup::resendReports()
{
    m_resendTimer.arm(ResendInterval, [this] { resendReports(); });
    for (const auto& [id, state] : m_context.directory.targets()) {
        if (state.ownLoad != dispatch::Load {})
            noteLoad(id, state.ownLoad);
    }
    for (peers::CrashReport& report : m_context.crashQuarantine.takeReportsToResend()) {
        m_outbox.add(std::move(report));
        scheduleSend();
    }
    m_context.partQuarantine.expire();
    for (quarantine::PartCrashReport& report : m_context.partQuarantine.takeReportsToResend()) {
        m_outbox.add(std::move(report));
        scheduleSend();
    }
    noteStatedLimits();
    dropMissingPeers(steadyNow());
    resendDepartures(steadyNow());
    sendUseReports(steadyNow());
    for (const TargetId& target : m_context.statedLimits.expire(steadyNow()))
        m_context.noteLimitChanged(target, "expiry");
    m_context.pacer.expire(steadyNow());
    m_context.requestedPauses.expire(steadyNow());
    for (const auto& [pool, meter] : m_context.demandMeters) {
        m_outbox.add(peers::DemandReport { pool, meter.demand(steadyNow()) });
        scheduleSend();
    }
    // Counts that are no longer current expire here while no gateway is added or removed.
    if (m_recentGatewayCounts.size() > 1)
        updateGatewayCount();
}

void PeerGroup::onUpdate(const peers::Update& update, SteadyTime now)
{
    if (m_peers.contains(update.sender))
        m_context.directory.notePeerUpdate(update.sender, update.sequenceNumber, now);
    for (const peers::LoadReport& report : update.loads)
        m_context.directory.notePeerLoad(report.target, update.sender, report.load, now);
    for (const TargetId& target : update.replaced)
        m_context.directory.notePeerReportedReplaced(target, now);
    for (const peers::CachedPartsReport& report : update.parts)
        m_context.noteCachedParts(report.engine, report.parts);
    for (const peers::CrashReport& report : update.crashes)
        m_context.crashQuarantine.merge(report);
    for (const uint64_t fingerprint : update.cleared)
        m_context.crashQuarantine.mergeCleared(fingerprint);
    for (const quarantine::PartCrashReport& report : update.partCrashes)
        m_context.partQuarantine.merge(report, "gateway");
    for (const quarantine::PromptPartId& part : update.servedParts)
        m_context.partQuarantine.mergeServed(part);
    for (const quarantine::CrashKey crash : update.withdrawnCrashes)
        m_context.partQuarantine.mergeWithdrawn(crash);
    for (const TargetId& target : update.unreachable)
        m_context.directory.notePeerFailure(target, update.sender, now);
    for (const conditions::LimitReport& report : update.limits) {
        if (m_context.statedLimits.merge(report, now))
            m_context.noteLimitChanged(report.target, "gateway");
    }
    for (const fleet::Incarnation& incarnation : update.leaving)
        m_context.noteLeaving(incarnation, "gateway");
    const bool isFromSidecar = !m_peers.contains(update.sender);
    for (const roles::RoleReport& report : update.roles)
        noteRoleReport(report, isFromSidecar, now);
    for (const peers::DemandReport& report : update.demands) {
        PeerDemand& demand = m_demands[update.sender];
        demand.byPool[report.pool] = report.demand;
        demand.receivedAt = now;
    }
}

void PeerGroup::noteRoleReport(const roles::RoleReport& report, bool isFromSidecar, SteadyTime now)
{
    if (!m_context.reportedRoles.note(report, now))
        return;
    telemetry::logInfo("roles", "An engine's role was reported.",
        { { "target", report.engine.text() }, { "role", std::string(toText(report.role)) },
            { "changing", report.isChanging ? "yes" : "no" },
            { "by", isFromSidecar ? "sidecar" : "gateway" } });
    // A sidecar reports to the gateways that plan the role; they tell the others.
    if (isFromSidecar) {
        m_outbox.add(report);
        scheduleSend();
    }
}

void PeerGroup::noteStatedLimits()
{
    for (const conditions::LimitReport& report : m_context.statedLimits.takeReports(steadyNow())) {
        m_outbox.add(report);
        scheduleSend();
    }
}

void PeerGroup::noteLeaving(const fleet::Incarnation& incarnation)
{
    m_outbox.addLeaving(incarnation);
    scheduleSend();
}

void PeerGroup::resendDepartures(SteadyTime now)
{
    if (now - m_departuresReportedAt < DepartureResendInterval)
        return;
    m_departuresReportedAt = now;
    for (const fleet::Incarnation& incarnation : m_context.directory.departures())
        noteLeaving(incarnation);
}

void PeerGroup::noteUnreachable(const TargetId& target)
{
    m_outbox.addUnreachable(target);
    scheduleSend();
}

roles::Demand PeerGroup::totalDemand(const PoolId& pool, SteadyTime now) const
{
    roles::Demand total;
    const auto meter = m_context.demandMeters.find(pool);
    if (meter != m_context.demandMeters.end())
        total += meter->second.demand(now);
    for (const auto& [peer, demand] : m_demands) {
        const auto found = demand.byPool.find(pool);
        if (found != demand.byPool.end() && now - demand.receivedAt <= DemandLifetime)
            total += found->second;
    }
    return total;
}

void PeerGroup::requestRole(
    const fleet::Address& sidecar, const roles::RoleChange& change, size_t planners)
{
    m_port.send(sidecar,
        peers::encode(
            roles::RoleRequest { m_id, m_ownAddress, change, static_cast<uint32_t>(planners) }));
}

void PeerGroup::send(const EntryId& gateway, std::string_view datagram)
{
    const auto found = m_peers.find(gateway);
    if (found != m_peers.end())
        send(found->second.address, datagram);
}

void PeerGroup::send(const fleet::Address& gateway, std::string_view datagram)
{
    m_port.send(gateway, datagram);
}

/** Passes each kind of message to the part that handles it. */
struct PeerGroup::MessageHandler {
    PeerGroup& group;
    StreamRegistry& streams;

    void operator()(const peers::Update& update) const
    {
        if (update.sender != group.m_id && group.m_staleUpdateFilter.accept(update))
            group.onUpdate(update, steadyNow());
    }
    void operator()(const streams::OriginNote& note) const { streams.onNote(note); }
    void operator()(const streams::OriginQuery& query) const { streams.onQuery(query); }
    void operator()(const streams::OriginReply& reply) const { streams.onReply(reply); }
    void operator()(const duties::CountsMessage& sent) const { group.m_context.onCounts(sent); }
    void operator()(const duties::DutyStatus& sent) const { group.m_context.onDutyStatus(sent); }
    void operator()(const shares::UseReport& report) const { group.onUseReport(report); }
};

void PeerGroup::onDatagram(std::string_view datagram)
{
    try {
        std::visit(MessageHandler { *this, *m_context.streams }, peers::decodeMessage(datagram));
    } catch (const peers::UpdateUnreadable& unreadable) {
        telemetry::logWarning("peers", unreadable.describe());
    }
}

} // namespace citronspoke::gateway

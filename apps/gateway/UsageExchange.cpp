#include "UsageExchange.h"

#include "PeerGroup.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    constexpr size_t CollectorCount = 3;
    constexpr std::string_view CollectorKey = "usage";
    constexpr Milliseconds SendInterval { 500 };
    /** Until the first estimate of true time has arrived. */
    constexpr Milliseconds FirstSendInterval { 100 };
    /** Without changes; the clocks of idle gateways count too. */
    constexpr Milliseconds IdleSendInterval { 2000 };
    /** A window's counts are sent again twice, so that two lost datagrams lose no counts. */
    constexpr uint32_t SendsPerChange = 3;
    /** Counts in several datagrams get one response. */
    constexpr Milliseconds ReplyInterval { 200 };
    /** Longest time in which requests wait for an estimate of true time to be counted. */
    constexpr Milliseconds MaxEarlyTime { 3000 };
    /** Longer than a window may be reported after its end. */
    constexpr Milliseconds CountLifetime { 75000 };
    constexpr size_t ClocksForEstimate = 3;

} // namespace

UsageExchange::UsageExchange(GatewayContext& context, PeerGroup& peers)
    : m_context(context)
    , m_peers(peers)
    , m_self { peers.id(), context.clocks.wall() }
    , m_startedAt(context.clocks.boot())
    , m_clocks(ClocksForEstimate)
    , m_estimates(1)
    , m_timer(context.loop)
{
}

void UsageExchange::start() { tick(); }

void UsageExchange::tick()
{
    m_timer.arm(SendInterval, [this] { tick(); });
    const duties::BootTime now = m_context.clocks.boot();
    updateCollectors();
    m_clocks.note(m_self.gateway, m_context.clocks.wall(), now);
    if (const std::optional<UnixMillis> own = m_clocks.estimate(now))
        m_estimates.note(m_self.gateway, *own, now);
    const bool isEstimated = m_estimates.estimate(now).has_value();
    if (isEstimated || now - m_startedAt >= MaxEarlyTime)
        assignEarlyRuns();
    if (!isEstimated && now - m_startedAt >= MaxEarlyTime
        && !std::exchange(m_isUncertaintyLogged, true))
        telemetry::logWarning("duties",
            "Too few clocks are known; the own clock assigns requests to usage windows.",
            { { "skew_ms", std::to_string(m_context.settings.duties.clockSkew.count()) } });
    forgetOldWindows();
    sendCounts();
    const bool isNew = !isEstimated && now - m_startedAt < MaxEarlyTime;
    if (isNew)
        m_timer.arm(FirstSendInterval, [this] { tick(); });
}

void UsageExchange::updateCollectors()
{
    const std::vector<EntryId> all = m_peers.gateways();
    const std::vector<EntryId> order = firstByRendezvousRank(all, CollectorKey, all.size());
    const auto own = std::find(order.begin(), order.end(), m_self.gateway);
    m_place = static_cast<size_t>(own - order.begin());
    const std::vector<EntryId> collectors(order.begin(),
        order.begin() + static_cast<ptrdiff_t>(std::min(order.size(), CollectorCount)));
    const bool isCollector = own != order.end() && m_place < CollectorCount;
    if (!isCollector)
        m_collectorSince.reset();
    else if (!m_collectorSince)
        m_collectorSince = m_context.clocks.boot();
    if (collectors == m_collectors)
        return;
    m_collectors = collectors;
    for (const duties::WindowNumber window : m_counts.windows(m_self))
        m_sendsLeft[window] = SendsPerChange;
}

void UsageExchange::updateHolder(const std::optional<EntryId>& holder)
{
    if (holder == m_holder)
        return;
    m_holder = holder;
    for (const duties::WindowNumber window : m_counts.windows(m_self))
        m_sendsLeft[window] = SendsPerChange;
}

void UsageExchange::noteRunBegun(const OrganisationId& organisation)
{
    const duties::BootTime now = m_context.clocks.boot();
    m_earlyRuns.emplace_back(now, organisation);
    if (m_estimates.estimate(now) || now - m_startedAt >= MaxEarlyTime)
        assignEarlyRuns();
}

void UsageExchange::assignEarlyRuns()
{
    const duties::BootTime now = m_context.clocks.boot();
    const UnixMillis time = trueTime();
    for (const auto& [at, organisation] : m_earlyRuns) {
        const UnixMillis begun(time.value() - (now - at).count());
        const duties::WindowNumber window
            = duties::windowAt(begun, m_context.settings.duties.usageWindow);
        m_counts.add(window, m_self, organisation);
        m_sendsLeft[window] = SendsPerChange;
    }
    m_earlyRuns.clear();
}

void UsageExchange::forgetOldWindows()
{
    const UnixMillis oldest(trueTime().value() - CountLifetime.count());
    m_counts.dropThrough(duties::windowAt(oldest, m_context.settings.duties.usageWindow));
}

void UsageExchange::sendCounts()
{
    const duties::BootTime now = m_context.clocks.boot();
    std::erase_if(m_sendsLeft, [](const auto& item) { return item.second == 0; });
    for (auto& [window, sendsLeft] : m_sendsLeft) {
        sendsLeft -= 1;
        const duties::Counts& counts = m_counts.of(window, m_self);
        if (!counts.empty())
            sendWindow(window, counts);
    }
    const bool isNew = !m_estimates.estimate(now);
    if (isNew || now - m_sentAt >= IdleSendInterval)
        sendWindow(
            duties::windowAt(trueTime(), m_context.settings.duties.usageWindow), duties::Counts());
}

void UsageExchange::sendWindow(duties::WindowNumber window, const duties::Counts& counts)
{
    m_sentAt = m_context.clocks.boot();
    std::set<EntryId> recipients(m_collectors.begin(), m_collectors.end());
    if (m_holder)
        recipients.insert(*m_holder);
    recipients.erase(m_self.gateway);
    const std::vector<std::string> datagrams
        = peers::encodeInParts({ m_self, m_context.clocks.wall(), window, counts });
    for (const std::string& datagram : datagrams) {
        for (const EntryId& recipient : recipients)
            m_peers.send(recipient, datagram);
    }
}

void UsageExchange::onCounts(const duties::CountsMessage& message)
{
    if (message.source.gateway == m_self.gateway)
        return;
    const duties::BootTime now = m_context.clocks.boot();
    m_clocks.note(message.source.gateway, message.clock, now);
    m_counts.merge(message.window, message.source, message.counts);
    duties::BootTime& repliedAt = m_repliedAt[message.source.gateway];
    if (now - repliedAt < ReplyInterval)
        return;
    repliedAt = now;
    duties::DutyStatus reply = status();
    reply.trueTime = m_clocks.estimate(now);
    m_peers.send(message.source.gateway, peers::encode(reply));
}

void UsageExchange::onStatus(const duties::DutyStatus& status)
{
    if (status.sender.gateway == m_self.gateway)
        return;
    if (status.trueTime)
        m_estimates.note(status.sender.gateway, *status.trueTime, m_context.clocks.boot());
    UnixMillis& incarnation
        = m_incarnations.try_emplace(status.sender.gateway, status.sender.startedAt).first->second;
    // A collector that was started anew has lost all counts.
    if (std::exchange(incarnation, status.sender.startedAt) != status.sender.startedAt) {
        for (const duties::WindowNumber window : m_counts.windows(m_self))
            m_sendsLeft[window] = SendsPerChange;
    }
    if (onOtherStatus)
        onOtherStatus(status);
}

duties::DutyStatus UsageExchange::status() const
{
    duties::DutyStatus status;
    status.sender = m_self;
    if (fillStatus)
        fillStatus(status);
    return status;
}

void UsageExchange::sendStatus()
{
    const std::string datagram = peers::encode(status());
    for (const EntryId& gateway : m_peers.gateways()) {
        if (gateway != m_self.gateway)
            m_peers.send(gateway, datagram);
    }
}

UnixMillis UsageExchange::trueTime() const
{
    return m_estimates.estimate(m_context.clocks.boot()).value_or(m_context.clocks.wall());
}

std::optional<UnixMillis> UsageExchange::collectorSince() const
{
    if (!m_collectorSince)
        return std::nullopt;
    const Milliseconds age = m_context.clocks.boot() - *m_collectorSince;
    return UnixMillis(trueTime().value() - age.count());
}

} // namespace citronspoke::gateway

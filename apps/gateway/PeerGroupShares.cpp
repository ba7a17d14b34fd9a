// Exchange of organisations' engine time with the other gateways.
#include "PeerGroup.h"
#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

void PeerGroup::sendUseReports(SteadyTime now)
{
    if (m_context.poolShares.empty())
        return;
    const std::vector<EntryId> all = gateways();
    for (auto& [pool, poolShares] : m_context.poolShares) {
        poolShares.refresh(
            m_context.directory.usable(pool, now), m_context.prefillSpeeds[pool], now);
        telemetry::gauge("organisations_over_share",
            static_cast<double>(poolShares.fairShares.organisationsOverShare(now)),
            { { "pool", pool.text() } });
        for (const auto& [report, recipients] : poolShares.takeReports(all, now)) {
            const std::string datagram = peers::encode(report);
            for (const EntryId& recipient : recipients)
                send(recipient, datagram);
        }
    }
}

void PeerGroup::onUseReport(const shares::UseReport& report)
{
    // A gateway may collect for a pool that none of its own requests use.
    if (m_peers.contains(report.sender) && m_context.routes
        && m_context.routes->declaration().pool(report.pool)) {
        if (PoolShares* poolShares = m_context.sharesOf(report.pool))
            poolShares->exchange.onReport(report, steadyNow());
    }
}

} // namespace citronspoke::gateway

#pragma once

#include "dispatch/Dispatch.h"
#include "shares/Shares.h"

namespace citronspoke::gateway {

/** The shares of organisations in one pool, and admission to it. Used by the event loop's thread
 * only. */
class PoolShares {
public:
    PoolShares(const EntryId& gateway, const PoolId& pool);

    /** Follows the load of the pool; does nothing when it was called a short time ago. */
    void refresh(std::span<dispatch::TargetState* const> targets,
        const dispatch::PrefillSpeed& speed, SteadyTime now);
    /** @return the reports that are due; to be called at the interval of the reports. */
    std::vector<shares::UseExchange::Outgoing> takeReports(
        std::span<const EntryId> gateways, SteadyTime now);
    /** Work was sent to an engine. */
    void noteUsed(const OrganisationId& organisation, double engineTime, SteadyTime now);
    /** Work that was sent has certainly not run. */
    void noteNotRun(const OrganisationId& organisation, double engineTime, SteadyTime now);
    /** A run or a decode has ended. */
    void noteRun(Milliseconds took);
    /** @return mean time of a run or a decode; zero until the first has ended. */
    Milliseconds runTime() const { return Milliseconds(static_cast<int64_t>(m_runMs)); }
    const shares::PoolState& state() const noexcept { return m_state; }
    /** Targets that take requests at the first step: prefill, or the run. */
    uint32_t servers() const noexcept { return m_servers; }

    shares::EngineTimeUse use;
    shares::FairShares fairShares;
    shares::Admission admission;
    shares::UseExchange exchange;

private:
    shares::PoolState m_state;
    uint32_t m_servers = 1;
    uint32_t m_engines = 1;
    double m_runMs = 0;
    std::optional<SteadyTime> m_refreshedAt;
};

} // namespace citronspoke::gateway

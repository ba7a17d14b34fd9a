#include "RetryBudgets.h"

namespace citronspoke::entry {

namespace {

    constexpr uint32_t FleetBurstFactor = 10;

} // namespace

RetryBudgets::RetryBudgets()
    : m_fleet(m_limits.retryShare, m_limits.retryBurst * FleetBurstFactor)
{
}

void RetryBudgets::configure(const settings::LimitSettings& limits)
{
    if (limits == m_limits)
        return;
    m_limits = limits;
    m_fleet = decisions::RetryBudget(limits.retryShare, limits.retryBurst * FleetBurstFactor);
    m_organisations.clear();
}

decisions::RetryBudget& RetryBudgets::budgetOf(const OrganisationId& organisation)
{
    const decisions::RetryBudget fresh(m_limits.retryShare, m_limits.retryBurst);
    return m_organisations.try_emplace(organisation, fresh).first->second;
}

void RetryBudgets::noteRequest(const OrganisationId& organisation)
{
    budgetOf(organisation).noteRequest();
    m_fleet.noteRequest();
}

bool RetryBudgets::trySpend(const OrganisationId& organisation)
{
    return budgetOf(organisation).trySpend() && m_fleet.trySpend();
}

} // namespace citronspoke::entry

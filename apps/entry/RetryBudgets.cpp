#include "RetryBudgets.h"

namespace citronspoke::entry {

namespace {

    /** The burst of the shared budget, as a multiple of one organisation's burst. */
    constexpr uint32_t SharedBurstFactor = 10;

} // namespace

RetryBudgets::RetryBudgets()
    : m_sharedBudget(m_limits.retryShare, m_limits.retryBurst * SharedBurstFactor)
{
}

void RetryBudgets::configure(const settings::LimitSettings& limits)
{
    if (limits == m_limits)
        return;
    m_limits = limits;
    m_sharedBudget
        = decisions::RetryBudget(limits.retryShare, limits.retryBurst * SharedBurstFactor);
    m_organisationBudgets.clear();
}

decisions::RetryBudget& RetryBudgets::budgetOf(const OrganisationId& organisation)
{
    const decisions::RetryBudget initialBudget(m_limits.retryShare, m_limits.retryBurst);
    return m_organisationBudgets.try_emplace(organisation, initialBudget).first->second;
}

void RetryBudgets::noteRequest(const OrganisationId& organisation)
{
    budgetOf(organisation).noteRequest();
    m_sharedBudget.noteRequest();
}

bool RetryBudgets::trySpend(const OrganisationId& organisation)
{
    return budgetOf(organisation).trySpend() && m_sharedBudget.trySpend();
}

} // namespace citronspoke::entry

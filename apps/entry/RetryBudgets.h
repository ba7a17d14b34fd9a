#pragma once

#include "decisions/Decisions.h"
#include "settings/Settings.h"

namespace citronspoke::entry {

/**
 * The retry budgets of this entry: one for each organisation and one that all organisations share.
 * A retry counts against both.
 */
class RetryBudgets {
public:
    RetryBudgets();

    /** Resets all budgets if the limits have changed. */
    void configure(const settings::LimitSettings& limits);
    /** Adds to both budgets the share of a retry that an admitted request earns. */
    void noteRequest(const OrganisationId& organisation);
    /** @return false when the organisation's budget or the shared one is spent. */
    bool trySpend(const OrganisationId& organisation);

private:
    decisions::RetryBudget& budgetOf(const OrganisationId& organisation);

    settings::LimitSettings m_limits;
    decisions::RetryBudget m_sharedBudget;
    std::map<OrganisationId, decisions::RetryBudget> m_organisationBudgets;
};

} // namespace citronspoke::entry

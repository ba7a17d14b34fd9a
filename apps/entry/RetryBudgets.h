#pragma once

#include "decisions/Decisions.h"
#include "settings/Settings.h"

namespace citronspoke::entry {

/** The retry budgets of each organisation and of the whole fleet at this entry. */
class RetryBudgets {
public:
    RetryBudgets();

    /** Starts anew when the limits have changed. */
    void configure(const settings::LimitSettings& limits);
    void noteRequest(const OrganisationId& organisation);
    /** @return false when the organisation's budget or the fleet's is spent. */
    bool trySpend(const OrganisationId& organisation);

private:
    decisions::RetryBudget& budgetOf(const OrganisationId& organisation);

    settings::LimitSettings m_limits;
    decisions::RetryBudget m_sharedBudget;
    std::map<OrganisationId, decisions::RetryBudget> m_organisationBudgets;
};

} // namespace citronspoke::entry

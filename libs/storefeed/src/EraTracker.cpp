#include "storefeed/StoreFeed.h"

namespace citronspoke::storefeed {

EraOrder EraTracker::note(std::optional<adapter::StoreEra> era)
{
    if (!era || era == m_newest)
        return EraOrder::Current;
    if (m_newest && *era < *m_newest)
        return EraOrder::Superseded;
    const bool isFirst = !m_newest;
    m_newest = era;
    return isFirst ? EraOrder::Current : EraOrder::Restored;
}

} // namespace citronspoke::storefeed

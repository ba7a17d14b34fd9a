#include "RangeFollower.h"

#include <algorithm>

namespace citronspoke::storefeed {

RangeFollower::Request RangeFollower::nextRequest() const
{
    if (m_hasRange)
        return Watch { *m_revision };
    return ReadPage { m_pageItems.empty() ? std::string() : m_pageItems.back().key };
}

void RangeFollower::startOver()
{
    m_pageItems.clear();
    m_revision.reset();
    m_hasRange = false;
}

std::optional<std::vector<adapter::StoreItem>> RangeFollower::onPage(adapter::RangePage page)
{
    // Pages of two eras do not add up to a range.
    if (m_revision && m_revision->era != page.revision.era) {
        startOver();
        return std::nullopt;
    }
    // The pages are not one snapshot: the watch starts at the revision of the first page, so that
    // changes made while the others were read are delivered too.
    if (!m_revision)
        m_revision = page.revision;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_pageItems));
    if (page.hasMore && !m_pageItems.empty())
        return std::nullopt;
    m_hasRange = true;
    return std::exchange(m_pageItems, {});
}

std::optional<std::vector<adapter::KeyChange>> RangeFollower::onWatch(adapter::WatchResult result)
{
    adapter::Changes* changes = std::get_if<adapter::Changes>(&result);
    // The revision may have been given out again after a restore; the changes before it are missed.
    if (!changes || changes->revision.era != m_revision->era) {
        startOver();
        return std::nullopt;
    }
    m_revision = std::max(*m_revision, changes->revision);
    return std::move(changes->changes);
}

} // namespace citronspoke::storefeed

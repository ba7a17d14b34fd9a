#pragma once

#include "storefeed/StoreFeed.h"

namespace citronspoke::storefeed {

/**
 * Decides what to request from the store to follow a key range, without I/O. The range is read page
 * by page and then watched from the revision at which the first page was read.
 */
class RangeFollower {
public:
    /** Read the next page, after this key; empty for the first one. */
    struct ReadPage {
        std::string after;
    };
    /** Watch for changes after this revision. */
    struct Watch {
        adapter::StoreRevision after;
    };
    using Request = std::variant<ReadPage, Watch>;

    Request nextRequest() const;
    /** The revisions read so far no longer hold; the range must be read again. */
    void startOver();
    /** @return the whole range after its last page; none before. */
    std::optional<std::vector<adapter::StoreItem>> onPage(adapter::RangePage page);
    /** @return the changes to apply, in order; none when the range must be read again. */
    std::optional<std::vector<adapter::KeyChange>> onWatch(adapter::WatchResult result);

private:
    std::vector<adapter::StoreItem> m_pageItems;
    /** Of the first page, or of the last change; none while no page was read. */
    std::optional<adapter::StoreRevision> m_revision;
    bool m_hasRange = false;
};

} // namespace citronspoke::storefeed

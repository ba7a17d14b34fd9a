#pragma once

#include "model/Model.h"

#include <map>
#include <span>

namespace citronspoke::entry {

/** Bounded index of the target each prompt prefix was last sent to, and is probably cached at. */
class PrefixCacheIndex {
public:
    struct CachedPrefix {
        TargetId target;
        uint32_t tokens = 0;
    };

    /** @param prefixHashes as in CallerRequest: one for each block of 1000 tokens, chained. */
    void recordTarget(std::span<const uint64_t> prefixHashes, const TargetId& target);
    /** @return the longest indexed prefix of the prompt; no target and 0 tokens if there is none.
     */
    CachedPrefix longestCachedPrefix(std::span<const uint64_t> prefixHashes) const;

private:
    std::map<uint64_t, TargetId> m_targets;
    /** Keys of m_targets in the order in which they were first recorded, which is the order of
     * eviction; a later record of the same prefix does not renew it. */
    std::deque<uint64_t> m_order;
};

} // namespace citronspoke::entry

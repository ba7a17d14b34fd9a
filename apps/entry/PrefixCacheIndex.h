#pragma once

#include "model/Model.h"

#include <map>
#include <span>

namespace citronspoke::entry {

/** Remembers which target read a prompt's pieces last, and so has them in its cache, probably. */
class PrefixCacheIndex {
public:
    struct CachedPrefix {
        TargetId target;
        uint32_t tokens = 0;
    };

    /** @param pieces chained hashes of a prompt's pieces of a thousand tokens. */
    void recordTarget(std::span<const uint64_t> prefixHashes, const TargetId& target);
    /** @return the target that knows the longest beginning of the prompt. */
    CachedPrefix longestCachedPrefix(std::span<const uint64_t> prefixHashes) const;

private:
    std::map<uint64_t, TargetId> m_targetByPrefix;
    /** The oldest at the front. */
    std::deque<uint64_t> m_insertionOrder;
};

} // namespace citronspoke::entry

#include "PrefixCacheIndex.h"

namespace citronspoke::entry {

namespace {

    constexpr size_t MaxPrefixes = 20000;
    constexpr uint32_t BlockTokens = 1000;

} // namespace

void PrefixCacheIndex::recordTarget(std::span<const uint64_t> prefixHashes, const TargetId& target)
{
    for (const uint64_t prefixHash : prefixHashes) {
        if (m_targets.insert_or_assign(prefixHash, target).second)
            m_order.push_back(prefixHash);
    }
    while (m_order.size() > MaxPrefixes) {
        m_targets.erase(m_order.front());
        m_order.pop_front();
    }
}

PrefixCacheIndex::CachedPrefix PrefixCacheIndex::longestCachedPrefix(
    std::span<const uint64_t> prefixHashes) const
{
    for (size_t count = prefixHashes.size(); count > 0; --count) {
        auto found = m_targets.find(prefixHashes[count - 1]);
        if (found != m_targets.end())
            return { found->second, static_cast<uint32_t>(count) * BlockTokens };
    }
    return {};
}

} // namespace citronspoke::entry

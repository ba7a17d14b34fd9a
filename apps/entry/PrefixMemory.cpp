#include "PrefixMemory.h"

namespace citronspoke::entry {

namespace {

    constexpr size_t PiecesKept = 20000;
    constexpr uint32_t PieceTokens = 1000;

} // namespace

void PrefixMemory::remember(std::span<const uint64_t> pieces, const TargetId& target)
{
    for (const uint64_t piece : pieces) {
        if (m_targets.insert_or_assign(piece, target).second)
            m_order.push_back(piece);
    }
    while (m_order.size() > PiecesKept) {
        m_targets.erase(m_order.front());
        m_order.pop_front();
    }
}

PrefixMemory::Warm PrefixMemory::warmest(std::span<const uint64_t> pieces) const
{
    for (size_t count = pieces.size(); count > 0; --count) {
        auto found = m_targets.find(pieces[count - 1]);
        if (found != m_targets.end())
            return { found->second, static_cast<uint32_t>(count) * PieceTokens };
    }
    return {};
}

} // namespace citronspoke::entry

#include "AnswerAssembly.h"

namespace citronspoke::entry {

void AnswerAssembly::take(uint32_t offset, std::string text, SteadyTime now, const Deliver& deliver)
{
    if (offset < m_nextOffset)
        return;
    if (offset > m_nextOffset) {
        m_early.emplace(offset, std::move(text));
        return updateGap(now);
    }
    m_nextOffset += 1;
    deliver(offset, text);
    while (!m_early.empty() && m_early.begin()->first <= m_nextOffset) {
        const auto first = m_early.begin();
        if (first->first == m_nextOffset) {
            m_nextOffset += 1;
            deliver(first->first, first->second);
        }
        m_early.erase(first);
    }
    updateGap(now);
}

void AnswerAssembly::noteLength(uint32_t totalTokens, SteadyTime now)
{
    m_totalTokens = totalTokens;
    updateGap(now);
}

void AnswerAssembly::updateGap(SteadyTime now)
{
    const bool hasGap = !m_early.empty() || (m_totalTokens && !isWhole());
    if (!hasGap)
        m_gapSince.reset();
    else if (!m_gapSince)
        m_gapSince = now;
}

bool AnswerAssembly::takeOverdueGap(SteadyTime now, Milliseconds limit)
{
    if (!m_gapSince || now - *m_gapSince <= limit)
        return false;
    m_gapSince = now;
    return true;
}

} // namespace citronspoke::entry

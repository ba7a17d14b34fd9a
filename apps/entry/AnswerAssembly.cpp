#include "AnswerAssembly.h"

namespace citronspoke::entry {

void AnswerAssembly::addToken(
    uint32_t offset, std::string text, SteadyTime now, const Deliver& deliver)
{
    if (offset < m_nextOffset)
        return;
    if (offset > m_nextOffset) {
        m_outOfOrderTokens.emplace(offset, std::move(text));
        return updateGap(now);
    }
    m_nextOffset += 1;
    deliver(offset, text);
    while (!m_outOfOrderTokens.empty() && m_outOfOrderTokens.begin()->first <= m_nextOffset) {
        const auto first = m_outOfOrderTokens.begin();
        if (first->first == m_nextOffset) {
            m_nextOffset += 1;
            deliver(first->first, first->second);
        }
        m_outOfOrderTokens.erase(first);
    }
    updateGap(now);
}

void AnswerAssembly::setTotalTokens(uint32_t totalTokens, SteadyTime now)
{
    m_totalTokens = totalTokens;
    updateGap(now);
}

void AnswerAssembly::updateGap(SteadyTime now)
{
    const bool hasGap = !m_outOfOrderTokens.empty() || (m_totalTokens && !isComplete());
    if (!hasGap)
        m_gapSince.reset();
    else if (!m_gapSince)
        m_gapSince = now;
}

bool AnswerAssembly::checkGapTimeout(SteadyTime now, Milliseconds limit)
{
    if (!m_gapSince || now - *m_gapSince <= limit)
        return false;
    m_gapSince = now;
    return true;
}

} // namespace citronspoke::entry

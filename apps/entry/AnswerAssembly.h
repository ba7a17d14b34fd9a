#pragma once

#include "model/Model.h"

#include <map>

namespace citronspoke::entry {

/**
 * Puts an answer together from chunks that come late, doubled or out of order: each token is
 * handed on once, in order, and the answer is whole only when its length has been reached.
 */
class AnswerAssembly {
public:
    using Deliver = std::function<void(uint32_t offset, std::string_view text)>;

    /** @param firstOffset of the token that is wanted first. */
    explicit AnswerAssembly(uint32_t firstOffset = 0)
        : m_nextOffset(firstOffset)
    {
    }

    /** Takes a chunk of one token. @param deliver is called for each token that is now due. */
    void addToken(uint32_t offset, std::string text, SteadyTime now, const Deliver& deliver);
    /** Notes the length of the whole answer in tokens. */
    void setTotalTokens(uint32_t totalTokens, SteadyTime now);

    uint32_t nextOffset() const noexcept { return m_nextOffset; }
    bool isComplete() const noexcept { return m_totalTokens && m_nextOffset >= *m_totalTokens; }
    /** @return whether tokens have been missing for @p limit; the wait then starts anew. */
    bool checkGapTimeout(SteadyTime now, Milliseconds limit);

private:
    void updateGap(SteadyTime now);

    uint32_t m_nextOffset;
    std::optional<uint32_t> m_totalTokens;
    /** Tokens that came early, by offset. */
    std::map<uint32_t, std::string> m_outOfOrderTokens;
    std::optional<SteadyTime> m_gapSince;
};

} // namespace citronspoke::entry

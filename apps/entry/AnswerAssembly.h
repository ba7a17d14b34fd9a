#pragma once

#include "model/Model.h"

#include <map>

namespace citronspoke::entry {

/**
 * Reassembles the tokens of a generated answer from chunks that may be late, duplicated or out of
 * order. Each token is delivered once and in order. The answer is complete when its total length is
 * known and that many tokens have been delivered.
 */
class AnswerAssembly {
public:
    using Deliver = std::function<void(uint32_t offset, std::string_view text)>;

    /** @param firstOffset offset of the first token to deliver. */
    explicit AnswerAssembly(uint32_t firstOffset = 0)
        : m_nextOffset(firstOffset)
    {
    }

    /**
     * Adds one token; ignores one that was delivered before.
     * @param deliver called for each token that is now next in order.
     */
    void addToken(uint32_t offset, std::string text, SteadyTime now, const Deliver& deliver);
    /** @param totalTokens the length of the whole answer. */
    void setTotalTokens(uint32_t totalTokens, SteadyTime now);

    /** @return the offset of the next token to deliver. */
    uint32_t nextOffset() const noexcept { return m_nextOffset; }
    bool isComplete() const noexcept { return m_totalTokens && m_nextOffset >= *m_totalTokens; }
    /**
     * @return true when a token has been missing for longer than @p limit; the time is then
     * measured anew from @p now.
     */
    bool checkGapTimeout(SteadyTime now, Milliseconds limit);

private:
    void updateGap(SteadyTime now);

    uint32_t m_nextOffset;
    std::optional<uint32_t> m_totalTokens;
    /** Tokens received ahead of a missing one, by offset. */
    std::map<uint32_t, std::string> m_outOfOrderTokens;
    /** Since when a token has been missing; none while no token is known to be missing. */
    std::optional<SteadyTime> m_gapSince;
};

} // namespace citronspoke::entry

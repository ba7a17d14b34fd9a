#include "dispatch/Dispatch.h"

#include <algorithm>

namespace citronspoke::dispatch {

namespace {

    /** Fetching a token from another engine against reading it; a move takes a small part. */
    constexpr double FetchCostShare = 0.05;

    /** The last part is the request's own; the one before it names what others share. */
    std::string_view sharedKey(const fleet::Prompt& prompt)
    {
        constexpr size_t OwnParts = 1;
        if (prompt.parts.size() <= OwnParts)
            return {};
        return prompt.parts[prompt.parts.size() - OwnParts - 1].id;
    }

    uint64_t sharedTokens(const fleet::Prompt& prompt)
    {
        uint64_t tokens = 0;
        for (size_t index = 0; index + 1 < prompt.parts.size(); ++index)
            tokens += prompt.parts[index].tokens;
        return tokens;
    }

    uint64_t homeRank(std::string_view key, const TargetId& engine)
    {
        return stableHash(std::string(key).append("/").append(engine.text()));
    }

    TargetState* homeOf(std::span<TargetState* const> readers, std::string_view key, SteadyTime now)
    {
        TargetState* home = nullptr;
        std::pair<bool, uint64_t> best;
        for (TargetState* reader : readers) {
            const std::pair<bool, uint64_t> rank(
                reader->avoidUntil <= now, homeRank(key, reader->entry.id));
            if (!home || rank > best) {
                home = reader;
                best = rank;
            }
        }
        return home;
    }

    /** The engine that has most of a prompt ready. */
    struct Source {
        const TargetState* engine = nullptr;
        uint64_t tokens = 0;
    };

    CacheLedger::Holding holdingOf(const CacheLedger::Holdings& holdings, const TargetState& engine)
    {
        const auto found = holdings.find(engine.entry.id.text());
        return found == holdings.end() ? CacheLedger::Holding {} : found->second;
    }

    Source bestSource(std::span<TargetState* const> holders, const CacheLedger::Holdings& holdings,
        SteadyTime now)
    {
        Source best;
        for (const TargetState* holder : holders) {
            if (holder->avoidUntil > now)
                continue;
            const uint64_t ready = holdingOf(holdings, *holder).ready;
            if (ready > best.tokens)
                best = { holder, ready };
        }
        return best;
    }

} // namespace

void ReadSpeed::noteRead(uint64_t tokens, uint64_t tokensAhead, Milliseconds took)
{
    // Short reads show the fixed cost of a step, and long queues mix in what others did.
    constexpr uint64_t FewestTokens = 500;
    constexpr double NewWeight = 0.1;
    if (tokens < FewestTokens || tokensAhead > tokens || took <= Milliseconds(0))
        return;
    const double sample
        = static_cast<double>(tokens + tokensAhead) / static_cast<double>(took.count());
    m_tokensPerMs
        = m_tokensPerMs == 0 ? sample : m_tokensPerMs + NewWeight * (sample - m_tokensPerMs);
}

Milliseconds ReadSpeed::estimate(uint64_t tokens) const
{
    if (m_tokensPerMs == 0)
        return Milliseconds(0);
    return Milliseconds(static_cast<int64_t>(static_cast<double>(tokens) / m_tokensPerMs));
}

namespace {

    /** A prompt takes this much of its time to the answer at most to count as short or medium. */
    constexpr int ShortDivisor = 8;
    constexpr int MediumDivisor = 3;
    constexpr uint32_t SizesPerRank = 3;
    constexpr uint32_t LowestRank = LateUrgency / SizesPerRank - 1;
    /** What is less urgent hardly delays a prompt, but will fill the engine after it. */
    constexpr double LessUrgentShare = 0.3;
    /** Part of what is ahead of a prompt is cancelled or takes less than feared, so that a prompt
     * goes last only when even this part of the expected time is too long. */
    constexpr int CertainPartDivisor = 2;
    /** New connections and bytes between zones are dear; each is worth some milliseconds of
     * reading. */
    constexpr double NewConnectionTokens = 400;
    constexpr double OtherZoneTokens = 200;

    Urgency urgencyOf(const PromptGoal& goal, Milliseconds readTime)
    {
        const uint32_t rank = std::min(goal.priority, LowestRank);
        uint32_t size = 2;
        if (readTime <= goal.timeLeft / ShortDivisor)
            size = 0;
        else if (readTime <= goal.timeLeft / MediumDivisor)
            size = 1;
        return static_cast<Urgency>(rank * SizesPerRank + size);
    }

} // namespace

PromptPlacement placePrompt(std::span<TargetState* const> readers,
    std::span<TargetState* const> holders, const fleet::Prompt& prompt, const PromptGoal& goal,
    const CacheLedger& ledger, const ReadSpeed& speed, const std::set<TargetId>& tried,
    SteadyTime now)
{
    const CacheLedger::Holdings holdings = ledger.holdings(prompt.parts);
    const Source source = holdings.empty() ? Source {} : bestSource(holders, holdings, now);
    const std::string_view key = sharedKey(prompt);
    const uint64_t shared = sharedTokens(prompt);
    // Only parts that no engine has need a home.
    const bool isNew = source.tokens < shared;
    const TargetState* home = isNew && !key.empty() ? homeOf(readers, key, now) : nullptr;

    PromptPlacement best;
    std::tuple<bool, double> bestRank;
    for (TargetState* reader : readers) {
        if (tried.contains(reader->entry.id))
            continue;
        const uint64_t held
            = std::min<uint64_t>(prompt.tokens, holdingOf(holdings, *reader).expected);
        const bool fetches = source.engine && source.engine != reader && source.tokens > held;
        const uint64_t start = fetches ? std::min<uint64_t>(prompt.tokens, source.tokens) : held;
        const uint64_t toRead = prompt.tokens - start;
        const Load load = reader->load();
        const Urgency urgency = urgencyOf(goal, speed.estimate(toRead));
        const uint64_t ahead = load.tokensAhead(urgency);
        double cost = static_cast<double>(ahead + toRead)
            + LessUrgentShare * static_cast<double>(load.tokensToRead() - ahead)
            + FetchCostShare * static_cast<double>(start - std::min(start, held));
        if (home && reader != home && held < shared)
            cost += static_cast<double>(shared - std::min(shared, start));
        cost += reader->isConnected ? 0 : NewConnectionTokens;
        cost += reader->entry.zone == goal.zone ? 0 : OtherZoneTokens;
        const std::tuple<bool, double> rank(reader->avoidUntil > now, cost);
        if (best.engine && rank >= bestRank)
            continue;
        bestRank = rank;
        best = { reader, fetches ? source.engine : nullptr, toRead, ahead, urgency };
    }
    const Milliseconds expected = speed.estimate(best.tokensAhead + best.tokensToRead);
    if (best.engine && expected / CertainPartDivisor > goal.timeLeft) {
        best.urgency = LateUrgency;
        best.tokensAhead = best.engine->load().tokensToRead();
    }
    return best;
}

TargetState* chooseTokenMaker(std::span<TargetState* const> makers, const std::set<TargetId>& tried,
    const ZoneId& zone, SteadyTime now)
{
    TargetState* best = nullptr;
    std::tuple<bool, uint64_t, bool> bestRank;
    for (TargetState* maker : makers) {
        if (tried.contains(maker->entry.id))
            continue;
        const std::tuple<bool, uint64_t, bool> rank(
            maker->avoidUntil > now, maker->load().cacheTokens, maker->entry.zone != zone);
        if (!best || rank < bestRank) {
            best = maker;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace citronspoke::dispatch

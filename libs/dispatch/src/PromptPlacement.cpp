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

} // namespace

void CacheLedger::noteRead(
    const TargetId& engine, uint64_t capacityTokens, const fleet::Prompt& prompt)
{
    EngineCache& cache = m_engines[engine];
    for (const fleet::PromptPart& part : prompt.parts) {
        const auto known = cache.byId.find(part.id);
        if (known != cache.byId.end()) {
            cache.parts.splice(cache.parts.end(), cache.parts, known->second);
            continue;
        }
        cache.parts.push_back({ part.id, part.tokens });
        cache.byId.emplace(part.id, std::prev(cache.parts.end()));
        cache.tokens += part.tokens;
    }
    while (cache.tokens > capacityTokens && !cache.parts.empty()) {
        cache.tokens -= cache.parts.front().tokens;
        cache.byId.erase(cache.parts.front().id);
        cache.parts.pop_front();
    }
}

void CacheLedger::forget(const TargetId& engine) { m_engines.erase(engine); }

uint64_t CacheLedger::cachedTokens(const TargetId& engine, const fleet::Prompt& prompt) const
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return 0;
    uint64_t tokens = 0;
    for (const fleet::PromptPart& part : prompt.parts) {
        if (!found->second.byId.contains(part.id))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

PromptPlacement placePrompt(std::span<TargetState* const> readers, const fleet::Prompt& prompt,
    const CacheLedger& ledger, const std::set<TargetId>& tried, SteadyTime now)
{
    const std::string_view key = sharedKey(prompt);
    const uint64_t shared = sharedTokens(prompt);
    TargetState* home = key.empty() ? nullptr : homeOf(readers, key, now);
    const bool isKnownAtHome = home && ledger.cachedTokens(home->entry.id, prompt) >= shared;

    PromptPlacement best;
    std::tuple<bool, double> bestRank;
    for (TargetState* reader : readers) {
        if (tried.contains(reader->entry.id))
            continue;
        const uint64_t cached
            = std::min<uint64_t>(prompt.tokens, ledger.cachedTokens(reader->entry.id, prompt));
        const uint64_t missing = prompt.tokens - cached;
        const bool fetches = reader != home && isKnownAtHome && cached < shared;
        const uint64_t fetched = fetches ? std::min(missing, shared - cached) : 0;
        double cost = static_cast<double>(reader->load().promptTokens + missing - fetched)
            + FetchCostShare * static_cast<double>(fetched);
        // A part that nobody has is read at its home, unless that costs more than reading it.
        if (home && reader != home && !isKnownAtHome && cached < shared)
            cost += static_cast<double>(shared);
        const std::tuple<bool, double> rank(reader->avoidUntil > now, cost);
        if (best.engine && rank >= bestRank)
            continue;
        bestRank = rank;
        best.engine = reader;
        best.fetchFrom = fetches ? home : nullptr;
        best.tokensToRead = missing - fetched;
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
        const std::tuple<bool, uint64_t, bool> rank(maker->avoidUntil > now,
            maker->load().cacheTokens, maker->entry.zone != zone);
        if (!best || rank < bestRank) {
            best = maker;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace citronspoke::dispatch

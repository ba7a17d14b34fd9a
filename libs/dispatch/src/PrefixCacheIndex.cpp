#include "dispatch/Dispatch.h"

namespace citronspoke::dispatch {

void PrefixCacheIndex::noteSent(
    const TargetId& engine, uint64_t capacityTokens, std::span<const fleet::PromptPart> parts)
{
    insertParts(engine, capacityTokens, parts, false);
}

void PrefixCacheIndex::notePrefilled(
    const TargetId& engine, uint64_t capacityTokens, std::span<const fleet::PromptPart> parts)
{
    insertParts(engine, capacityTokens, parts, true);
}

void PrefixCacheIndex::insertParts(const TargetId& engine, uint64_t capacityTokens,
    std::span<const fleet::PromptPart> parts, bool isReady)
{
    EngineCache& cache = m_engines[engine.text()];
    for (const fleet::PromptPart& part : parts) {
        const auto known = cache.byId.find(part.id);
        if (known != cache.byId.end()) {
            known->second->isReady = known->second->isReady || isReady;
            cache.parts.splice(cache.parts.end(), cache.parts, known->second);
            continue;
        }
        cache.parts.push_back({ part.id, part.tokens, isReady });
        cache.byId.emplace(part.id, std::prev(cache.parts.end()));
        cache.tokens += part.tokens;
        m_enginesByPart[part.id].insert(engine.text());
    }
    while (cache.tokens > capacityTokens && !cache.parts.empty()) {
        cache.tokens -= cache.parts.front().tokens;
        removeEngineOfPart(cache.parts.front().id, engine.text());
        cache.byId.erase(cache.parts.front().id);
        cache.parts.pop_front();
    }
}

void PrefixCacheIndex::noteNotPrefilled(
    const TargetId& engine, std::span<const fleet::PromptPart> parts)
{
    const auto found = m_engines.find(engine.text());
    if (found == m_engines.end())
        return;
    EngineCache& cache = found->second;
    for (const fleet::PromptPart& part : parts) {
        const auto known = cache.byId.find(part.id);
        if (known == cache.byId.end() || known->second->isReady)
            continue;
        cache.tokens -= known->second->tokens;
        removeEngineOfPart(part.id, engine.text());
        cache.parts.erase(known->second);
        cache.byId.erase(known);
    }
}

void PrefixCacheIndex::removeEngine(const TargetId& engine)
{
    const auto found = m_engines.find(engine.text());
    if (found == m_engines.end())
        return;
    for (const Part& part : found->second.parts)
        removeEngineOfPart(part.id, engine.text());
    m_engines.erase(found);
}

void PrefixCacheIndex::removeEngineOfPart(const std::string& part, const std::string& engine)
{
    const auto found = m_enginesByPart.find(part);
    if (found == m_enginesByPart.end())
        return;
    found->second.erase(engine);
    if (found->second.empty())
        m_enginesByPart.erase(found);
}

PrefixCacheIndex::CachedPrefix PrefixCacheIndex::cachedPrefix(
    const TargetId& engine, std::span<const fleet::PromptPart> parts) const
{
    const auto found = m_engines.find(engine.text());
    return found == m_engines.end() ? CachedPrefix {} : cachedPrefixIn(found->second, parts);
}

PrefixCacheIndex::CachedPrefixes PrefixCacheIndex::cachedPrefixes(
    std::span<const fleet::PromptPart> parts) const
{
    CachedPrefixes cachedPrefixes;
    const auto engines
        = parts.empty() ? m_enginesByPart.end() : m_enginesByPart.find(parts.front().id);
    if (engines == m_enginesByPart.end())
        return cachedPrefixes;
    for (const std::string& engine : engines->second)
        cachedPrefixes.emplace(engine, cachedPrefixIn(m_engines.at(engine), parts));
    return cachedPrefixes;
}

PrefixCacheIndex::CachedPrefix PrefixCacheIndex::cachedPrefixIn(
    const EngineCache& cache, std::span<const fleet::PromptPart> parts)
{
    CachedPrefix cachedPrefix;
    bool isReady = true;
    for (const fleet::PromptPart& part : parts) {
        const auto known = cache.byId.find(part.id);
        if (known == cache.byId.end())
            break;
        isReady = isReady && known->second->isReady;
        cachedPrefix.expectedTokens += part.tokens;
        if (isReady)
            cachedPrefix.readyTokens += part.tokens;
    }
    return cachedPrefix;
}

} // namespace citronspoke::dispatch

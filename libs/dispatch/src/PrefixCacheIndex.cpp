#include "dispatch/Dispatch.h"

namespace citronspoke::dispatch {

namespace {

    /** Entries of a part in the list of an engine and in two maps, without its id. */
    constexpr size_t EntryBytes = 288;
    constexpr size_t IdCopies = 3;

    size_t bytesOf(std::string_view id) { return EntryBytes + IdCopies * id.size(); }

} // namespace

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
        m_bytes += bytesOf(part.id);
    }
    while (cache.tokens > capacityTokens && !cache.parts.empty())
        erasePart(engine.text(), cache, cache.parts.begin());
    while (m_bytes > m_maxBytes)
        eraseFromLargest();
}

void PrefixCacheIndex::eraseFromLargest()
{
    const auto largest = std::max_element(
        m_engines.begin(), m_engines.end(), [](const auto& left, const auto& right) {
            return left.second.parts.size() < right.second.parts.size();
        });
    erasePart(largest->first, largest->second, largest->second.parts.begin());
}

void PrefixCacheIndex::erasePart(
    const std::string& engine, EngineCache& cache, std::list<Part>::iterator part)
{
    cache.tokens -= part->tokens;
    m_bytes -= bytesOf(part->id);
    removeEngineOfPart(part->id, engine);
    cache.byId.erase(part->id);
    cache.parts.erase(part);
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
        erasePart(engine.text(), cache, known->second);
    }
}

void PrefixCacheIndex::removeEngine(const TargetId& engine)
{
    const auto found = m_engines.find(engine.text());
    if (found == m_engines.end())
        return;
    for (const Part& part : found->second.parts) {
        m_bytes -= bytesOf(part.id);
        removeEngineOfPart(part.id, engine.text());
    }
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

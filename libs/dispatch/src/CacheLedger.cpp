#include "dispatch/Dispatch.h"

namespace citronspoke::dispatch {

void CacheLedger::noteSent(
    const TargetId& engine, uint64_t capacityTokens, std::span<const fleet::PromptPart> parts)
{
    note(engine, capacityTokens, parts, false);
}

void CacheLedger::noteRead(
    const TargetId& engine, uint64_t capacityTokens, std::span<const fleet::PromptPart> parts)
{
    note(engine, capacityTokens, parts, true);
}

void CacheLedger::note(const TargetId& engine, uint64_t capacityTokens,
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
        m_holders[part.id].insert(engine.text());
    }
    while (cache.tokens > capacityTokens && !cache.parts.empty()) {
        cache.tokens -= cache.parts.front().tokens;
        dropHolder(cache.parts.front().id, engine.text());
        cache.byId.erase(cache.parts.front().id);
        cache.parts.pop_front();
    }
}

void CacheLedger::noteNotRead(const TargetId& engine, std::span<const fleet::PromptPart> parts)
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
        dropHolder(part.id, engine.text());
        cache.parts.erase(known->second);
        cache.byId.erase(known);
    }
}

void CacheLedger::forget(const TargetId& engine)
{
    const auto found = m_engines.find(engine.text());
    if (found == m_engines.end())
        return;
    for (const Part& part : found->second.parts)
        dropHolder(part.id, engine.text());
    m_engines.erase(found);
}

void CacheLedger::dropHolder(const std::string& part, const std::string& engine)
{
    const auto found = m_holders.find(part);
    if (found == m_holders.end())
        return;
    found->second.erase(engine);
    if (found->second.empty())
        m_holders.erase(found);
}

CacheLedger::Holding CacheLedger::holding(
    const TargetId& engine, std::span<const fleet::PromptPart> parts) const
{
    const auto found = m_engines.find(engine.text());
    return found == m_engines.end() ? Holding {} : holdingIn(found->second, parts);
}

CacheLedger::Holdings CacheLedger::holdings(std::span<const fleet::PromptPart> parts) const
{
    Holdings holdings;
    const auto holders = parts.empty() ? m_holders.end() : m_holders.find(parts.front().id);
    if (holders == m_holders.end())
        return holdings;
    for (const std::string& engine : holders->second)
        holdings.emplace(engine, holdingIn(m_engines.at(engine), parts));
    return holdings;
}

CacheLedger::Holding CacheLedger::holdingIn(
    const EngineCache& cache, std::span<const fleet::PromptPart> parts)
{
    Holding holding;
    bool isReady = true;
    for (const fleet::PromptPart& part : parts) {
        const auto known = cache.byId.find(part.id);
        if (known == cache.byId.end())
            break;
        isReady = isReady && known->second->isReady;
        holding.expected += part.tokens;
        if (isReady)
            holding.ready += part.tokens;
    }
    return holding;
}

} // namespace citronspoke::dispatch

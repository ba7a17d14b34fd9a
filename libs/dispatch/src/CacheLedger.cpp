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
    EngineCache& cache = m_engines[engine];
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
    }
    while (cache.tokens > capacityTokens && !cache.parts.empty()) {
        cache.tokens -= cache.parts.front().tokens;
        cache.byId.erase(cache.parts.front().id);
        cache.parts.pop_front();
    }
}

void CacheLedger::noteNotRead(const TargetId& engine, std::span<const fleet::PromptPart> parts)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    EngineCache& cache = found->second;
    for (const fleet::PromptPart& part : parts) {
        const auto known = cache.byId.find(part.id);
        if (known == cache.byId.end() || known->second->isReady)
            continue;
        cache.tokens -= known->second->tokens;
        cache.parts.erase(known->second);
        cache.byId.erase(known);
    }
}

void CacheLedger::forget(const TargetId& engine) { m_engines.erase(engine); }

CacheLedger::Holding CacheLedger::holding(
    const TargetId& engine, std::span<const fleet::PromptPart> parts) const
{
    Holding holding;
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return holding;
    bool isReady = true;
    for (const fleet::PromptPart& part : parts) {
        const auto known = found->second.byId.find(part.id);
        if (known == found->second.byId.end())
            break;
        isReady = isReady && known->second->isReady;
        holding.expected += part.tokens;
        if (isReady)
            holding.ready += part.tokens;
    }
    return holding;
}

} // namespace citronspoke::dispatch

#pragma once

#include "fleet/Fleet.h"

#include <list>
#include <set>
#include <span>
#include <unordered_map>

namespace citronspoke::dispatch {

/**
 * Prefix cache index: which engines have which prompt parts cached, estimated from the prompts that
 * the entries have sent to them.
 */
class PrefixCacheIndex {
public:
    static constexpr size_t DefaultMaxBytes = size_t { 16 } << 20;

    PrefixCacheIndex()
        : PrefixCacheIndex(DefaultMaxBytes)
    {
    }
    /**
     * @param maxBytes memory of the index, above which the least recently used parts of the engine
     *        that has most are evicted: callers choose the parts, whose tokens may be few.
     */
    explicit PrefixCacheIndex(size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /** How much of a prompt an engine has cached, in tokens from the prompt's start. */
    struct CachedPrefix {
        /** Prefilled already, so that other engines can fetch it. */
        uint64_t readyTokens = 0;
        /** Prefilled, or to be prefilled for an earlier request. */
        uint64_t expectedTokens = 0;
    };

    /**
     * A prompt was sent to an engine, which will have its parts cached once it has prefilled them.
     * @param capacityTokens size of the engine's cache; least recently used parts are evicted.
     */
    void noteSent(
        const TargetId& engine, uint64_t capacityTokens, std::span<const fleet::PromptPart> parts);
    /** An engine has prefilled or fetched the parts of a prompt. */
    void notePrefilled(
        const TargetId& engine, uint64_t capacityTokens, std::span<const fleet::PromptPart> parts);
    /** The engine did not prefill a prompt that was sent; drops its parts that are not ready. */
    void noteNotPrefilled(const TargetId& engine, std::span<const fleet::PromptPart> parts);
    /** The engine is gone or has restarted, so its cache is empty. */
    void removeEngine(const TargetId& engine);
    /** @return memory that the parts take, roughly. */
    size_t memoryBytes() const noexcept { return m_bytes; }
    /** @return how much of a prompt one engine has cached. */
    CachedPrefix cachedPrefix(
        const TargetId& engine, std::span<const fleet::PromptPart> parts) const;
    /** Cached prefixes of a prompt by engine id; only engines that have its first part. */
    using CachedPrefixes = std::unordered_map<std::string_view, CachedPrefix>;
    /** @return valid until the index changes, because the ids are not copied. */
    CachedPrefixes cachedPrefixes(std::span<const fleet::PromptPart> parts) const;

private:
    struct Part {
        std::string id;
        uint32_t tokens = 0;
        bool isReady = false;
    };
    struct EngineCache {
        /** Least recently used first. */
        std::list<Part> parts;
        std::unordered_map<std::string, std::list<Part>::iterator> byId;
        uint64_t tokens = 0;
    };
    void insertParts(const TargetId& engine, uint64_t capacityTokens,
        std::span<const fleet::PromptPart> parts, bool isReady);
    static CachedPrefix cachedPrefixIn(
        const EngineCache& cache, std::span<const fleet::PromptPart> parts);
    void removeEngineOfPart(const std::string& part, const std::string& engine);
    void eraseFromLargest();
    void erasePart(const std::string& engine, EngineCache& cache, std::list<Part>::iterator part);

    size_t m_maxBytes;
    size_t m_bytes = 0;
    std::unordered_map<std::string, EngineCache> m_engines;
    /** Engine ids by part id. */
    std::unordered_map<std::string, std::set<std::string>> m_enginesByPart;
};

} // namespace citronspoke::dispatch

#pragma once

#include "model/Model.h"

#include <list>
#include <set>

namespace citronspoke::fakes {

using StreamNumber = Number<struct EngineStreamTag>;

/** One request as the engine's batch sees it. */
struct BatchRequest {
    StreamNumber id;
    /** Lower goes first. */
    int priority = 0;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    /** Tokens generated before, by this engine or another. */
    uint32_t generated = 0;
    /** Hashes of the prompt's pieces of about a thousand tokens. */
    std::vector<uint64_t> pieces;
    uint32_t prefilled = 0;
};

/** A token that came out of a step. */
struct GeneratedToken {
    StreamNumber id;
    uint32_t offset = 0;
    bool isLast = false;
};

struct BatchTiming {
    /** Of a step with an empty batch. */
    double stepMs = 4;
    double perStreamMs = 0.05;
    double perPrefillTokenMs = 0.02;
};

struct StepResult {
    std::vector<GeneratedToken> tokens;
    double durationMs = 0;
};

/**
 * Continuous batching: each step generates one token for each stream whose prompt has been
 * read, and reads prompts up to a budget that depends on the engine's role.
 */
class BatchModel {
public:
    BatchModel(BatchTiming timing, uint32_t slots, uint64_t cacheTokens);

    void add(BatchRequest request);
    void remove(StreamNumber id);
    void clear();
    /** Runs one step and says how long an engine takes for it. */
    StepResult step(EngineRole role);

    size_t running() const noexcept { return m_running.size(); }
    size_t waiting() const noexcept { return m_waiting.size(); }
    uint64_t cacheTokensUsed() const noexcept;

private:
    void admitWaiting();
    void skipCachedPieces(BatchRequest& request);
    void rememberPieces(const BatchRequest& request);

    BatchTiming m_timing;
    uint32_t m_slots;
    uint64_t m_cacheTokens;
    std::list<BatchRequest> m_running;
    std::list<BatchRequest> m_waiting;
    /** Cached pieces, the least recently used first. */
    std::list<uint64_t> m_pieceOrder;
    std::set<uint64_t> m_pieces;
};

} // namespace citronspoke::fakes

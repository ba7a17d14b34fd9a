#pragma once

#include "model/Model.h"

#include <list>
#include <set>

namespace citronspoke::fakes {

using StreamNumber = Number<struct EngineStreamTag>;

/** A request that waits for or occupies a slot of the batch. */
struct BatchRequest {
    StreamNumber id;
    /** Lower values are admitted first. */
    int priority = 0;
    uint32_t promptTokens = 0;
    /** Tokens of the whole output, including those generated before this request. */
    uint32_t outputTokens = 0;
    /** Output tokens generated so far, by this engine or, before a resume, by another. */
    uint32_t generated = 0;
    /** Chained hashes of the prompt's pieces of about a thousand tokens. */
    std::vector<uint64_t> pieces;
    /** Prompt tokens prefilled so far, or found in the prefix cache. */
    uint32_t prefilled = 0;
};

/** An output token generated in a step. */
struct GeneratedToken {
    StreamNumber id;
    /** Position in the output, from 0. */
    uint32_t offset = 0;
    bool isLast = false;
};

/** The parts of a step's duration, in milliseconds. */
struct BatchTiming {
    /** Duration of a step with an empty batch. */
    double stepMs = 4;
    /** Added for each stream that generates a token in the step. */
    double perStreamMs = 0.05;
    /** Added for each prompt token prefilled in the step. */
    double perPrefillTokenMs = 0.02;
};

/** The tokens that one step generated, and how long a real engine would take for it. */
struct StepResult {
    std::vector<GeneratedToken> tokens;
    double durationMs = 0;
};

/**
 * Models continuous batching: each step generates one token for each stream whose prompt is
 * prefilled, and prefills other prompts up to a token budget that depends on the engine's role.
 * Not thread-safe; the caller holds a lock.
 */
class BatchModel {
public:
    /**
     * @param slots requests that run at the same time.
     * @param cacheTokens capacity of the KV cache; a single request may exceed it.
     */
    BatchModel(BatchTiming timing, uint32_t slots, uint64_t cacheTokens);

    /** Queues a request by its priority. */
    void add(BatchRequest request);
    /** Removes a running or waiting request, if present. */
    void remove(StreamNumber id);
    /** Removes all requests and empties the prefix cache. */
    void clear();
    /** Runs one step and reports its duration; it does not sleep. */
    StepResult step(EngineRole role);

    size_t running() const noexcept { return m_running.size(); }
    size_t waiting() const noexcept { return m_waiting.size(); }
    /** @return KV cache tokens reserved for the running requests. */
    uint64_t cacheTokensUsed() const noexcept;

private:
    void admitWaiting();
    void skipCachedPieces(BatchRequest& request);
    void cachePieces(const BatchRequest& request);

    BatchTiming m_timing;
    uint32_t m_slots;
    uint64_t m_cacheTokens;
    std::list<BatchRequest> m_running;
    std::list<BatchRequest> m_waiting;
    /** Cached pieces, least recently used first; m_pieces indexes them. */
    std::list<uint64_t> m_pieceOrder;
    std::set<uint64_t> m_pieces;
};

} // namespace citronspoke::fakes

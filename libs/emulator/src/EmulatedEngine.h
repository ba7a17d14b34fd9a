#pragma once

#include "EventQueue.h"
#include "emulator/Emulator.h"

namespace citronspoke::emulator {

/** A model engine that prefills prompts in chunks, or decodes many requests step by step. */
class EmulatedEngine {
public:
    /** Receives whether the work was done; false after a crash of an engine that takes part. */
    using Done = std::function<void(bool)>;
    using JobId = uint64_t;

    /** @param slowdown factor on the processing times of the model. */
    EmulatedEngine(EventQueue& queue, const EngineModel& model, const fleet::TargetRecord& record,
        double slowdown);

    const fleet::TargetRecord& record() const noexcept { return m_record; }
    bool isUp() const noexcept { return m_isUp; }
    /** Fails all work and drops all cached prompt parts. */
    void crash();
    /** Starts with an empty cache, as a target with another id. */
    void restart(const TargetId& id);
    /** @param factor on the time of transfers from and to this engine. */
    void setLinkSlowdown(double factor) { m_linkSlowdown = factor; }

    /** Queues the prefill of a prompt behind more urgent prompts; cached parts are not computed. */
    JobId prefill(const fleet::Prompt& prompt, dispatch::Urgency urgency, Done done);
    /**
     * Copies the cached prompt parts that another engine has and this one lacks, then calls back.
     * @param done receives whether this engine is up; a failed copy only means more to prefill.
     */
    void fetch(EmulatedEngine& source, const fleet::Prompt& prompt, Done done);
    /**
     * Transfers the KV cache of a prompt from its prefill engine and decodes the output.
     * @param onFirstToken is called at the first token, @p done after the last.
     */
    JobId decode(EmulatedEngine& prefillEngine, uint64_t promptTokens, uint32_t outputTokens,
        Done onFirstToken, Done done);
    /** Removes a queued or running job without a call of its callbacks. */
    void cancel(JobId job);

    uint64_t tokensPrefilled() const noexcept { return m_tokensPrefilled; }
    uint64_t tokensFetched() const noexcept { return m_tokensFetched; }
    Micros busyTime() const noexcept { return m_busyTime; }

private:
    struct PrefillJob {
        JobId id = 0;
        fleet::Prompt prompt;
        dispatch::Urgency urgency = 0;
        Done done;
        bool isStarted = false;
        uint64_t tokensLeft = 0;
    };
    struct DecodeJob {
        JobId id = 0;
        uint64_t tokens = 0;
        uint32_t tokensLeft = 0;
        bool isFirstToken = true;
        Done onFirstToken;
        Done done;
    };

    void prefillNextChunk();
    void finishPrefill(JobId job);
    void admitWaiting();
    void step();
    /** @param done receives false when one of the engines crashed meanwhile. */
    void transfer(EmulatedEngine& source, uint64_t tokens, Done done);
    /** @return a task that does nothing when the engine has crashed by then. */
    std::function<void()> inThisIncarnation(std::function<void()> task);

    EventQueue& m_queue;
    const EngineModel& m_model;
    fleet::TargetRecord m_record;
    double m_slowdown;
    double m_linkSlowdown = 1;
    bool m_isUp = true;
    uint64_t m_incarnation = 0;
    JobId m_lastJob = 0;
    dispatch::PrefixCacheIndex m_cache;
    std::vector<PrefillJob> m_prefills;
    bool m_isPrefilling = false;
    /** Decode jobs whose KV cache is in transfer from the prefill engine. */
    std::set<JobId> m_transferring;
    std::vector<DecodeJob> m_waiting;
    std::vector<DecodeJob> m_running;
    bool m_isStepping = false;
    Micros m_linkFreeAt { 0 };
    uint64_t m_tokensPrefilled = 0;
    uint64_t m_tokensFetched = 0;
    Micros m_busyTime { 0 };
};

} // namespace citronspoke::emulator

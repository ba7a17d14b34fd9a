#pragma once

#include "EventQueue.h"
#include "emulator/Emulator.h"

namespace citronspoke::emulator {

/** One model engine: reads prompts in pieces, or makes tokens step by step. */
class EmulatedEngine {
public:
    /** Gets whether the work was done; it is not when the engine crashes. */
    using Done = std::function<void(bool)>;
    using JobId = uint64_t;

    EmulatedEngine(EventQueue& queue, const EngineModel& model, const fleet::TargetEntry& entry,
        double slowness);

    const fleet::TargetEntry& entry() const noexcept { return m_entry; }
    bool isUp() const noexcept { return m_isUp; }
    void crash();
    /** Starts empty under another id. */
    void restart(const TargetId& id);
    void slowLinks(double factor) { m_linkFactor = factor; }

    /** Reads a prompt after what is more urgent. */
    JobId read(const fleet::Prompt& prompt, dispatch::Urgency urgency, Done done);
    /** Fetches the parts that another engine has beyond those of this one, then calls back. */
    void fetch(EmulatedEngine& source, const fleet::Prompt& prompt, Done done);
    /** Takes a prompt's cache over from its reader and makes tokens. @param onFirst at the first.
     */
    JobId make(EmulatedEngine& reader, uint64_t promptTokens, uint32_t outputTokens, Done onFirst,
        Done done);
    void cancel(JobId job);

    uint64_t tokensRead() const noexcept { return m_tokensRead; }
    uint64_t tokensFetched() const noexcept { return m_tokensFetched; }
    Micros busyTime() const noexcept { return m_busy; }

private:
    struct Reading {
        JobId id = 0;
        fleet::Prompt prompt;
        dispatch::Urgency urgency = 0;
        Done done;
        bool isBegun = false;
        uint64_t left = 0;
    };
    struct Making {
        JobId id = 0;
        uint64_t tokens = 0;
        uint32_t left = 0;
        bool isFirst = true;
        Done onFirst;
        Done done;
    };

    void readNext();
    void endReading(JobId job);
    void takeWaiting();
    void step();
    /** @param done gets false when the engine crashed meanwhile. */
    void transfer(EmulatedEngine& source, uint64_t tokens, Done done);
    std::function<void()> inThisLife(std::function<void()> task);

    EventQueue& m_queue;
    const EngineModel& m_model;
    fleet::TargetEntry m_entry;
    double m_slowness;
    double m_linkFactor = 1;
    bool m_isUp = true;
    uint64_t m_life = 0;
    JobId m_lastJob = 0;
    dispatch::CacheLedger m_cache;
    std::vector<Reading> m_readings;
    bool m_isReading = false;
    /** Their caches are on the way from the readers. */
    std::set<JobId> m_arriving;
    std::vector<Making> m_waiting;
    std::vector<Making> m_running;
    bool m_isStepping = false;
    Micros m_linkFreeAt { 0 };
    uint64_t m_tokensRead = 0;
    uint64_t m_tokensFetched = 0;
    Micros m_busy { 0 };
};

} // namespace citronspoke::emulator

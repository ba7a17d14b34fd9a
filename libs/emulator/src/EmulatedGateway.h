#pragma once

#include "Arrivals.h"
#include "EmulatedEngine.h"

namespace citronspoke::emulator {

/** The one pool that all engines of a play belong to. */
inline const PoolId EnginePool("engines");

/** What all gateways of a play share. */
struct Fleet {
    EventQueue& queue;
    const Site& site;
    Policy policy;
    std::vector<std::unique_ptr<EmulatedEngine>> engines;
    std::mt19937_64 random;
    /** What one gateway tells the others. */
    std::function<void(const EntryId&, const TargetId&, const dispatch::Load&)> tellLoad;
    std::function<void(const EntryId&, const TargetId&, const std::vector<fleet::PromptPart>&)>
        tellParts;

    EmulatedEngine* find(const TargetId& id);
};

/** Takes requests through reading and making, as the gateway program does. */
class EmulatedGateway {
public:
    using Ended = std::function<void(bool)>;

    EmulatedGateway(Fleet& fleet, EntryId id, ZoneId zone);

    const EntryId& id() const noexcept { return m_id; }
    /** Forgets everything and reads the list of engines, as a new process does. */
    void restart();
    void put(const fleet::TargetEntry& entry);
    void remove(const TargetId& engine);
    void notePeerLoad(const EntryId& peer, const TargetId& engine, const dispatch::Load& load);
    void noteParts(const TargetId& engine, std::span<const fleet::PromptPart> parts);
    /** Tells the others all its loads again. */
    void repeatLoads();

    /**
     * @param timeLeft until the answer should begin.
     * @param onFirst at the first token. @param ended with whether the request was served.
     * @return lets the caller leave.
     */
    std::function<void()> submit(const Arrival& arrival, const RequestKind& kind, Micros timeLeft,
        std::function<void()> onFirst, Ended ended);

private:
    struct Run;

    dispatch::PromptPlacement place(const Run& run);
    dispatch::TargetState* chooseMaker(const Run& run, const ZoneId& zone);
    void startReading(const std::shared_ptr<Run>& run);
    void afterReading(const std::shared_ptr<Run>& run, const dispatch::PromptPlacement& placement,
        const TargetId& engine, Micros startedAt, bool isDone);
    void afterMaking(const std::shared_ptr<Run>& run, const TargetId& maker, bool isDone);
    void startMaking(const std::shared_ptr<Run>& run, const TargetId& reader);
    void hold(Run& run, const TargetId& engine, const dispatch::Load& load);
    void release(Run& run);
    std::vector<dispatch::TargetState*> inRole(EngineRole role);

    Fleet& m_fleet;
    EntryId m_id;
    ZoneId m_zone;
    dispatch::TargetDirectory m_directory;
    dispatch::CacheLedger m_ledger;
    dispatch::ReadSpeed m_speed;
    uint64_t m_turn = 0;
};

} // namespace citronspoke::emulator

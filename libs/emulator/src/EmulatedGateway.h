#pragma once

#include "Arrivals.h"
#include "EmulatedEngine.h"

namespace citronspoke::emulator {

/** The pool of all engines. */
inline const PoolId EnginePool("engines");

/** The engines, and what all gateways of a simulation run share. */
struct EmulatedFleet {
    EventQueue& queue;
    const Site& site;
    Policy policy;
    std::vector<std::unique_ptr<EmulatedEngine>> engines;
    std::mt19937_64 random;
    /** Send the load or the cached parts of an engine from one gateway to all others. */
    std::function<void(const EntryId&, const TargetId&, const dispatch::Load&)> publishLoad;
    std::function<void(const EntryId&, const TargetId&, const std::vector<fleet::PromptPart>&)>
        publishCachedParts;

    /** @return null when no engine has this id, for example after its restart. */
    EmulatedEngine* find(const TargetId& id);
};

/** Sends requests to a prefill and a decode engine with retries, as the gateway program does. */
class EmulatedGateway {
public:
    /** Receives whether the request was served. */
    using EndCallback = std::function<void(bool)>;

    EmulatedGateway(EmulatedFleet& fleet, EntryId id, ZoneId zone);

    const EntryId& id() const noexcept { return m_id; }
    /** Drops all state and reads the list of engines, as a new process does. */
    void restart();
    /** Adds or replaces the record of an engine. */
    void put(const fleet::TargetRecord& record);
    void remove(const TargetId& engine);
    void notePeerLoad(const EntryId& peer, const TargetId& engine, const dispatch::Load& load);
    void noteCachedParts(const TargetId& engine, std::span<const fleet::PromptPart> parts);
    /** Sends the other gateways all current loads of this one. */
    void republishLoads();

    /**
     * Starts a request.
     * @param timeLeft until the first token is due.
     * @param onFirstToken is called at the first token.
     * @param onEnd is called at the end, unless the caller cancels first.
     * @return cancels the request.
     */
    std::function<void()> submit(const Arrival& arrival, const RequestKind& kind, Micros timeLeft,
        std::function<void()> onFirstToken, EndCallback onEnd);

private:
    struct ActiveRequest;

    dispatch::PromptPlacement choosePlacement(const ActiveRequest& request);
    dispatch::TargetState* chooseDecodeEngine(const ActiveRequest& request, const ZoneId& zone);
    void startPrefill(const std::shared_ptr<ActiveRequest>& request);
    void afterPrefill(const std::shared_ptr<ActiveRequest>& request,
        const dispatch::PromptPlacement& placement, const TargetId& engine, Micros startedAt,
        bool isDone);
    void afterDecode(
        const std::shared_ptr<ActiveRequest>& request, const TargetId& decodeEngine, bool isDone);
    void startDecode(const std::shared_ptr<ActiveRequest>& request, const TargetId& prefillEngine);
    void addLoad(ActiveRequest& request, const TargetId& engine, const dispatch::Load& load);
    void releaseLoad(ActiveRequest& request);
    std::vector<dispatch::TargetState*> usableEngines(EngineRole role);

    EmulatedFleet& m_fleet;
    EntryId m_id;
    ZoneId m_zone;
    dispatch::TargetDirectory m_directory;
    dispatch::PrefixCacheIndex m_cacheIndex;
    dispatch::PrefillSpeed m_prefillSpeed;
    uint64_t m_roundRobinTurn = 0;
};

} // namespace citronspoke::emulator

#pragma once

#include "dispatch/Dispatch.h"

namespace citronspoke::gateway {

/** The choices among targets; the costs of each have a unit of their own. */
enum class ChoiceKind : uint8_t { Target, PrefillEngine, DecodeEngine };

/**
 * What this gateway knows of the load of others and of the speeds of engines, for choices that
 * spread requests evenly. Used by the event loop's thread only.
 */
class EvenLoads {
public:
    /** @param isEnabled otherwise choices go by the last reports alone. */
    EvenLoads(EntryId id, bool isEnabled)
        : m_id(std::move(id))
        , m_isEnabled(isEnabled)
    {
    }
    /** @param gateways all of them, in the order that all know. */
    void updateGateways(std::span<const EntryId> gateways);
    /**
     * @param draw random, uniform in [0, 1).
     * @return what the next choice has to consider; null while this is not enabled.
     */
    const dispatch::EvenLoad* next(const PoolId& pool, ChoiceKind kind,
        const dispatch::TargetDirectory& directory, double draw, SteadyTime now);
    /** A request was sent after a choice. @param work in the unit of that choice. */
    void noteSent(const PoolId& pool, ChoiceKind kind, double work, SteadyTime now);
    /** @param engine null when it is gone. @param stepMs mean time from one token to the next. */
    void noteDecoded(
        const PoolId& pool, dispatch::TargetState* engine, double stepMs, SteadyTime now);
    /**
     * A prompt was prefilled; adds to the metrics of expected and measured time.
     * @param reportAge mean age of other gateways' reports when its engine was chosen.
     */
    static void observePrefill(
        Milliseconds expected, Milliseconds measured, Milliseconds reportAge);

private:
    EntryId m_id;
    bool m_isEnabled;
    uint32_t m_gateway = 0;
    uint32_t m_gateways = 0;
    std::map<std::pair<PoolId, ChoiceKind>, dispatch::EvenLoad> m_loads;
};

} // namespace citronspoke::gateway

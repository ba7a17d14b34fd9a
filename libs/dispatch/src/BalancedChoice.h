#pragma once

#include "dispatch/Dispatch.h"

namespace citronspoke::dispatch {

/** The candidates of one choice; keeps its memory between choices. */
class BalancedChoice {
public:
    /** What the requests of a candidate wait for. */
    enum class Resource : uint8_t {
        /** An engine that runs one request after another; costs are in milliseconds. */
        Queue,
        Slots,
    };

    /** Clears the candidates of the previous choice. */
    BalancedChoice(Resource resource, const EvenLoad& even, size_t candidates, SteadyTime now);

    /**
     * Adds a candidate; those to be avoided count only while there are no others.
     * @param position among all candidates, in the order that all gateways know.
     */
    void add(size_t position, bool isAvoided, balance::Candidate candidate);
    /** @return the position of the chosen candidate; none when none was added. */
    std::optional<size_t> choose() const;

private:
    struct Scratch {
        std::vector<balance::Candidate> candidates;
        std::vector<size_t> positions;
    };
    static Scratch& scratch();

    Resource m_resource;
    const EvenLoad& m_even;
    size_t m_count;
    SteadyTime m_now;
    Scratch& m_scratch;
    bool m_isAvoided = true;
};

} // namespace citronspoke::dispatch

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
    void add(size_t position, bool isAvoided, balance::Candidate candidate)
    {
        if (isAvoided && !m_isAvoided)
            return;
        if (!isAvoided && m_isAvoided) {
            m_scratch.candidates.clear();
            m_scratch.positions.clear();
            m_isAvoided = false;
        }
        candidate.ageMs = m_even.reportAgeMs;
        candidate.isHome = position >= m_homeBegin && position < m_homeEnd;
        m_scratch.candidates.push_back(candidate);
        m_scratch.positions.push_back(position);
    }
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
    SteadyTime m_now;
    Scratch& m_scratch;
    /** The positions of the home engines, as balance::isHomeOf() has them. */
    size_t m_homeBegin = 0;
    size_t m_homeEnd = 0;
    bool m_isAvoided = true;
};

} // namespace citronspoke::dispatch

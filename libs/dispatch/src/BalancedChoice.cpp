#include "BalancedChoice.h"

namespace citronspoke::dispatch {

BalancedChoice::Scratch& BalancedChoice::scratch()
{
    thread_local Scratch memory;
    return memory;
}

BalancedChoice::BalancedChoice(
    Resource resource, const EvenLoad& even, size_t candidates, SteadyTime now)
    : m_resource(resource)
    , m_even(even)
    , m_count(candidates)
    , m_now(now)
    , m_scratch(scratch())
{
    m_scratch.candidates.clear();
    m_scratch.positions.clear();
}

void BalancedChoice::add(size_t position, bool isAvoided, balance::Candidate candidate)
{
    if (isAvoided && !m_isAvoided)
        return;
    if (!isAvoided && m_isAvoided) {
        m_scratch.candidates.clear();
        m_scratch.positions.clear();
        m_isAvoided = false;
    }
    candidate.ageMs = m_even.reportAgeMs;
    candidate.isHome = balance::isHomeOf(m_even.gateway, m_even.gateways, position, m_count);
    m_scratch.candidates.push_back(candidate);
    m_scratch.positions.push_back(position);
}

std::optional<size_t> BalancedChoice::choose() const
{
    if (m_scratch.candidates.empty())
        return std::nullopt;
    const balance::Arrivals arrivals = m_resource == Resource::Queue
        ? balance::arrivalsOfOthers(m_scratch.candidates, m_even.own, m_even.gateways, m_now)
        : balance::arrivalsOfOthers(m_even.own, m_even.gateways, m_now);
    return m_scratch.positions[balance::chooseEngine(m_scratch.candidates, arrivals, m_even.draw)];
}

} // namespace citronspoke::dispatch

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
    , m_now(now)
    , m_scratch(scratch())
{
    m_scratch.candidates.clear();
    m_scratch.positions.clear();
    if (even.gateway >= even.gateways || even.gateways > candidates)
        return;
    const auto firstHomeOf = [&](size_t gateway) {
        return (gateway * candidates + even.gateways - 1) / even.gateways;
    };
    m_homeBegin = firstHomeOf(even.gateway);
    m_homeEnd = firstHomeOf(even.gateway + 1);
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

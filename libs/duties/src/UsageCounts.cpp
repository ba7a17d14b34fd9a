#include "duties/Duties.h"

#include <algorithm>

namespace citronspoke::duties {

namespace {

    const Counts NoCounts;

} // namespace

void UsageCounts::add(
    WindowNumber window, const CountSource& source, const OrganisationId& organisation)
{
    if (window > m_droppedThrough)
        m_windows[window][source][organisation] += 1;
}

void UsageCounts::merge(WindowNumber window, const CountSource& source, const Counts& counts)
{
    if (window <= m_droppedThrough || counts.empty())
        return;
    Counts& known = m_windows[window][source];
    for (const auto& [organisation, count] : counts) {
        uint64_t& value = known[organisation];
        value = std::max(value, count);
    }
}

Counts UsageCounts::total(WindowNumber window) const
{
    Counts sum;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return sum;
    for (const auto& [source, counts] : found->second) {
        for (const auto& [organisation, count] : counts)
            sum[organisation] += count;
    }
    return sum;
}

const Counts& UsageCounts::of(WindowNumber window, const CountSource& source) const
{
    const auto sources = m_windows.find(window);
    if (sources == m_windows.end())
        return NoCounts;
    const auto counts = sources->second.find(source);
    return counts == sources->second.end() ? NoCounts : counts->second;
}

std::vector<WindowNumber> UsageCounts::windows(const CountSource& source) const
{
    std::vector<WindowNumber> counted;
    for (const auto& [window, sources] : m_windows) {
        if (sources.contains(source))
            counted.push_back(window);
    }
    return counted;
}

std::optional<WindowNumber> UsageCounts::first() const
{
    if (m_windows.empty())
        return std::nullopt;
    return m_windows.begin()->first;
}

void UsageCounts::dropThrough(WindowNumber window)
{
    m_droppedThrough = std::max(m_droppedThrough, window);
    m_windows.erase(m_windows.begin(), m_windows.upper_bound(m_droppedThrough));
}

} // namespace citronspoke::duties

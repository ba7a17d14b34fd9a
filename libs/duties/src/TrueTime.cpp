#include "duties/Duties.h"

#include <algorithm>

namespace citronspoke::duties {

namespace {

    /** Several times the interval of the messages that carry clocks. */
    constexpr Milliseconds SampleLifetime { 20000 };

} // namespace

void TrueTime::note(const EntryId& source, UnixMillis clock, BootTime now)
{
    m_samples[source] = { clock.value() - now.time_since_epoch().count(), now };
    std::erase_if(
        m_samples, [now](const auto& item) { return now - item.second.at > SampleLifetime; });
}

std::optional<UnixMillis> TrueTime::estimate(BootTime now) const
{
    if (m_samples.size() < std::max(m_minSamples, size_t { 1 }))
        return std::nullopt;
    std::vector<int64_t> offsets;
    for (const auto& [source, sample] : m_samples)
        offsets.push_back(sample.offset);
    std::sort(offsets.begin(), offsets.end());
    const size_t upper = offsets.size() / 2;
    // The mean of the two middle samples would move with a clock that jumps.
    return UnixMillis(offsets[upper] + now.time_since_epoch().count());
}

} // namespace citronspoke::duties

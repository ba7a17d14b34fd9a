#include "streams/Streams.h"

namespace citronspoke::streams {

void VersionHistory::note(std::set<SoftwareVersion> present, SteadyTime now)
{
    m_present = std::move(present);
    for (const SoftwareVersion& version : m_present)
        m_lastPresent[version] = now;
}

void VersionHistory::noteSeen(const SoftwareVersion& version, SteadyTime now)
{
    m_lastPresent[version] = now;
}

void VersionHistory::noteRecorded(const std::set<SoftwareVersion>& recorded, SteadyTime now)
{
    for (const SoftwareVersion& version : recorded)
        m_lastPresent.try_emplace(version, now);
}

VersionView VersionHistory::view(
    SteadyTime now, Milliseconds window, const TargetContact& contact) const
{
    VersionView view { {}, false, contact.isCurrent };
    for (const auto& [version, lastPresent] : m_lastPresent) {
        if (now - lastPresent <= window)
            view.versions.insert(version);
    }
    // Where neither targets nor records state versions, there are none to be joined.
    const bool isWithoutVersions = view.versions == std::set { SoftwareVersion() };
    view.coversWindow
        = contact.followedSince && (isWithoutVersions || now - *contact.followedSince >= window);
    return view;
}

VersionView combine(std::span<const VersionView> views)
{
    VersionView all { {}, !views.empty(), !views.empty() };
    for (const VersionView& view : views) {
        all.versions.insert(view.versions.begin(), view.versions.end());
        all.coversWindow = all.coversWindow && view.coversWindow;
        all.isCurrent = all.isCurrent && view.isCurrent;
    }
    return all;
}

void VersionHistory::expire(SteadyTime now, Milliseconds window)
{
    std::erase_if(
        m_lastPresent, [now, window](const auto& item) { return now - item.second > window; });
}

} // namespace citronspoke::streams

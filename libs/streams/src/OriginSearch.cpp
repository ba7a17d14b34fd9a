#include "streams/Streams.h"

#include <array>

namespace citronspoke::streams {

std::string_view toText(Origin::Basis basis)
{
    constexpr std::array<std::string_view, 3> Names { "record", "only_version", "unknown" };
    return Names.at(static_cast<size_t>(basis));
}

OriginSearch::OriginSearch(VersionView own, const Asked& asked)
    : m_asked(asked)
    , m_versions(std::move(own.versions))
    , m_coversWindow(own.coversWindow)
    , m_isConfirmed(own.coversWindow && own.isCurrent)
{
}

void OriginSearch::add(const OriginReply& reply)
{
    if (!m_replied.insert(reply.gateway).second)
        return;
    if (reply.origin)
        m_recorded = reply.origin;
    const VersionView& view = reply.view;
    m_versions.insert(view.versions.begin(), view.versions.end());
    m_coversWindow = m_coversWindow || view.coversWindow;
    m_isConfirmed = m_isConfirmed || (view.coversWindow && view.isCurrent);
}

void OriginSearch::addFromSidecar(const OriginReply& reply)
{
    m_sidecarsReplied.insert(reply.gateway);
    if (reply.origin)
        m_recorded = reply.origin;
}

bool OriginSearch::isComplete() const noexcept
{
    return m_recorded || (haveGatewaysReplied() && m_sidecarsReplied.size() >= m_asked.sidecars);
}

bool OriginSearch::isConfirmed() const noexcept
{
    if (m_asked.gateways == 0)
        return m_isConfirmed;
    // A gateway that was cut off, or stood still, a moment ago still seems to be current: without
    // the others it cannot tell whether a version has begun to serve since then.
    const bool haveMostReplied = m_replied.size() * 2 > m_asked.gateways;
    return haveGatewaysReplied() ? m_coversWindow : m_isConfirmed && haveMostReplied;
}

Origin OriginSearch::result() const
{
    if (m_recorded)
        return { Origin::Basis::Record, m_recorded->version, m_recorded->pool };
    if (m_versions.size() == 1 && isConfirmed())
        return { Origin::Basis::OnlyVersion, *m_versions.begin(), {} };
    return {};
}

} // namespace citronspoke::streams

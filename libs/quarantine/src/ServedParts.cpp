#include "quarantine/Quarantine.h"

namespace citronspoke::quarantine {

ServedParts::ServedParts(Milliseconds lifetime, size_t capacity)
    : m_lifetime(lifetime)
    , m_capacity(capacity)
{
    require(capacity > 1, "capacity > 1");
}

void ServedParts::note(std::span<const PromptPartId> parts, SteadyTime now)
{
    const bool isOld = now - m_current.begin >= m_lifetime / 2;
    if (isOld || m_current.parts.size() + parts.size() > m_capacity / 2) {
        m_previous = std::move(m_current);
        m_current = { now, false, {} };
    }
    m_current.hasPrompts = true;
    m_current.parts.insert(parts.begin(), parts.end());
}

bool ServedParts::contains(const PromptPartId& part, SteadyTime now) const
{
    const auto holds = [this, &part, now](const Generation& generation) {
        return now - generation.begin < m_lifetime && generation.parts.contains(part);
    };
    return holds(m_current) || holds(m_previous);
}

bool ServedParts::empty(SteadyTime now) const
{
    const auto holds = [this, now](const Generation& generation) {
        return now - generation.begin < m_lifetime && generation.hasPrompts;
    };
    return !holds(m_current) && !holds(m_previous);
}

} // namespace citronspoke::quarantine

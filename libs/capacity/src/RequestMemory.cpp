#include "capacity/Capacity.h"

namespace citronspoke::capacity {

RequestMemory::RequestMemory(const Limits& limits)
    : m_limits(limits)
{
}

size_t RequestMemory::limitFor(const HeldMemory& held) const noexcept
{
    const bool isSmall = held.m_bytes <= m_limits.smallRequestBytes;
    return isSmall ? m_limits.totalBytes : m_limits.totalBytes - m_limits.reservedBytes;
}

bool RequestMemory::makeRoom(HeldMemory& grown, SteadyTime now)
{
    while (m_total > limitFor(grown)) {
        HeldMemory* next = nextToGiveWay(grown, now);
        if (!next || next == &grown)
            return false;
        next->detach();
        // The callback may destroy the object that it belongs to.
        const std::function<void()> giveWay = std::move(next->m_giveWay);
        giveWay();
    }
    return true;
}

HeldMemory* RequestMemory::nextToGiveWay(const HeldMemory& grown, SteadyTime now) const
{
    const bool isSmall = grown.m_bytes <= m_limits.smallRequestBytes;
    if (!isSmall && grown.m_kind == HeldMemory::Kind::Event)
        return nullptr;
    HeldMemory* next = nullptr;
    double most = -1;
    for (HeldMemory* held : m_receiving) {
        // Many small requests would have to give way to a large one.
        if (!isSmall && held->m_bytes <= m_limits.smallRequestBytes)
            continue;
        const double weight = held->weight(now);
        if (weight > most) {
            most = weight;
            next = held;
        }
    }
    return next;
}

bool RequestMemory::mayExceed(HeldMemory& served)
{
    if (!m_unlimited)
        m_unlimited = &served;
    if (m_unlimited == &served)
        return true;
    if (!std::exchange(served.m_isWaiting, true))
        m_waiting.push_back(&served);
    return false;
}

void RequestMemory::resumeWaiting()
{
    while (!m_waiting.empty()) {
        HeldMemory* next = m_waiting.front();
        if (m_unlimited && m_total > limitFor(*next))
            return;
        if (!m_unlimited)
            m_unlimited = next;
        m_waiting.pop_front();
        next->m_isWaiting = false;
        next->m_resume();
    }
}

} // namespace citronspoke::capacity

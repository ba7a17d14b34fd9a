#include "capacity/Capacity.h"

namespace citronspoke::capacity {

HeldMemory::HeldMemory(
    std::shared_ptr<RequestMemory> memory, std::function<void()> giveWay, SteadyTime now, Kind kind)
    : m_memory(std::move(memory))
    , m_giveWay(std::move(giveWay))
    , m_beganAt(now)
    , m_kind(kind)
{
    m_position = m_memory->m_receiving.insert(m_memory->m_receiving.end(), this);
}

HeldMemory::~HeldMemory() { detach(); }

bool HeldMemory::resize(size_t bytes, SteadyTime now)
{
    const bool isGrowing = bytes > m_bytes;
    m_memory->m_total += bytes - m_bytes;
    m_bytes = bytes;
    if (!isGrowing) {
        m_memory->resumeWaiting();
        return true;
    }
    return m_memory->makeRoom(*this, now) || (!m_isReceiving && m_memory->mayExceed(*this));
}

void HeldMemory::beginService(std::function<void()> resume)
{
    leaveReceiving();
    m_giveWay = nullptr;
    m_resume = std::move(resume);
}

double HeldMemory::weight(SteadyTime now) const
{
    // Not the time since the last byte: a few bytes now and then are no progress.
    const double ageMs = 1 + std::chrono::duration<double, std::milli>(now - m_beganAt).count();
    return static_cast<double>(m_bytes) * ageMs;
}

void HeldMemory::leaveReceiving()
{
    if (std::exchange(m_isReceiving, false))
        m_memory->m_receiving.erase(m_position);
}

void HeldMemory::detach()
{
    m_memory->m_total -= std::exchange(m_bytes, 0);
    leaveReceiving();
    if (std::exchange(m_isWaiting, false))
        m_memory->m_waiting.remove(this);
    if (m_memory->m_unlimited == this)
        m_memory->m_unlimited = nullptr;
    m_memory->resumeWaiting();
}

} // namespace citronspoke::capacity

#include "CallerBuffers.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

void CallerBuffers::update(
    const void* caller, size_t bytes, const std::function<void()>& disconnect, SteadyTime now)
{
    if (bytes == 0) {
        remove(caller);
        return;
    }
    const auto [item, isNew] = m_held.try_emplace(caller, Held { 0, now, disconnect });
    Held& held = item->second;
    if (bytes < held.bytes)
        held.progressAt = now;
    m_total += bytes - held.bytes;
    held.bytes = bytes;
    while (m_total > m_maxBytes)
        disconnectSlowest(now);
}

void CallerBuffers::remove(const void* caller)
{
    const auto found = m_held.find(caller);
    if (found == m_held.end())
        return;
    m_total -= found->second.bytes;
    m_held.erase(found);
}

void CallerBuffers::disconnectSlowest(SteadyTime now)
{
    auto slowest = m_held.begin();
    double most = -1;
    for (auto item = m_held.begin(); item != m_held.end(); ++item) {
        // A large response that was just written is probably on its way; one that has made no
        // progress for long is not.
        const double idleMs
            = 1 + std::chrono::duration<double, std::milli>(now - item->second.progressAt).count();
        const double weight = static_cast<double>(item->second.bytes) * idleMs;
        if (weight > most) {
            most = weight;
            slowest = item;
        }
    }
    telemetry::logWarning("caller", "Closed the connection of a caller that reads too slowly.",
        { { "unsent", std::to_string(slowest->second.bytes) },
            { "unsent_all", std::to_string(m_total) } });
    telemetry::count("slow_callers_closed");
    const std::function<void()> disconnect = std::move(slowest->second.disconnect);
    m_total -= slowest->second.bytes;
    m_held.erase(slowest);
    disconnect();
}

} // namespace citronspoke::gateway

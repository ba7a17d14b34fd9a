#include "shares/Shares.h"

#include <algorithm>

namespace citronspoke::shares {

EngineTime& EngineTime::operator+=(const EngineTime& other)
{
    used += other.used;
    wanted += other.wanted;
    return *this;
}

UseSummary& UseSummary::operator+=(const UseSummary& other)
{
    for (const auto& [organisation, time] : other.heaviest)
        heaviest[organisation] += time;
    others += other.others;
    return *this;
}

void UseSummary::truncate(size_t organisations)
{
    if (heaviest.size() <= organisations)
        return;
    std::vector<std::pair<EngineMilliseconds, OrganisationId>> order;
    order.reserve(heaviest.size());
    for (const auto& [organisation, time] : heaviest)
        order.emplace_back(-time.wanted, organisation);
    const auto firstDropped = order.begin() + static_cast<std::ptrdiff_t>(organisations);
    std::nth_element(order.begin(), firstDropped, order.end());
    for (auto dropped = firstDropped; dropped != order.end(); ++dropped) {
        const auto found = heaviest.find(dropped->second);
        others += found->second;
        heaviest.erase(found);
    }
}

void EngineTimeUse::advance(History& history, int64_t slot)
{
    const int64_t passed
        = std::min<int64_t>(slot - history.latestSlot, static_cast<int64_t>(SlotCount));
    for (int64_t step = 0; step < passed; ++step)
        history.slots[static_cast<size_t>(slot - step) % SlotCount] = {};
    history.latestSlot = std::max(history.latestSlot, slot);
}

EngineTime& EngineTimeUse::currentSlot(const OrganisationId& organisation, SteadyTime now)
{
    History& history = m_histories[organisation];
    const int64_t slot = slotAt(now);
    advance(history, slot);
    return history.slots[static_cast<size_t>(slot) % SlotCount];
}

void EngineTimeUse::noteWanted(
    const OrganisationId& organisation, EngineMilliseconds engineTime, SteadyTime now)
{
    currentSlot(organisation, now).wanted += engineTime;
}

void EngineTimeUse::noteUsed(
    const OrganisationId& organisation, EngineMilliseconds engineTime, SteadyTime now)
{
    currentSlot(organisation, now).used += engineTime;
}

void EngineTimeUse::noteNotRun(
    const OrganisationId& organisation, EngineMilliseconds engineTime, SteadyTime now)
{
    // A slot may become negative; the sum over the window does not, see summary().
    currentSlot(organisation, now).used -= engineTime;
}

UseSummary EngineTimeUse::summary(SteadyTime now)
{
    UseSummary result;
    const int64_t slot = slotAt(now);
    for (auto item = m_histories.begin(); item != m_histories.end();) {
        advance(item->second, slot);
        EngineTime sum;
        bool isEmpty = true;
        for (const EngineTime& time : item->second.slots) {
            sum += time;
            isEmpty = isEmpty && time == EngineTime {};
        }
        sum.used = std::max(sum.used, EngineMilliseconds { 0 });
        sum.wanted = std::max(sum.wanted, sum.used);
        if (sum.wanted > 0)
            result.heaviest.emplace(item->first, sum);
        item = isEmpty ? m_histories.erase(item) : std::next(item);
    }
    return result;
}

} // namespace citronspoke::shares

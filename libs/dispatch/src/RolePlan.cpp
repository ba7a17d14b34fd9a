#include "dispatch/Dispatch.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::dispatch {

uint32_t RolePlan::makers(size_t engines) const
{
    if (engines < 2)
        return static_cast<uint32_t>(engines);
    const double wanted = std::round(makersShare * static_cast<double>(engines));
    return std::clamp(
        static_cast<uint32_t>(wanted), fewestMakers, static_cast<uint32_t>(engines - 1));
}

std::optional<EngineRole> planRole(
    const RolePlan& plan, std::span<const fleet::TargetEntry> engines, const TargetId& engine)
{
    std::vector<const fleet::TargetEntry*> ranked;
    for (const fleet::TargetEntry& entry : engines) {
        if (entry.role && !entry.isLeaving)
            ranked.push_back(&entry);
    }
    // Engines that make tokens already stay first, so that a plan moves as few as possible; zones
    // take turns, so that the loss of one zone leaves makers in the others.
    std::map<std::pair<bool, ZoneId>, uint32_t> seenInZone;
    std::vector<std::tuple<bool, uint32_t, TargetId>> order;
    std::sort(ranked.begin(), ranked.end(),
        [](const fleet::TargetEntry* left, const fleet::TargetEntry* right) {
            return left->id < right->id;
        });
    for (const fleet::TargetEntry* entry : ranked) {
        const bool isReader = *entry->role != EngineRole::Decode;
        const uint32_t turn = seenInZone[{ isReader, entry->zone }]++;
        order.emplace_back(isReader, turn, entry->id);
    }
    std::sort(order.begin(), order.end());
    const uint32_t makers = plan.makers(order.size());
    for (size_t position = 0; position < order.size(); ++position) {
        const auto& [isReader, turn, id] = order[position];
        if (id != engine)
            continue;
        const EngineRole wanted = position < makers ? EngineRole::Decode : EngineRole::Prefill;
        const EngineRole present = isReader ? EngineRole::Prefill : EngineRole::Decode;
        if (wanted == present)
            return std::nullopt;
        return wanted;
    }
    return std::nullopt;
}

} // namespace citronspoke::dispatch

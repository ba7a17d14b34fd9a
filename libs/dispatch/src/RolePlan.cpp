#include "dispatch/Dispatch.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace citronspoke::dispatch {

uint32_t RolePlan::makers(size_t engines) const
{
    if (engines < 2)
        return static_cast<uint32_t>(engines);
    const double wanted = std::round(makersShare * static_cast<double>(engines));
    return std::clamp(
        static_cast<uint32_t>(wanted), fewestMakers, static_cast<uint32_t>(engines - 1));
}

fleet::TargetEntry withOrderedRole(const fleet::TargetEntry& engine, const OrderedRoles& ordered)
{
    fleet::TargetEntry changed = engine;
    const auto found = ordered.find(engine.id);
    if (engine.role && found != ordered.end())
        changed.role = found->second;
    return changed;
}

std::set<TargetId> planMakers(const RolePlan& plan, std::span<const fleet::TargetEntry> engines)
{
    std::vector<const fleet::TargetEntry*> ranked;
    for (const fleet::TargetEntry& entry : engines) {
        if (entry.role && !entry.isLeaving)
            ranked.push_back(&entry);
    }
    // Engines that make tokens already stay, the oldest first, so that a newcomer moves none.
    std::sort(ranked.begin(), ranked.end(),
        [](const fleet::TargetEntry* left, const fleet::TargetEntry* right) {
            return std::tie(left->registration, left->id)
                < std::tie(right->registration, right->id);
        });
    // Zones take turns, so that the loss of one leaves makers in the others.
    std::map<std::pair<bool, ZoneId>, size_t> seenInZone;
    std::vector<std::tuple<bool, size_t, size_t>> order;
    for (size_t index = 0; index < ranked.size(); ++index) {
        const bool isReader = *ranked[index]->role != EngineRole::Decode;
        order.emplace_back(isReader, seenInZone[{ isReader, ranked[index]->zone }]++, index);
    }
    std::sort(order.begin(), order.end());
    order.resize(plan.makers(order.size()));
    std::set<TargetId> makers;
    for (const auto& [isReader, turn, index] : order)
        makers.insert(ranked[index]->id);
    return makers;
}

std::optional<EngineRole> plannedChange(
    const std::set<TargetId>& makers, const fleet::TargetEntry& engine)
{
    if (!engine.role || engine.isLeaving)
        return std::nullopt;
    const EngineRole wanted = makers.contains(engine.id) ? EngineRole::Decode : EngineRole::Prefill;
    if (wanted == *engine.role)
        return std::nullopt;
    return wanted;
}

} // namespace citronspoke::dispatch

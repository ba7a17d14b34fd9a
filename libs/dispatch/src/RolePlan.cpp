#include "dispatch/Dispatch.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace citronspoke::dispatch {

uint32_t RolePlan::decodeEngines(size_t engines) const
{
    if (engines < 2)
        return static_cast<uint32_t>(engines);
    const double wanted = std::round(decodeShare * static_cast<double>(engines));
    return std::clamp(
        static_cast<uint32_t>(wanted), minDecodeEngines, static_cast<uint32_t>(engines - 1));
}

fleet::TargetRecord withOrderedRole(const fleet::TargetRecord& engine, const OrderedRoles& ordered)
{
    fleet::TargetRecord changed = engine;
    const auto found = ordered.find(engine.id);
    if (engine.role && found != ordered.end())
        changed.role = found->second;
    return changed;
}

std::set<TargetId> planDecodeEngines(
    const RolePlan& plan, std::span<const fleet::TargetRecord> engines)
{
    std::vector<const fleet::TargetRecord*> byRegistration;
    for (const fleet::TargetRecord& record : engines) {
        if (record.role && !record.isLeaving)
            byRegistration.push_back(&record);
    }
    // Engines that decode already keep their role, the oldest first, so that a new engine displaces
    // none.
    std::sort(byRegistration.begin(), byRegistration.end(),
        [](const fleet::TargetRecord* left, const fleet::TargetRecord* right) {
            return std::tie(left->registration, left->id)
                < std::tie(right->registration, right->id);
        });
    // Zones take turns, so that the loss of one zone leaves decode engines in the others.
    std::map<std::pair<bool, ZoneId>, size_t> countByZone;
    std::vector<std::tuple<bool, size_t, size_t>> order;
    for (size_t index = 0; index < byRegistration.size(); ++index) {
        const bool needsRoleChange = *byRegistration[index]->role != EngineRole::Decode;
        order.emplace_back(needsRoleChange,
            countByZone[{ needsRoleChange, byRegistration[index]->zone }]++, index);
    }
    std::sort(order.begin(), order.end());
    order.resize(plan.decodeEngines(order.size()));
    std::set<TargetId> decodeEngines;
    for (const auto& [needsRoleChange, turn, index] : order)
        decodeEngines.insert(byRegistration[index]->id);
    return decodeEngines;
}

std::optional<EngineRole> plannedRoleChange(
    const std::set<TargetId>& decodeEngines, const fleet::TargetRecord& engine)
{
    if (!engine.role || engine.isLeaving)
        return std::nullopt;
    const EngineRole wanted
        = decodeEngines.contains(engine.id) ? EngineRole::Decode : EngineRole::Prefill;
    if (wanted == *engine.role)
        return std::nullopt;
    return wanted;
}

} // namespace citronspoke::dispatch

#include "roles/Roles.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace citronspoke::roles {

namespace {

    /** Share of the engines that decode at least, so that the loss of one is borne. */
    constexpr double MinDecodeShare = 1.0 / 6;
    /** The loss of one decode engine must leave another. */
    constexpr double MinDecodeEngines = 2;
    constexpr size_t SmallestSplitPool = 4;
    /** More decode engines cannot help: each prompt must be prefilled first. */
    constexpr double MaxDecodeShare = 0.5;
    /** Decode engines that are busier than this delay the first token noticeably. */
    constexpr double MaxDecodeUtilization = 1.0;
    constexpr double MaxPrefillUtilization = 0.9;
    /** A need that exceeds a whole number of engines by less is rounded down. */
    constexpr double RoundingSlack = 0.25;

    struct ByRegistration {
        bool operator()(
            const fleet::TargetRecord* left, const fleet::TargetRecord* right) const noexcept
        {
            return std::tie(left->registration, left->id)
                < std::tie(right->registration, right->id);
        }
    };
    using Records = std::vector<const fleet::TargetRecord*>;

    /** Takes one engine from the zone with the fewest chosen ones, the oldest first. */
    void chooseOne(
        Records& candidates, std::map<ZoneId, uint32_t>& chosenByZone, std::set<TargetId>& chosen)
    {
        const auto best = std::min_element(candidates.begin(), candidates.end(),
            [&chosenByZone](const fleet::TargetRecord* left, const fleet::TargetRecord* right) {
                const uint32_t leftCount = chosenByZone[left->zone];
                const uint32_t rightCount = chosenByZone[right->zone];
                return leftCount != rightCount ? leftCount < rightCount
                                               : ByRegistration {}(left, right);
            });
        chosen.insert((*best)->id);
        chosenByZone[(*best)->zone] += 1;
        candidates.erase(best);
    }

} // namespace

RoleSplit splitRoles(size_t engines, const Demand& demand)
{
    if (engines < 2)
        return { static_cast<uint32_t>(engines), false };
    const double all = static_cast<double>(engines);
    double needed = demand.decodeEngines / MaxDecodeUtilization;
    const double neededForPrefill = demand.prefillEngines / MaxPrefillUtilization;
    const bool isShort = needed + neededForPrefill > all;
    // Each role gets its share of the shortage.
    if (isShort)
        needed *= all / (needed + neededForPrefill);
    needed = std::ceil(needed - RoundingSlack);
    const double least = engines < SmallestSplitPool
        ? 1.0
        : std::max(MinDecodeEngines, std::round(MinDecodeShare * all));
    const double most = std::max(1.0, std::floor(MaxDecodeShare * all));
    return { static_cast<uint32_t>(std::clamp(needed, least, most)), isShort };
}

std::set<TargetId> chooseDecodeEngines(
    std::span<const PlannedEngine> engines, uint32_t count, const std::set<TargetId>& passedOver)
{
    Records decoding;
    Records others;
    for (const PlannedEngine& engine : engines) {
        if (!engine.record.role || engine.record.isLeaving || engine.isLost
            || engine.isHeldByLimit())
            continue;
        if (*engine.record.role == EngineRole::Decode)
            decoding.push_back(&engine.record);
        else if (!passedOver.contains(engine.record.id))
            others.push_back(&engine.record);
    }
    std::set<TargetId> chosen;
    std::map<ZoneId, uint32_t> chosenByZone;
    for (Records* candidates : { &decoding, &others }) {
        while (chosen.size() < count && !candidates->empty())
            chooseOne(*candidates, chosenByZone, chosen);
    }
    return chosen;
}

} // namespace citronspoke::roles

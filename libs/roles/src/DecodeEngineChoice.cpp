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

    /** An engine whose limit allows less than this part of a full engine's prompts is not worth a
     * change of role. */
    constexpr double SmallestUsefulPart = 0.2;
    /** Decode engines with limits are released when the others allow this much more than needed,
     * since limits and demand vary. */
    constexpr double ReleaseFactor = 1.25;

    using Engines = std::vector<const PlannedEngine*>;

    struct ByRegistration {
        bool operator()(const PlannedEngine* left, const PlannedEngine* right) const noexcept
        {
            return std::tie(left->record.registration, left->record.id)
                < std::tie(right->record.registration, right->record.id);
        }
    };

    /** Counts engines by their software version. */
    using VersionCounts = std::map<SoftwareVersion, size_t>;

    size_t countOf(const VersionCounts& counts, const PlannedEngine& engine)
    {
        const auto found = counts.find(engine.record.version);
        return found == counts.end() ? 0 : found->second;
    }

    VersionCounts countVersions(const Engines& engines)
    {
        VersionCounts counts;
        for (const PlannedEngine* engine : engines)
            counts[engine->record.version] += 1;
        return counts;
    }

    /**
     * Chooses decode engines one after another and adds up what their limits allow. A stream can go
     * on only at the software version that began it, so that no decode engine should be the only
     * one of its version.
     */
    class DecodeChoice {
    public:
        /** @param prefilling engines that do not decode. */
        DecodeChoice(const DecodeTarget& target, size_t prefilling)
            : m_target(target)
            , m_prefilling(prefilling)
        {
        }

        /** Chooses engines that decode already, until they are enough. */
        void keep(Engines engines)
        {
            const bool limitsBind = std::any_of(engines.begin(), engines.end(), isShort);
            const double enough = m_target.engines * (limitsBind ? ReleaseFactor : 1.0);
            const VersionCounts available = countVersions(engines);
            const bool isMixed = available.size() > 1;
            while (!engines.empty()) {
                // One that is still changing does not replace an engine of another version yet.
                const bool isEnough = m_sum >= enough && (!isMixed || m_serving >= enough);
                if (isEnough && !takesCompanion(engines))
                    return;
                const PlannedEngine* engine = takeNext(engines, available);
                add(*engine, limitsBind ? partOf(*engine) : 1);
            }
        }

        /** Chooses engines without limits that prefill, until there are enough. */
        void addUnlimited(Engines engines)
        {
            const VersionCounts available = countVersions(engines);
            while (mayAdd() && !engines.empty())
                addPrefilling(*takeNext(engines, available), 1);
            addCompanion(std::move(engines), available);
        }

        /**
         * Chooses engines with limits that prefill, as long as the others can prefill as much.
         * @param unlimited engines without limits that go on prefilling.
         */
        void addLimited(Engines engines, size_t unlimited)
        {
            double prefillSum = static_cast<double>(unlimited) * m_target.engines;
            for (const PlannedEngine* engine : engines)
                prefillSum += partOf(*engine);
            const VersionCounts available = countVersions(engines);
            while (mayAdd() && !engines.empty()) {
                const PlannedEngine* engine = takeNext(engines, available);
                const double part = partOf(*engine);
                const double decoded = std::min<double>(m_target.engines, m_sum + part);
                if (part < SmallestUsefulPart || decoded - (prefillSum - part) > RoundingSlack)
                    continue;
                prefillSum -= part;
                addPrefilling(*engine, part);
            }
        }

        const std::set<TargetId>& chosen() const noexcept { return m_chosen; }

    private:
        static bool isShort(const PlannedEngine* engine)
        {
            return engine->limit && engine->limit->isShort;
        }

        /** @return the part of a full decode engine's prompts that the engine's limit allows. */
        double partOf(const PlannedEngine& engine) const
        {
            if (!engine.limit || m_target.prompts <= 0)
                return 1;
            return std::min(
                1.0, engine.limit->requestsPerSecond * m_target.engines / m_target.prompts);
        }

        /**
         * @return the order in which versions are chosen: those of which one engine is chosen,
         *         those of which two more can be, the others that have two, the rest.
         */
        int versionRank(const PlannedEngine& engine, const VersionCounts& available) const
        {
            const size_t chosen = countOf(m_chosenByVersion, engine);
            if (chosen == 1)
                return 0;
            const bool hasTwo = countOf(available, engine) > 1;
            const bool hasRoomForTwo = m_target.engines - m_sum >= 2;
            if (chosen > 1 || (hasTwo && hasRoomForTwo))
                return 1;
            return hasTwo ? 2 : 3;
        }

        /** Takes one engine by its version, then from the zone with the fewest chosen ones, the
         * oldest first. */
        const PlannedEngine* takeNext(Engines& candidates, const VersionCounts& available)
        {
            const auto best = std::min_element(candidates.begin(), candidates.end(),
                [this, &available](const PlannedEngine* left, const PlannedEngine* right) {
                    const std::pair<int, uint32_t> leftRank(
                        versionRank(*left, available), m_chosenByZone[left->record.zone]);
                    const std::pair<int, uint32_t> rightRank(
                        versionRank(*right, available), m_chosenByZone[right->record.zone]);
                    return leftRank != rightRank ? leftRank < rightRank
                                                 : ByRegistration {}(left, right);
                });
            const PlannedEngine* engine = *best;
            candidates.erase(best);
            return engine;
        }

        bool isAlone(const PlannedEngine& engine) const
        {
            return countOf(m_chosenByVersion, engine) == 1;
        }

        /** @return whether an engine that decodes already should be kept beside one of its version
         *          that would be alone. */
        bool takesCompanion(const Engines& engines) const
        {
            return m_target.engines > 1
                && std::any_of(engines.begin(), engines.end(),
                    [this](const PlannedEngine* engine) { return isAlone(*engine); });
        }

        /**
         * While engines of several versions decode and one of them is alone, chooses one more
         * engine of the version that has most: it becomes the companion, or replaces the other.
         * @param available engines to choose by version.
         */
        void addCompanion(Engines engines, const VersionCounts& available)
        {
            const bool hasLone = std::any_of(m_chosenByVersion.begin(), m_chosenByVersion.end(),
                [](const auto& item) { return item.second == 1; });
            const bool isWanted = m_target.engines > 1 && m_chosenByVersion.size() > 1 && hasLone
                && m_chosen.size() <= m_target.engines && m_prefilling > 1;
            std::erase_if(engines, [this](const PlannedEngine* engine) {
                return !m_chosenByVersion.contains(engine->record.version);
            });
            if (!isWanted || engines.empty())
                return;
            const auto best = std::max_element(engines.begin(), engines.end(),
                [this, &available](const PlannedEngine* left, const PlannedEngine* right) {
                    const std::pair<size_t, size_t> leftRank(
                        countOf(m_chosenByVersion, *left), countOf(available, *left));
                    const std::pair<size_t, size_t> rightRank(
                        countOf(m_chosenByVersion, *right), countOf(available, *right));
                    return leftRank != rightRank ? leftRank < rightRank
                                                 : ByRegistration {}(right, left);
                });
            addPrefilling(**best, 1);
        }

        /** One engine prefills, unless it is the only one. */
        bool mayAdd() const
        {
            const bool isMissingOne = m_target.engines - m_sum > RoundingSlack;
            const bool hasRoom = m_chosen.size() < std::max(m_target.engines, m_target.most);
            return isMissingOne && hasRoom && (m_prefilling > 1 || m_chosen.empty());
        }

        void addPrefilling(const PlannedEngine& engine, double part)
        {
            m_prefilling -= 1;
            add(engine, part);
        }

        void add(const PlannedEngine& engine, double part)
        {
            m_chosen.insert(engine.record.id);
            m_chosenByZone[engine.record.zone] += 1;
            m_chosenByVersion[engine.record.version] += 1;
            m_sum += part;
            m_serving += engine.isChanging ? 0 : part;
        }

        DecodeTarget m_target;
        size_t m_prefilling;
        std::set<TargetId> m_chosen;
        std::map<ZoneId, uint32_t> m_chosenByZone;
        VersionCounts m_chosenByVersion;
        /** In engines without a request limit. */
        double m_sum = 0;
        /** The part of the sum that serves already. */
        double m_serving = 0;
    };

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

uint32_t mostDecodeEngines(size_t engines, const Demand& demand)
{
    const double all = static_cast<double>(engines);
    const double left = all - std::ceil(demand.prefillEngines / MaxPrefillUtilization);
    return static_cast<uint32_t>(
        std::clamp(std::floor(MaxDecodeShare * all), 0.0, std::max(left, 0.0)));
}

std::set<TargetId> chooseDecodeEngines(std::span<const PlannedEngine> engines,
    const DecodeTarget& target, const std::set<TargetId>& passedOver)
{
    Engines decoding;
    Engines unlimited;
    Engines limited;
    size_t prefilling = 0;
    for (const PlannedEngine& engine : engines) {
        if (!engine.record.role || engine.record.isLeaving || engine.isLost)
            continue;
        if (*engine.record.role == EngineRole::Decode) {
            decoding.push_back(&engine);
            continue;
        }
        prefilling += 1;
        if (!passedOver.contains(engine.record.id))
            (engine.limit ? limited : unlimited).push_back(&engine);
    }
    DecodeChoice choice(target, prefilling);
    choice.keep(decoding);
    const size_t kept = choice.chosen().size();
    choice.addUnlimited(unlimited);
    const size_t added = choice.chosen().size() - kept;
    choice.addLimited(limited, unlimited.size() - added);
    return choice.chosen();
}

} // namespace citronspoke::roles

#include "Arrivals.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::emulator {

namespace {

    bool isActive(const Span& span, Micros at)
    {
        return at >= span.from && at < span.from + span.length;
    }

    /** @return a random size of at least 1, log-normally distributed with the given mean. */
    uint32_t randomSize(std::mt19937_64& random, double mean, double spread)
    {
        if (spread <= 0)
            return static_cast<uint32_t>(mean);
        // The variance of the logarithm that gives the coefficient of variation "spread".
        const double variance = std::log(1 + spread * spread);
        std::lognormal_distribution<double> sizes(
            std::log(mean) - variance / 2, std::sqrt(variance));
        constexpr double MaxMeans = 4;
        return static_cast<uint32_t>(std::clamp(sizes(random), 1.0, MaxMeans * mean));
    }

    double burstFactor(const LoadPattern& pattern, const std::string& kind, Micros at)
    {
        double factor = 1;
        for (const Disturbance& disturbance : pattern.disturbances) {
            const Burst* burst = std::get_if<Burst>(&disturbance);
            if (burst && burst->kind == kind && isActive(burst->span, at))
                factor *= burst->factor;
        }
        return factor;
    }

    Micros patienceAt(
        const LoadPattern& pattern, const RequestKind& kind, Micros at, std::mt19937_64& random)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        for (const Disturbance& disturbance : pattern.disturbances) {
            const LeavingCallers* leavingCallers = std::get_if<LeavingCallers>(&disturbance);
            if (leavingCallers && isActive(leavingCallers->span, at)
                && uniform(random) < leavingCallers->share)
                return leavingCallers->within;
        }
        return kind.patience;
    }

    fleet::Prompt generatePrompt(const RequestKind& kind, std::span<const uint32_t> sharedSizes,
        size_t number, std::mt19937_64& random)
    {
        fleet::Prompt prompt;
        prompt.model = "m";
        if (!sharedSizes.empty()) {
            // Parts with a low index are used more often than others.
            constexpr double Skew = 0.3;
            std::uniform_real_distribution<double> uniform(0, 1);
            const double position = std::pow(uniform(random), 1 / (1 - Skew));
            const size_t part = std::min(sharedSizes.size() - 1,
                static_cast<size_t>(position * static_cast<double>(sharedSizes.size())));
            prompt.parts.push_back({ kind.name + "/" + std::to_string(part), sharedSizes[part] });
        }
        prompt.parts.push_back({ kind.name + "#" + std::to_string(number),
            randomSize(random, kind.uniqueTokens, kind.uniqueSpread) });
        for (const fleet::PromptPart& part : prompt.parts)
            prompt.tokens += part.tokens;
        prompt.outputLimit = std::max(1U, randomSize(random, kind.outputTokens, 1));
        return prompt;
    }

    /** @return the factor on the worth of a request, by its size, as the users define it. */
    double sizeFactor(const RequestKind& kind, const fleet::Prompt& prompt)
    {
        constexpr double FixedShare = 0.3;
        constexpr double MaxFactor = 4;
        constexpr double OutputWeight = 10;
        const double mean
            = kind.sharedTokens + kind.uniqueTokens + OutputWeight * kind.outputTokens;
        const double size = prompt.tokens + OutputWeight * prompt.outputLimit;
        return std::min(MaxFactor, FixedShare + (1 - FixedShare) * size / mean);
    }

} // namespace

std::vector<Arrival> generateArrivals(const LoadPattern& pattern, uint64_t seed)
{
    std::vector<Arrival> arrivals;
    for (size_t index = 0; index < pattern.kinds.size(); ++index) {
        const RequestKind& kind = pattern.kinds[index];
        std::mt19937_64 random(seed * pattern.kinds.size() + index);
        std::vector<uint32_t> sharedSizes;
        if (kind.sharedTokens > 0) {
            for (uint32_t part = 0; part < kind.sharedParts; ++part)
                sharedSizes.push_back(randomSize(random, kind.sharedTokens, kind.sharedSpread));
        }
        Micros at { 0 };
        while (true) {
            constexpr double MsPerSecond = 1000;
            const double rate
                = kind.requestsPerSecond * burstFactor(pattern, kind.name, at) / MsPerSecond;
            at += fromMs(std::exponential_distribution<double>(rate)(random));
            if (at >= pattern.length)
                break;
            Arrival arrival;
            arrival.at = at;
            arrival.kind = index;
            arrival.prompt = generatePrompt(kind, sharedSizes, arrivals.size(), random);
            const double factor = sizeFactor(kind, arrival.prompt);
            arrival.worth = kind.worth * factor;
            arrival.lateWorth = kind.lateWorth * factor;
            arrival.patience = patienceAt(pattern, kind, at, random);
            arrivals.push_back(std::move(arrival));
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
        [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
    return arrivals;
}

double worthBound(
    std::span<const Arrival> arrivals, const LoadPattern& pattern, double prefillTokensPerMs)
{
    // A shared part is prefilled at least once. Each request that uses it is charged an even share.
    std::map<std::string, double> uses;
    for (const Arrival& arrival : arrivals)
        uses[arrival.prompt.parts.front().id] += 1;
    const auto tokensOf = [&uses](const Arrival& arrival) {
        const std::vector<fleet::PromptPart>& parts = arrival.prompt.parts;
        double tokens = parts.back().tokens;
        if (parts.size() > 1)
            tokens += parts.front().tokens / uses[parts.front().id];
        return tokens;
    };
    double offered = 0;
    double earned = 0;
    Milliseconds longestObjective { 0 };
    for (const RequestKind& kind : pattern.kinds)
        longestObjective = std::max(longestObjective, kind.objective);
    for (size_t first = 0; first < arrivals.size();) {
        const int64_t window = arrivals[first].at / WorthWindow;
        std::vector<const Arrival*> inWindow;
        size_t next = first;
        for (; next < arrivals.size() && arrivals[next].at / WorthWindow == window; ++next)
            inWindow.push_back(&arrivals[next]);
        first = next;
        const auto density = [&tokensOf](const Arrival* arrival) {
            return (arrival->worth - arrival->lateWorth) / tokensOf(*arrival);
        };
        std::sort(inWindow.begin(), inWindow.end(), [&](const Arrival* left, const Arrival* right) {
            return density(left) > density(right);
        });
        // Requests of the window must be prefilled before its end plus the longest objective.
        double capacity
            = prefillTokensPerMs * static_cast<double>((WorthWindow + longestObjective).count());
        for (const Arrival* arrival : inWindow) {
            offered += arrival->worth;
            const double tokens = tokensOf(*arrival);
            const double share = std::clamp(capacity / tokens, 0.0, 1.0);
            earned += arrival->lateWorth + share * (arrival->worth - arrival->lateWorth);
            capacity -= share * tokens;
        }
    }
    return offered > 0 ? earned / offered : 1;
}

} // namespace citronspoke::emulator

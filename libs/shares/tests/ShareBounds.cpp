#include "ShareSimulation.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdio>

namespace citronspoke::shares::tests {

std::vector<double> fewLargeManySmall(size_t large, double partOfLarge, size_t small)
{
    std::vector<double> weights(large, partOfLarge / static_cast<double>(large));
    weights.insert(weights.end(), small, (1 - partOfLarge) / static_cast<double>(small));
    return weights;
}

namespace {

    /** @return the sum of the shares that follow from a level. */
    double sumAtLevel(const WindowResult& window, double level)
    {
        double sum = 0;
        for (size_t index = 0; index < window.wanted.size(); ++index)
            sum += std::clamp(level, window.urgent[index], window.wanted[index]);
        return sum;
    }

    /**
     * @param slack engine time by which an organisation may deviate without being counted.
     * @return the largest deviation of an organisation from its fair share in a window, as a part
     * of the share.
     */
    double deviationFromShare(const WindowResult& window, double slack)
    {
        double capacity = 0;
        for (const double served : window.served)
            capacity += served;
        double low = 0;
        double high = *std::max_element(window.wanted.begin(), window.wanted.end());
        constexpr int Steps = 50;
        for (int step = 0; step < Steps; ++step) {
            const double middle = (low + high) / 2;
            (sumAtLevel(window, middle) < capacity ? low : high) = middle;
        }
        double largest = 0;
        for (size_t index = 0; index < window.wanted.size(); ++index) {
            const double share = std::clamp(high, window.urgent[index], window.wanted[index]);
            const double deviation = std::max(0.0, std::abs(window.served[index] - share) - slack);
            if (share > 0)
                largest = std::max(largest, deviation / share);
        }
        return largest;
    }

    std::string textOf(std::span<const double> values)
    {
        constexpr size_t Characters = 5;
        std::string text;
        for (const double value : values)
            text += " " + std::to_string(value).substr(0, Characters);
        return text;
    }

} // namespace

void checkBounds(const Pattern& pattern, const Result& result)
{
    constexpr double ShareTolerance = 0.1;
    constexpr double LeastServedRatio = 0.25;
    double oneRequest = 0;
    for (const Kind& kind : pattern.kinds)
        oneRequest = std::max(oneRequest, static_cast<double>(kind.engineTime.count()));
    // A small organisation has about seven requests in a window, so that one more or less is over
    // the bound. The second figure, which is only printed, leaves one request out of account.
    std::vector<double> deviations;
    std::vector<double> beyondOneRequest;
    for (size_t index = 1; index + 1 < result.windows.size(); ++index) {
        deviations.push_back(deviationFromShare(result.windows[index], 0));
        beyondOneRequest.push_back(deviationFromShare(result.windows[index], oneRequest));
    }
    double leastServed = 1;
    for (const Count& count : result.byOrganisation)
        leastServed = std::min(leastServed, count.part());
    std::printf("deviation by window:%s, beyond one request:%s; served %.2f, least %.2f, kinds",
        textOf(deviations).c_str(), textOf(beyondOneRequest).c_str(), result.all.part(),
        leastServed);
    for (const Count& kind : result.byKind)
        std::printf(" %.2f", kind.part());
    std::printf("; busy %.2f, refused %llu, late %llu, returned %llu (%llu served)\n",
        result.utilisation, static_cast<unsigned long long>(result.refused),
        static_cast<unsigned long long>(result.late),
        static_cast<unsigned long long>(result.returned),
        static_cast<unsigned long long>(result.returnedServed));
    for (const double deviation : deviations)
        cr_expect_leq(deviation, ShareTolerance);
    cr_expect_geq(leastServed, LeastServedRatio * result.all.part());
    for (const Count& kind : result.byKind)
        cr_expect_gt(kind.served, 0U);
    cr_expect_eq(result.refusedWhileIdle, 0U);
    cr_expect_leq(result.largestReport, MaxReportedOrganisations);
}

} // namespace citronspoke::shares::tests

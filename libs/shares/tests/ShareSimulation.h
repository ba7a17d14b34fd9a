#pragma once

#include "shares/Shares.h"

#include <functional>
#include <memory>
#include <random>

/**
 * Model of gateways that share one pool of engines, without network. Callers of several
 * organisations send requests of several kinds; gateways order and refuse them by the code under
 * test. The engines serve one queue in the order of urgency.
 */
namespace citronspoke::shares::tests {

/** A kind of requests: the large deployment's, with the engine time of the own prompt tokens. */
struct Kind {
    double perSecond = 0;
    Milliseconds engineTime { 0 };
    Milliseconds objective { 0 };
    Milliseconds timeLimit { 0 };
    uint32_t priority = 0;
};

struct Pattern {
    std::vector<Kind> kinds { { 90, Milliseconds(186), Milliseconds(1000), Milliseconds(5000), 2 },
        { 117, Milliseconds(144), Milliseconds(250), Milliseconds(3000), 0 },
        { 97, Milliseconds(55), Milliseconds(300), Milliseconds(6000), 1 } };
    /** Part of the requests of each organisation. */
    std::vector<double> weights;
    size_t gateways = 27;
    uint32_t engines = 31;
    /** Factor of the rate of a kind in a zone (0 to 2) at a time. */
    std::function<double(size_t kind, size_t zone, Milliseconds time)> factor
        = [](size_t, size_t, Milliseconds) { return 1.0; };
    /** Part of the reports that are lost. */
    double lostReports = 0;
    /** Organisations whose callers repeat refused requests every 20 ms. */
    size_t repeatingOrganisations = 0;
    /** The gateways from this one on end after 12 s. */
    size_t lastingGateways = SIZE_MAX;
    /** Refused callers that are told to return do so, once. */
    bool callersReturn = true;
    Milliseconds duration { 30000 };
    unsigned seed = 1;
};

/** What happened to the requests that arrived in one window of 5 s. */
struct WindowResult {
    std::vector<EngineMilliseconds> wanted;
    /** Served whatever the shares are: the more urgent priority goes first, so what an organisation
     * wants of the more urgent kinds, as far as it was served, is not limited by its share. */
    std::vector<EngineMilliseconds> urgent;
    std::vector<EngineMilliseconds> served;
};

struct Count {
    uint64_t arrived = 0;
    uint64_t served = 0;
    double part() const
    {
        return arrived == 0 ? 1 : static_cast<double>(served) / static_cast<double>(arrived);
    }
};

struct Result {
    std::vector<WindowResult> windows;
    std::vector<Count> byOrganisation;
    std::vector<Count> byKind;
    Count all;
    uint64_t refused = 0;
    uint64_t returned = 0;
    uint64_t returnedServed = 0;
    /** Admitted, and then not served in time. */
    uint64_t late = 0;
    /** Refused while half of the slots were free. */
    uint64_t refusedWhileIdle = 0;
    double utilisation = 0;
    size_t largestReport = 0;
};

Result simulate(const Pattern& pattern);

/** Weights of a few large organisations and many small ones. */
std::vector<double> fewLargeManySmall(size_t large, double partOfLarge, size_t small);

/** Checks the bounds of the design page. */
void checkBounds(const Pattern& pattern, const Result& result);

} // namespace citronspoke::shares::tests

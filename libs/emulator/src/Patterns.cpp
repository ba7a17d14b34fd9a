#include "emulator/Emulator.h"

namespace citronspoke::emulator {

namespace {

    constexpr Milliseconds seconds(int64_t count) { return Milliseconds(count * 1000); }

    RequestKind scaled(RequestKind kind, double factor)
    {
        kind.requestsPerSecond *= factor;
        return kind;
    }

    LoadPattern pattern(std::string name, std::vector<Disturbance> disturbances)
    {
        return { std::move(name), siteRequestKinds(), std::move(disturbances) };
    }

} // namespace

std::vector<RequestKind> siteRequestKinds()
{
    return {
        { "review", 15.1, 13300, 0.7, 102, 3720, 1.1, 15, Milliseconds(800), Milliseconds(3200),
            1.9, 0.19, 2 },
        { "comparison", 10.6, 6300, 0.6, 31, 2890, 1.0, 7, Milliseconds(600), Milliseconds(2400),
            2.2, 0.22, 1 },
        { "lookup", 17, 350, 0.5, 115, 1110, 1.0, 22, Milliseconds(500), Milliseconds(2400), 1.6,
            0.16, 0 },
    };
}

std::vector<LoadPattern> loadPatterns()
{
    std::vector<LoadPattern> patterns;
    patterns.push_back(pattern("steady", {}));
    patterns.push_back(pattern("mix_swings",
        { Burst { "review", 1.8, { seconds(2), seconds(5) } },
            Burst { "lookup", 0.5, { seconds(2), seconds(5) } },
            Burst { "review", 0.5, { seconds(7), seconds(5) } },
            Burst { "lookup", 2.5, { seconds(7), seconds(5) } },
            Burst { "review", 1.8, { seconds(12), seconds(5) } } }));
    patterns.push_back(
        pattern("burst_of_one_kind", { Burst { "comparison", 3, { seconds(6), seconds(5) } } }));
    patterns.push_back(pattern("cold_start", { ColdStart { seconds(8) } }));
    patterns.push_back(pattern("half_the_readers_lost",
        { EngineLoss { EngineRole::Prefill, 0.5, { seconds(6), seconds(5) } } }));
    patterns.push_back(pattern(
        "makers_lost", { EngineLoss { EngineRole::Decode, 0.5, { seconds(6), seconds(5) } } }));
    patterns.push_back(pattern("slow_links", { SlowLinks { 0.3, 8, { seconds(6), seconds(6) } } }));
    patterns.push_back(pattern("callers_who_leave",
        { LeavingCallers { 0.3, Milliseconds(300), { seconds(4), seconds(8) } } }));

    LoadPattern hot = pattern("hot_shared_part", {});
    hot.kinds.push_back(
        { "hot", 20, 20000, 0, 1, 600, 0.5, 10, Milliseconds(600), Milliseconds(2400), 2, 0.2, 1 });
    patterns.push_back(hot);

    LoadPattern impatient = pattern("impatient_callers", { ColdStart { seconds(8) } });
    impatient.attempts = 4;
    patterns.push_back(impatient);

    LoadPattern huge = pattern("small_kinds_beside_a_huge_one", {});
    huge.kinds = { scaled(siteRequestKinds()[2], 3), scaled(siteRequestKinds()[1], 1.5),
        { "huge", 3, 0, 0, 1, 40000, 0.5, 40, Milliseconds(2500), Milliseconds(8000), 4, 0.4, 3 } };
    patterns.push_back(huge);
    return patterns;
}

} // namespace citronspoke::emulator

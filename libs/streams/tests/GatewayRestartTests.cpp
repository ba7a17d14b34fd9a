// Load pattern: all gateways are killed at once and their callers resume their streams.
#include "streams/Streams.h"

#include <criterion/criterion.h>
#include <random>

using namespace citronspoke;
using namespace citronspoke::streams;

namespace {

constexpr size_t Streams = 4000;
/** Of the streams whose version still serves, the share that must go on. */
constexpr double RequiredShare = 0.9;
constexpr size_t QueryRounds = 3;

const SteadyTime Start { std::chrono::hours(1) };

/** A deployment at the moment of the kill. */
struct Deployment {
    std::string_view name;
    size_t gateways = 0;
    size_t engines = 0;
    double lostDatagrams = 0;
    /** Share of the sidecars that do not respond after the kill. */
    double lostSidecars = 0;
    /** Engines that are added between the kill and the start of the gateways. */
    size_t addedEngines = 0;
};

std::vector<EntryId> machines(size_t count)
{
    std::vector<EntryId> ids;
    for (size_t number = 1; number <= count; ++number)
        ids.emplace_back(
            "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250));
    return ids;
}

struct Counts {
    size_t continued = 0;
    size_t joined = 0;
};

/** Streams begin at two versions, all gateways end and start again, and the streams are resumed. */
Counts resumeAll(const Deployment& deployment)
{
    std::mt19937_64 random(1);
    std::bernoulli_distribution isDatagramLost(deployment.lostDatagrams);
    std::bernoulli_distribution isSidecarLost(deployment.lostSidecars);
    const std::vector<EntryId> before = machines(deployment.engines);
    const std::vector<EntryId> after = machines(deployment.engines + deployment.addedEngines);
    std::map<EntryId, StreamOrigins> sidecars;
    for (const EntryId& machine : after)
        sidecars.emplace(machine, StreamOrigins(20000));
    std::vector<SoftwareVersion> began;
    for (size_t number = 0; number < Streams; ++number) {
        began.emplace_back(random() % 2 == 0 ? "v1" : "v2");
        const RequestId attempt("attempt-" + std::to_string(number));
        for (const EntryId& machine : sidecarsOf(attempt, before, SidecarsPerStream)) {
            if (!isDatagramLost(random))
                sidecars.at(machine).note({ attempt, { began.back(), {} } }, Start);
        }
    }
    std::set<EntryId> lost;
    for (const EntryId& machine : after) {
        if (isSidecarLost(random))
            lost.insert(machine);
    }
    const size_t askedGateways = std::min(deployment.gateways - 1, QueriedGateways);
    Counts counts;
    for (size_t number = 0; number < Streams; ++number) {
        const RequestId attempt("attempt-" + std::to_string(number));
        const std::vector<EntryId> asked = sidecarsOf(attempt, after, QueriedSidecars);
        // The gateway has just started and sees only the newer version.
        const VersionView view { { SoftwareVersion("v2") }, false, true };
        OriginSearch search(view, { askedGateways, asked.size() });
        for (size_t round = 0; round < QueryRounds && !search.isComplete(); ++round) {
            for (size_t gateway = 0; gateway < askedGateways; ++gateway)
                search.add(
                    { 1, attempt, EntryId("g" + std::to_string(gateway)), std::nullopt, view });
            for (const EntryId& machine : asked) {
                if (!lost.contains(machine) && !isDatagramLost(random) && !isDatagramLost(random))
                    search.addFromSidecar(
                        { 1, attempt, machine, sidecars.at(machine).find(attempt), {} });
            }
        }
        const Origin origin = search.result();
        if (origin.basis == Origin::Basis::Unknown)
            continue;
        counts.continued += origin.version == began.at(number) ? 1 : 0;
        counts.joined += origin.version == began.at(number) ? 0 : 1;
    }
    return counts;
}

} // namespace

// Guards against streams that are refused, or joined from two versions, when all callers come back
// to gateways that have all just started.
Test(load_pattern, streams_go_on_when_all_gateways_restart_and_all_callers_resume)
{
    const std::vector<Deployment> deployments {
        { "small", 6, 8 },
        { "one engine", 2, 1 },
        { "datagrams lost", 31, 56, 0.1 },
        { "sidecars lost", 31, 56, 0, 0.2 },
        { "datagrams and sidecars lost", 31, 56, 0.05, 0.1 },
        { "engines added", 27, 50, 0.02, 0, 5 },
        { "growth target", 330, 840, 0.05, 0.1, 20 },
    };
    for (const Deployment& deployment : deployments) {
        const Counts counts = resumeAll(deployment);
        cr_expect_eq(counts.joined, 0U, "%s: %zu joined", deployment.name.data(), counts.joined);
        cr_expect_geq(static_cast<double>(counts.continued), RequiredShare * Streams,
            "%s: %zu of %zu", deployment.name.data(), counts.continued, Streams);
        printf("%s: %zu of %zu went on\n", deployment.name.data(), counts.continued, Streams);
    }
}

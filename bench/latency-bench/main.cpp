// Measures the latency that entry and agent add to direct requests to the engines, and their
// processor time for a streamed token, with about 64 concurrent streams. Direct rounds and rounds
// through the entry alternate in one run.

#include "LoadGenerator.h"
#include "LocalFleet.h"
#include "ProcessUsage.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <iomanip>
#include <iostream>

ABSL_FLAG(int, rounds, 4, "Rounds with direct requests, and as many through the entry.");
ABSL_FLAG(std::string, work, "bench-work/latency", "Folder for settings and logs.");

namespace {

using namespace citronspoke;

constexpr uint32_t OutputTokens = 200;
constexpr double HighPercentile = 0.95;

load::Plan makePlan(const std::string& key)
{
    load::RequestKind kind { "stream", key, "dossier", 50, OutputTokens, Milliseconds(30000), 1,
        false, 0, 0 };
    load::Plan plan;
    plan.kinds = { kind };
    plan.phases = { { std::chrono::seconds(4), { 64 } } };
    return plan;
}

struct LatencySamples {
    std::vector<double> firstTokenMs;
    std::vector<double> tokenGapMs;

    void add(const load::KindResult& result)
    {
        firstTokenMs.insert(
            firstTokenMs.end(), result.firstTokenMs.begin(), result.firstTokenMs.end());
        tokenGapMs.insert(tokenGapMs.end(), result.tokenGapMs.begin(), result.tokenGapMs.end());
    }
};

void printComparison(const char* what, const std::vector<double>& direct,
    const std::vector<double>& viaEntry, double share)
{
    const double directMs = load::percentile(direct, share);
    const double viaEntryMs = load::percentile(viaEntry, share);
    std::cout << std::left << std::setw(28) << what << std::right << std::fixed
              << std::setprecision(2) << std::setw(10) << directMs << std::setw(10) << viaEntryMs
              << std::setw(10) << viaEntryMs - directMs << '\n';
}

void measure()
{
    localfleet::FleetOptions options;
    options.deploymentFolder = std::string(DEPLOY_FOLDER) + "/rahbar";
    options.workFolder = absl::GetFlag(FLAGS_work);
    options.targets = { "e-1", "e-2", "e-3", "e-4", "e-5", "e-6" };
    options.entries = 1;
    localfleet::LocalFleet fleet(options);
    fleet.startAll();
    std::vector<std::string> engines;
    for (const std::string& target : options.targets)
        engines.push_back(fleet.targetUrl(target));
    const std::vector<std::string> entries { fleet.callerUrl(1) };
    const bench::ProcessUsage idleEntry = bench::usageOf(fleet.process("entry:1").pid());
    const bench::ProcessUsage idleAgent = bench::usageOf(fleet.process("agent:e-1").pid());
    LatencySamples direct;
    LatencySamples viaEntry;
    double entryCpuSeconds = 0;
    double agentCpuSeconds = 0;
    const load::Plan plan = makePlan("rahbar-review-key");
    for (int round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
        direct.add(load::run(plan, engines).front());
        const bench::ProcessUsage entryBefore = bench::usageOf(fleet.process("entry:1").pid());
        const bench::ProcessUsage agentBefore = bench::usageOf(fleet.process("agent:e-1").pid());
        viaEntry.add(load::run(plan, entries).front());
        entryCpuSeconds
            += bench::usageOf(fleet.process("entry:1").pid()).cpuSeconds - entryBefore.cpuSeconds;
        agentCpuSeconds
            += bench::usageOf(fleet.process("agent:e-1").pid()).cpuSeconds - agentBefore.cpuSeconds;
    }
    std::cout << "milliseconds                    direct via entry     added\n";
    printComparison("first token p50", direct.firstTokenMs, viaEntry.firstTokenMs, 0.5);
    printComparison("first token p95", direct.firstTokenMs, viaEntry.firstTokenMs, HighPercentile);
    printComparison("between tokens p50", direct.tokenGapMs, viaEntry.tokenGapMs, 0.5);
    printComparison("between tokens p95", direct.tokenGapMs, viaEntry.tokenGapMs, HighPercentile);
    const double tokens = static_cast<double>(viaEntry.tokenGapMs.size());
    const double engineCount = static_cast<double>(engines.size());
    std::cout << std::setprecision(0) << "tokens a second and core: entry "
              << tokens / entryCpuSeconds << ", agent " << tokens / engineCount / agentCpuSeconds
              << '\n'
              << std::setprecision(1) << "resident MB: entry idle " << idleEntry.residentMegabytes
              << " busy " << bench::usageOf(fleet.process("entry:1").pid()).residentMegabytes
              << ", agent idle " << idleAgent.residentMegabytes << " busy "
              << bench::usageOf(fleet.process("agent:e-1").pid()).residentMegabytes << '\n';
    fleet.stopAll();
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    try {
        measure();
    } catch (const Error& error) {
        std::cerr << error.describe() << '\n';
        return 1;
    }
    return 0;
}

// Latency that entry and agent add over talking straight to the engines, and what a streamed
// token costs them, with about 64 streams at once. Both sides take turns in one run.

#include "LoadGenerator.h"
#include "LocalFleet.h"
#include "ProcessUsage.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <iomanip>
#include <iostream>

ABSL_FLAG(int, rounds, 4, "Turns of each side.");
ABSL_FLAG(std::string, work, "bench-work/latency", "Folder for settings and logs.");

namespace {

using namespace citronspoke;

constexpr uint32_t OutputTokens = 200;
constexpr double High = 0.95;

load::Plan planOf(const std::string& key)
{
    load::RequestKind kind { "stream", key, "dossier", 50, OutputTokens, Milliseconds(30000), 1,
        false, 0, 0 };
    load::Plan plan;
    plan.kinds = { kind };
    plan.phases = { { std::chrono::seconds(4), { 64 } } };
    return plan;
}

struct Side {
    std::vector<double> firstTokenMs;
    std::vector<double> tokenGapMs;

    void add(const load::KindResult& result)
    {
        firstTokenMs.insert(
            firstTokenMs.end(), result.firstTokenMs.begin(), result.firstTokenMs.end());
        tokenGapMs.insert(tokenGapMs.end(), result.tokenGapMs.begin(), result.tokenGapMs.end());
    }
};

void printPair(const char* what, const std::vector<double>& direct,
    const std::vector<double>& through, double share)
{
    const double a = load::percentile(direct, share);
    const double b = load::percentile(through, share);
    std::cout << std::left << std::setw(28) << what << std::right << std::fixed
              << std::setprecision(2) << std::setw(10) << a << std::setw(10) << b << std::setw(10)
              << b - a << '\n';
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
    Side direct;
    Side through;
    double entrySeconds = 0;
    double agentSeconds = 0;
    const load::Plan plan = planOf("rahbar-review-key");
    for (int round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
        direct.add(load::run(plan, engines).front());
        const bench::ProcessUsage entry = bench::usageOf(fleet.process("entry:1").pid());
        const bench::ProcessUsage agent = bench::usageOf(fleet.process("agent:e-1").pid());
        through.add(load::run(plan, entries).front());
        entrySeconds
            += bench::usageOf(fleet.process("entry:1").pid()).cpuSeconds - entry.cpuSeconds;
        agentSeconds
            += bench::usageOf(fleet.process("agent:e-1").pid()).cpuSeconds - agent.cpuSeconds;
    }
    std::cout << "milliseconds                    direct   through     added\n";
    printPair("first token p50", direct.firstTokenMs, through.firstTokenMs, 0.5);
    printPair("first token p95", direct.firstTokenMs, through.firstTokenMs, High);
    printPair("between tokens p50", direct.tokenGapMs, through.tokenGapMs, 0.5);
    printPair("between tokens p95", direct.tokenGapMs, through.tokenGapMs, High);
    const double tokens = static_cast<double>(through.tokenGapMs.size());
    const double engineCount = static_cast<double>(engines.size());
    std::cout << std::setprecision(0) << "tokens a second and core: entry " << tokens / entrySeconds
              << ", agent " << tokens / engineCount / agentSeconds << '\n'
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

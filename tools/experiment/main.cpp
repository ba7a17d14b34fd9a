#include "Plot.h"
#include "emulator/Emulator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

ABSL_FLAG(uint64_t, seeds, 5, "Number of simulation runs of each policy on each pattern.");
ABSL_FLAG(uint64_t, engines, 12, "Model engines.");
ABSL_FLAG(uint64_t, gateways, 5, "Gateways.");
ABSL_FLAG(uint64_t, makers, 2, "Number of engines that decode; the others prefill.");
ABSL_FLAG(std::string, out, "experiment", "The folder for the table and the plots.");

namespace {

using namespace citronspoke;
using namespace citronspoke::emulator;

/** The mean results of one policy on one pattern over all seeds. */
struct Row {
    std::string pattern;
    std::string policy;
    double worth = 0;
    double worstWindows = 0;
    double bound = 0;
    double busyShare = 0;
    /** Share of requests on time by name of the kind, in the order of the pattern's kinds. */
    std::vector<std::pair<std::string, double>> kinds;
};

Row simulateRow(const Site& site, const LoadPattern& pattern, const Policy& policy, uint64_t seeds)
{
    Row row;
    row.pattern = pattern.name;
    row.policy = nameOf(policy);
    for (const RequestKind& kind : pattern.kinds)
        row.kinds.emplace_back(kind.name, 0);
    const double seedShare = 1 / static_cast<double>(seeds);
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = simulate(site, pattern, policy, seed);
        row.worth += seedShare * outcome.worth;
        row.worstWindows += seedShare * outcome.worstWindows;
        row.bound += seedShare * outcome.bound;
        row.busyShare += seedShare * outcome.busyShare;
        for (size_t kind = 0; kind < outcome.kinds.size(); ++kind)
            row.kinds[kind].second += seedShare * static_cast<double>(outcome.kinds[kind].onTime)
                / static_cast<double>(std::max<uint64_t>(1, outcome.kinds[kind].sent));
    }
    return row;
}

void writeTable(std::ostream& out, std::span<const Row> rows)
{
    out << std::fixed << std::setprecision(3);
    out << "| pattern | policy | worth | worst windows | bound | prefill busy | on time |\n";
    out << "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Row& row : rows) {
        out << "| " << row.pattern << " | " << row.policy << " | " << row.worth << " | "
            << row.worstWindows << " | " << row.bound << " | " << row.busyShare << " |";
        for (const auto& [kind, share] : row.kinds)
            out << " " << kind << " " << share;
        out << " |\n";
    }
}

void writePlot(const std::string& path, const std::string& title, std::span<const Row> rows,
    std::span<const std::string> policies, double Row::*value)
{
    std::vector<experiment::BarGroup> groups;
    for (const Row& row : rows) {
        if (groups.empty() || groups.back().name != row.pattern)
            groups.push_back({ row.pattern, {}, row.bound });
        groups.back().values.push_back(row.*value);
    }
    experiment::writeBars(path, title, policies, groups);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Simulates each policy on each load pattern in the emulator; writes a table and plots.");
    absl::ParseCommandLine(argc, argv);
    Site site;
    site.engines = absl::GetFlag(FLAGS_engines);
    site.gateways = absl::GetFlag(FLAGS_gateways);
    site.decodeEngines = absl::GetFlag(FLAGS_makers);
    const std::vector<Policy> policies { ExpectedFinish {}, HashedHomes {}, LeastOutstanding {},
        TwoChoices {}, RoundRobin {} };
    std::vector<std::string> names;
    names.reserve(policies.size());
    for (const Policy& policy : policies)
        names.emplace_back(nameOf(policy));
    std::vector<Row> rows;
    for (const LoadPattern& pattern : loadPatterns()) {
        for (const Policy& policy : policies)
            rows.push_back(simulateRow(site, pattern, policy, absl::GetFlag(FLAGS_seeds)));
    }
    try {
        const std::string folder = absl::GetFlag(FLAGS_out);
        std::filesystem::create_directories(folder);
        std::ofstream table(folder + "/table.md");
        writeTable(table, rows);
        writePlot(folder + "/worth.svg",
            "Share of the worth that was earned; the line is the upper bound", rows, names,
            &Row::worth);
        writePlot(folder + "/worst.svg",
            "Share of the worth earned in the two worst windows of two seconds", rows, names,
            &Row::worstWindows);
        writeTable(std::cout, rows);
    } catch (const Error& error) {
        std::cerr << error.describe() << "\n";
        return 1;
    }
    return 0;
}

#include "Plot.h"
#include "emulator/Emulator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

ABSL_FLAG(uint64_t, seeds, 5, "Plays of each policy on each pattern.");
ABSL_FLAG(uint64_t, engines, 12, "Model engines.");
ABSL_FLAG(uint64_t, gateways, 5, "Gateways.");
ABSL_FLAG(uint64_t, makers, 2, "Engines that make tokens.");
ABSL_FLAG(std::string, out, "experiment", "The folder that takes the table and the plots.");

namespace {

using namespace citronspoke;
using namespace citronspoke::emulator;

/** The mean of some plays. */
struct Line {
    std::string pattern;
    std::string policy;
    double worth = 0;
    double worst = 0;
    double bound = 0;
    double busy = 0;
    /** On time, in parts of all of the kind, in the order of the pattern's kinds. */
    std::vector<std::pair<std::string, double>> kinds;
};

Line playLine(const Site& site, const LoadPattern& pattern, const Policy& policy, uint64_t seeds)
{
    Line line;
    line.pattern = pattern.name;
    line.policy = nameOf(policy);
    for (const RequestKind& kind : pattern.kinds)
        line.kinds.emplace_back(kind.name, 0);
    const double part = 1 / static_cast<double>(seeds);
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = play(site, pattern, policy, seed);
        line.worth += part * outcome.worth;
        line.worst += part * outcome.worstWindows;
        line.bound += part * outcome.bound;
        line.busy += part * outcome.busyShare;
        for (size_t kind = 0; kind < outcome.kinds.size(); ++kind)
            line.kinds[kind].second += part * static_cast<double>(outcome.kinds[kind].onTime)
                / static_cast<double>(std::max<uint64_t>(1, outcome.kinds[kind].sent));
    }
    return line;
}

void writeTable(std::ostream& out, std::span<const Line> lines)
{
    out << std::fixed << std::setprecision(3);
    out << "| pattern | policy | worth | worst windows | bound | readers busy | on time |\n";
    out << "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Line& line : lines) {
        out << "| " << line.pattern << " | " << line.policy << " | " << line.worth << " | "
            << line.worst << " | " << line.bound << " | " << line.busy << " |";
        for (const auto& [kind, share] : line.kinds)
            out << " " << kind << " " << share;
        out << " |\n";
    }
}

void writePlot(const std::string& path, const std::string& title, std::span<const Line> lines,
    std::span<const std::string> policies, double Line::*value)
{
    std::vector<experiment::BarGroup> groups;
    for (const Line& line : lines) {
        if (groups.empty() || groups.back().name != line.pattern)
            groups.push_back({ line.pattern, {}, line.bound });
        groups.back().values.push_back(line.*value);
    }
    experiment::writeBars(path, title, policies, groups);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Plays policies on load patterns in the emulator; writes a table and plots.");
    absl::ParseCommandLine(argc, argv);
    Site site;
    site.engines = absl::GetFlag(FLAGS_engines);
    site.gateways = absl::GetFlag(FLAGS_gateways);
    site.makers = absl::GetFlag(FLAGS_makers);
    const std::vector<Policy> policies { ExpectedFinish {}, HashedHomes {}, LeastOutstanding {},
        TwoChoices {}, RoundRobin {} };
    std::vector<std::string> names;
    names.reserve(policies.size());
    for (const Policy& policy : policies)
        names.emplace_back(nameOf(policy));
    std::vector<Line> lines;
    for (const LoadPattern& pattern : loadPatterns()) {
        for (const Policy& policy : policies)
            lines.push_back(playLine(site, pattern, policy, absl::GetFlag(FLAGS_seeds)));
    }
    try {
        const std::string folder = absl::GetFlag(FLAGS_out);
        std::filesystem::create_directories(folder);
        std::ofstream table(folder + "/table.md");
        writeTable(table, lines);
        writePlot(folder + "/worth.svg", "Worth earned of the worth owed; the line is the bound",
            lines, names, &Line::worth);
        writePlot(folder + "/worst.svg", "Worth in the two worst windows of two seconds", lines,
            names, &Line::worst);
        writeTable(std::cout, lines);
    } catch (const Error& error) {
        std::cerr << error.describe() << "\n";
        return 1;
    }
    return 0;
}

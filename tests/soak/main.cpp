#include "SoakFleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

ABSL_FLAG(uint64_t, seed, 1, "The first play's seed; even seeds play planned work only.");
ABSL_FLAG(uint64_t, plays, 1, "How many plays, each with the next seed.");
ABSL_FLAG(std::string, regressions, "", "A file whose lines begin with seeds that failed once.");
ABSL_FLAG(int64_t, length_ms, 5000, "How long faults go on in a play.");
ABSL_FLAG(uint64_t, gateways, 3, "Gateway processes.");
ABSL_FLAG(uint64_t, engines, 4, "Model engines, each with a sidecar process.");
ABSL_FLAG(uint64_t, applications, 2, "Applications.");
ABSL_FLAG(uint64_t, callers, 6, "Callers that ask at the same time.");
ABSL_FLAG(bool, timed, false, "Also check promises with a time bound.");
ABSL_FLAG(bool, keep, false, "Keep the logs of plays that pass.");

namespace {

using namespace citronspoke;
using namespace citronspoke::soak;

/** Nothing takes so long but a hang. */
constexpr std::chrono::seconds HangLimit { 40 };
/** After the last fault service must be back within this time, as the users' sites state it. */
constexpr std::chrono::seconds RecoveryLimit { 12 };
/** An accepted declaration is in force after this time, as the users' sites state it. */
constexpr Milliseconds ApplyLimit { 2000 };
/** A process that has run for so long is expected to know the declaration. */
constexpr Milliseconds ContactTime { 3000 };

/** One play: a fleet, its callers, and faults drawn from a seed. */
class Play {
public:
    explicit Play(const SoakOptions& options)
        : m_options(options)
        , m_fleet(options, m_history)
        , m_random(options.seed)
    {
    }

    /** @return the broken promises. */
    std::vector<std::string> run()
    {
        m_fleet.start();
        awaitService("before", HangLimit);
        std::vector<std::jthread> threads;
        for (size_t number = 1; number <= m_options.callers; ++number)
            threads.emplace_back([this, number] { keepAsking(number); });
        threads.emplace_back([this] { keepLooking(); });
        playFaults();
        awaitService("after", m_options.isTimed ? RecoveryLimit : HangLimit);
        m_isOver = true;
        threads.clear();
        m_history.judge();
        return m_history.violations();
    }

    std::string summary() const
    {
        std::ostringstream text;
        text << "served " << m_history.results(CallerResult::Served) << ", refused "
             << m_history.results(CallerResult::Refused) << ", failed "
             << m_history.results(CallerResult::Failed) << ", broken "
             << m_history.results(CallerResult::Broken);
        return text.str();
    }

private:
    void note(const std::string& what)
    {
        std::ofstream(m_options.folder + "/plan.log", std::ios::app)
            << m_history.age().count() << " ms " << what << "\n";
    }

    void playFaults()
    {
        struct Running {
            Fault fault;
            SteadyTime end;
        };
        std::vector<Running> running;
        const SteadyTime end = steadyNow() + m_options.length;
        const auto endDue = [&](SteadyTime now) {
            for (size_t index = 0; index < running.size();) {
                if (running[index].end > now) {
                    ++index;
                    continue;
                }
                note("end of: " + running[index].fault.name);
                running[index].fault.end();
                running.erase(running.begin() + static_cast<ptrdiff_t>(index));
            }
        };
        while (steadyNow() < end) {
            Fault fault = m_fleet.drawFault(m_random);
            note(fault.name);
            fault.begin();
            if (fault.end)
                running.push_back({ fault, steadyNow() + fault.duration });
            constexpr int64_t LongestGapMs = 400;
            std::this_thread::sleep_for(
                Milliseconds(std::uniform_int_distribution<int64_t>(0, LongestGapMs)(m_random)));
            endDue(steadyNow());
        }
        endDue(SteadyTime::max());
    }

    void keepAsking(size_t number)
    {
        constexpr uint64_t LeavesEarlyOneIn = 20;
        constexpr Milliseconds Pause { 5 };
        SoakCaller caller("c" + std::to_string(number), m_history);
        std::mt19937_64 random(m_options.seed * 1000 + number);
        size_t gateway = number % m_fleet.gateways();
        while (!m_isOver) {
            const Work work = static_cast<Work>(random() % 4);
            const CallerResult result = caller.ask(m_fleet.callersOf(gateway), work,
                m_options.isPlannedOnly, random() % LeavesEarlyOneIn == 0);
            if (result != CallerResult::Served || random() % 8 == 0)
                gateway = random() % m_fleet.gateways();
            std::this_thread::sleep_for(Pause);
        }
    }

    /** Looks which declaration each gateway has in force. */
    void keepLooking()
    {
        constexpr Milliseconds Pause { 20 };
        SoakCaller caller("look", m_history);
        std::map<std::pair<size_t, SteadyTime>, int> seen;
        for (size_t turn = 0; !m_isOver; ++turn) {
            std::this_thread::sleep_for(Pause);
            const size_t gateway = turn % m_fleet.gateways();
            const SoakFleet::Declared declared = m_fleet.declared();
            const std::optional<SteadyTime> since = m_fleet.runningSince(gateway);
            const SteadyTime askedAt = steadyNow();
            const Answer answer = caller.look(
                m_fleet.callersOf(gateway), SoakFleet::pathOf(declared.revision) + "x");
            if (!since || m_fleet.runningSince(gateway) != since
                || m_fleet.declared().revision != declared.revision)
                continue;
            int& newest = seen[{ gateway, *since }];
            const std::string name = "gateway " + std::to_string(gateway + 1) + ", revision "
                + std::to_string(declared.revision);
            if (answer.status == 200) {
                newest = declared.revision;
            } else if (answer.status == 404) {
                if (newest == declared.revision)
                    m_history.violate("regress", name);
                if (m_options.isTimed && m_options.isPlannedOnly
                    && askedAt - declared.at > ApplyLimit && askedAt - *since > ContactTime)
                    m_history.violate("config", name + " is not in force");
            }
        }
    }

    void awaitService(const std::string& name, std::chrono::seconds limit)
    {
        SoakCaller caller(name, m_history);
        const SteadyTime start = steadyNow();
        for (size_t gateway = 0; gateway < m_fleet.gateways(); ++gateway) {
            for (const Work work :
                { Work::Repeatable, Work::Once, Work::Stream, Work::SingleStream }) {
                while (caller.ask(m_fleet.callersOf(gateway), work, false, false)
                    != CallerResult::Served) {
                    if (steadyNow() - start > limit) {
                        m_history.violate("recover",
                            "gateway " + std::to_string(gateway + 1) + " does not serve");
                        return;
                    }
                    std::this_thread::sleep_for(Milliseconds(20));
                }
            }
        }
    }

    SoakOptions m_options;
    RunHistory m_history;
    SoakFleet m_fleet;
    std::mt19937_64 m_random;
    std::atomic<bool> m_isOver { false };
};

/** @return whether all promises held. */
bool playSeed(uint64_t seed)
{
    SoakOptions options;
    options.seed = seed;
    options.gateways = absl::GetFlag(FLAGS_gateways);
    options.engines = absl::GetFlag(FLAGS_engines);
    options.applications = absl::GetFlag(FLAGS_applications);
    options.callers = absl::GetFlag(FLAGS_callers);
    options.length = Milliseconds(absl::GetFlag(FLAGS_length_ms));
    options.isPlannedOnly = seed % 2 == 0;
    options.isTimed = absl::GetFlag(FLAGS_timed);
    options.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    options.folder = (std::filesystem::temp_directory_path()
        / ("citronspoke-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed)))
                         .string();
    std::vector<std::string> violations;
    std::string summary;
    {
        Play play(options);
        violations = play.run();
        summary = play.summary();
    }
    std::cout << "seed " << seed << (options.isPlannedOnly ? " planned: " : " any: ") << summary
              << "\n";
    for (const std::string& violation : violations)
        std::cout << "  broken: " << violation << "\n";
    if (violations.empty() && !absl::GetFlag(FLAGS_keep))
        std::filesystem::remove_all(options.folder);
    else
        std::cout << "  logs: " << options.folder << "\n";
    std::cout << std::flush;
    return violations.empty();
}

std::vector<uint64_t> seeds()
{
    std::vector<uint64_t> seeds;
    std::ifstream file(absl::GetFlag(FLAGS_regressions));
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        uint64_t seed = 0;
        if (words >> seed)
            seeds.push_back(seed);
    }
    const uint64_t first = absl::GetFlag(FLAGS_seed);
    for (uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_plays); ++seed)
        seeds.push_back(seed);
    return seeds;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Plays the gateway and sidecar programs under random faults and checks their promises.");
    absl::ParseCommandLine(argc, argv);
    bool isSound = true;
    for (const uint64_t seed : seeds())
        isSound = playSeed(seed) && isSound;
    return isSound ? 0 : 1;
}

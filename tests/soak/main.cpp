#include "Crowd.h"
#include "FakeDocuments.h"
#include "SoakFleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

ABSL_FLAG(uint64_t, seed, 1, "Seed of the first run; even seeds inject planned changes only.");
ABSL_FLAG(uint64_t, plays, 1, "Number of runs, each with the next seed.");
ABSL_FLAG(std::string, regressions, "",
    "A file whose lines begin with seeds that failed once; they are run first.");
ABSL_FLAG(int64_t, length_ms, 5000, "How long faults are injected in a run, in milliseconds.");
ABSL_FLAG(uint64_t, gateways, 3, "Gateway processes.");
ABSL_FLAG(uint64_t, engines, 4, "Model engines, each with a sidecar process.");
ABSL_FLAG(uint64_t, applications, 2, "Applications.");
ABSL_FLAG(uint64_t, callers, 6, "Callers that send requests at the same time.");
ABSL_FLAG(bool, timed, false, "Also check guarantees with a time limit.");
ABSL_FLAG(bool, crashing_parts, false,
    "Also send prompts with parts that crash engines, and kill all gateways at half time.");
ABSL_FLAG(bool, keep, false, "Keep the logs of runs that pass.");

namespace {

using namespace citronspoke;
using namespace citronspoke::soak;

/** Only a hang lasts this long. */
constexpr std::chrono::seconds HangLimit { 40 };
/** Time in which service must recover after the last fault, as the deployments require it. */
constexpr std::chrono::seconds RecoveryLimit { 12 };
/** Time in which an accepted declaration must be in force, as the deployments require it. */
constexpr Milliseconds ApplyLimit { 2000 };
/** A process that has run for this long must know the last declaration. */
constexpr Milliseconds StartupTime { 3000 };

/** Of the streams that callers resume while their version serves, the share that must go on. */
constexpr double ResumedShare = 0.9;
/** The share is checked where there were so many. */
constexpr size_t MinResumes = 20;

std::string_view toText(RunHistory::KillMode mode)
{
    return mode == RunHistory::KillMode::All ? "all gateways killed" : "not all gateways killed";
}

/** One run: a fleet, its callers, and faults drawn from a seed. */
class SoakRun {
public:
    explicit SoakRun(const SoakOptions& options)
        : m_options(options)
        , m_fleet(options, m_history)
        , m_random(options.seed)
    {
    }

    /** @return the violated guarantees. */
    std::vector<std::string> run()
    {
        m_fleet.start();
        awaitService("before", HangLimit);
        std::vector<std::jthread> threads;
        for (size_t number = 1; number <= m_options.callers; ++number)
            threads.emplace_back([this, number] { sendRequests(number); });
        threads.emplace_back([this] { probeDeclarations(); });
        threads.emplace_back([this] { holdUnfinishedRequests(); });
        if (m_options.hasCrashingParts)
            threads.emplace_back([this] { sendCrashingParts(); });
        injectFaults();
        awaitService("after", m_options.checksTimeLimits ? RecoveryLimit : HangLimit);
        awaitAnnouncements();
        m_isStopping = true;
        threads.clear();
        m_history.checkAtEnd();
        m_fleet.checkLogs();
        return m_history.violations();
    }

    std::string summary() const
    {
        std::ostringstream text;
        text << "served " << m_history.results(CallerResult::Served) << ", refused "
             << m_history.results(CallerResult::Refused) << ", failed "
             << m_history.results(CallerResult::Failed) << ", broken "
             << m_history.results(CallerResult::Broken) << ", streams resumed by callers "
             << m_history.resumes().all << ", of these served " << m_history.resumes().served;
        for (const auto& [mode, resumes] : m_history.resumesByMode())
            text << ", while their version served and " << toText(mode) << " " << resumes.served
                 << " of " << resumes.all;
        for (const RetryLimit::Use& use : m_history.retryUses())
            text << ", most retries at " << use.pool << " " << use.retries << " of " << use.allowed;
        if (m_options.hasCrashingParts)
            text << ", engines crashed by prompt parts " << m_history.partCrashes();
        return text.str();
    }

    RunHistory::ResumesByMode resumesByMode() const { return m_history.resumesByMode(); }

private:
    void logStep(const std::string& what)
    {
        std::ofstream(m_options.folder + "/plan.log", std::ios::app)
            << m_history.age().count() << " ms " << what << "\n";
    }

    void injectFaults()
    {
        struct Running {
            Fault fault;
            SteadyTime end;
        };
        std::vector<Running> running;
        const SteadyTime end = steadyNow() + m_options.faultDuration;
        const auto endDue = [&](SteadyTime now) {
            for (size_t index = 0; index < running.size();) {
                if (running[index].end > now) {
                    ++index;
                    continue;
                }
                logStep("end of: " + running[index].fault.name);
                running[index].fault.end();
                running.erase(running.begin() + static_cast<ptrdiff_t>(index));
            }
        };
        const SteadyTime halfTime = end - m_options.faultDuration / 2;
        bool killsAll = m_options.hasCrashingParts;
        while (steadyNow() < end) {
            if (killsAll && steadyNow() >= halfTime) {
                killsAll = false;
                logStep("kill all gateways");
                m_fleet.killAllGateways();
            }
            Fault fault = m_fleet.drawFault(m_random);
            logStep(fault.name);
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

    /** @param sentAt when the request that began the stream was sent. */
    void resumeStream(SoakCaller& caller, SteadyTime sentAt, std::mt19937_64& random)
    {
        constexpr Milliseconds Pause { 50 };
        // Callers wait for the next event for about a third of their remaining time.
        constexpr Milliseconds ResumeTime { 1000 };
        const SteadyTime end = steadyNow() + ResumeTime;
        const std::string version = caller.brokenVersion();
        bool hasServed = m_history.isServing(version);
        while (caller.hasBrokenStream() && steadyNow() < end) {
            caller.resumeStream(m_fleet.callerAddress(random() % m_fleet.gateways()));
            hasServed = hasServed && m_history.isServing(version);
            std::this_thread::sleep_for(Pause);
        }
        const std::optional<SteadyTime> killedAt = m_history.lastKillOfAll();
        const RunHistory::KillMode mode = killedAt && *killedAt >= sentAt
            ? RunHistory::KillMode::All
            : RunHistory::KillMode::Single;
        m_history.recordResume(
            !caller.hasBrokenStream(), hasServed ? std::optional(mode) : std::nullopt);
    }

    void sendRequests(size_t number)
    {
        constexpr uint64_t LeavesEarlyOneIn = 20;
        constexpr Milliseconds Pause { 5 };
        SoakCaller caller("c" + std::to_string(number), m_history);
        std::mt19937_64 random(m_options.seed * 1000 + number);
        size_t gateway = number % m_fleet.gateways();
        while (!m_isStopping) {
            const Work work = static_cast<Work>(random() % 4);
            // Crashes cut streams, as do kills of gateways.
            const bool mayCut = !m_options.isPlannedOnly || m_options.hasCrashingParts;
            const SteadyTime sentAt = steadyNow();
            const CallerResult result = caller.sendRequest(
                m_fleet.callerAddress(gateway), work, !mayCut, random() % LeavesEarlyOneIn == 0);
            if (caller.hasBrokenStream())
                resumeStream(caller, sentAt, random);
            if (result != CallerResult::Served || random() % 8 == 0)
                gateway = random() % m_fleet.gateways();
            std::this_thread::sleep_for(Pause);
        }
    }

    /** Sends prompts with two parts that crash engines, the second one from half time on. */
    void sendCrashingParts()
    {
        constexpr Milliseconds Pause { 60 };
        SoakCaller caller("crash", m_history);
        std::mt19937_64 random(m_options.seed);
        const SteadyTime halfTime = steadyNow() + m_options.faultDuration / 2;
        while (!m_isStopping) {
            const bool isSecond = steadyNow() > halfTime && random() % 2 == 0;
            caller.sendCrashing(m_fleet.callerAddress(random() % m_fleet.gateways()),
                std::string(CrashingPartPrefix) + (isSecond ? "2" : "1"));
            std::this_thread::sleep_for(Pause);
        }
    }

    /** Opens connections over and over on which requests are sent that lack their last byte. */
    void holdUnfinishedRequests()
    {
        constexpr size_t Connections = 24;
        constexpr size_t BodyBytes = 60000;
        constexpr size_t PieceBytes = 16384;
        constexpr Milliseconds HoldTime { 300 };
        const std::string request = "POST /any/x HTTP/1.1\r\nHost: " + std::string(fakes::RouteHost)
            + "\r\nX-Attempt-Id: unfinished\r\nContent-Length: " + std::to_string(BodyBytes)
            + "\r\n\r\n" + std::string(BodyBytes - 1, 'x');
        std::mt19937_64 random(m_options.seed);
        while (!m_isStopping) {
            crowds::Crowd crowd(m_fleet.callerAddress(random() % m_fleet.gateways()), Connections);
            crowd.send(request, PieceBytes);
            std::this_thread::sleep_for(HoldTime);
        }
    }

    /** Checks which declaration each gateway has in force. */
    void probeDeclarations()
    {
        constexpr Milliseconds Pause { 20 };
        SoakCaller caller("look", m_history);
        std::map<std::pair<size_t, SteadyTime>, int> seen;
        for (size_t turn = 0; !m_isStopping; ++turn) {
            std::this_thread::sleep_for(Pause);
            const size_t gateway = turn % m_fleet.gateways();
            const SoakFleet::PublishedDeclaration declaration = m_fleet.publishedDeclaration();
            const std::optional<SteadyTime> since = m_fleet.runningSince(gateway);
            const SteadyTime sentAt = steadyNow();
            const Response response = caller.fetch(m_fleet.callerAddress(gateway),
                SoakFleet::revisionPath(declaration.revision) + "x");
            if (!since || m_fleet.runningSince(gateway) != since
                || m_fleet.publishedDeclaration().revision != declaration.revision)
                continue;
            int& newest = seen[{ gateway, *since }];
            const std::string name = "gateway " + std::to_string(gateway + 1) + ", revision "
                + std::to_string(declaration.revision);
            if (response.status == 200) {
                newest = declaration.revision;
            } else if (response.status == 404) {
                if (newest == declaration.revision)
                    m_history.recordViolation("regress", name);
                if (m_options.checksTimeLimits && m_options.isPlannedOnly
                    && sentAt - declaration.publishedAt > ApplyLimit
                    && sentAt - *since > StartupTime)
                    m_history.recordViolation("config", name + " is not in force");
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
                while (caller.sendRequest(m_fleet.callerAddress(gateway), work, false, false)
                    != CallerResult::Served) {
                    if (steadyNow() - start > limit) {
                        m_history.recordViolation("recover",
                            "gateway " + std::to_string(gateway + 1) + " does not serve");
                        return;
                    }
                    std::this_thread::sleep_for(Milliseconds(20));
                }
            }
        }
    }

    void awaitAnnouncements()
    {
        const SteadyTime start = steadyNow();
        while (!m_fleet.areGatewaysAnnounced()) {
            if (steadyNow() - start > RecoveryLimit) {
                m_history.recordViolation("recover", "a gateway is not announced in the store");
                return;
            }
            std::this_thread::sleep_for(Milliseconds(20));
        }
    }

    SoakOptions m_options;
    RunHistory m_history;
    SoakFleet m_fleet;
    std::mt19937_64 m_random;
    std::atomic<bool> m_isStopping { false };
};

/** @return whether all guarantees held.
 * @param resumes gets the resumed streams added. */
bool runSeed(uint64_t seed, RunHistory::ResumesByMode& resumes)
{
    SoakOptions options;
    options.seed = seed;
    options.gateways = absl::GetFlag(FLAGS_gateways);
    options.engines = absl::GetFlag(FLAGS_engines);
    options.applications = absl::GetFlag(FLAGS_applications);
    options.callers = absl::GetFlag(FLAGS_callers);
    options.faultDuration = Milliseconds(absl::GetFlag(FLAGS_length_ms));
    options.isPlannedOnly = seed % 2 == 0;
    options.hasCrashingParts = absl::GetFlag(FLAGS_crashing_parts);
    options.checksTimeLimits = absl::GetFlag(FLAGS_timed);
    options.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    options.folder = (std::filesystem::temp_directory_path()
        / ("citronspoke-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed)))
                         .string();
    std::vector<std::string> violations;
    std::string summary;
    {
        SoakRun soakRun(options);
        violations = soakRun.run();
        summary = soakRun.summary();
        for (const auto& [mode, counts] : soakRun.resumesByMode())
            resumes[mode].add(counts);
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

/** @return whether enough of the resumed streams of all seeds went on. */
bool checkResumes(const RunHistory::ResumesByMode& resumes)
{
    bool isMet = true;
    for (const auto& [mode, counts] : resumes) {
        std::cout << "streams resumed while their version served, " << toText(mode) << ": "
                  << counts.served << " of " << counts.all << " went on\n";
        if (counts.all < MinResumes
            || static_cast<double>(counts.served) >= ResumedShare * static_cast<double>(counts.all))
            continue;
        std::cout << "  broken: resumed: fewer than " << ResumedShare << "\n";
        isMet = false;
    }
    return isMet;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Runs the gateway and sidecar programs under random faults and checks their guarantees.");
    absl::ParseCommandLine(argc, argv);
    bool allPassed = true;
    RunHistory::ResumesByMode resumes;
    for (const uint64_t seed : seeds())
        allPassed = runSeed(seed, resumes) && allPassed;
    allPassed = checkResumes(resumes) && allPassed;
    return allPassed ? 0 : 1;
}

// A request that crashes each server that runs it, while all gateways are killed now and then.
#include "../stand-ins-3/Fleet.h"

namespace {

using namespace review;

constexpr size_t Gateways = 3;
constexpr size_t Servers = 6;
/** bounds.contactMs of the deployment. */
constexpr Milliseconds ContactTime { 3000 };
/** A server that has crashed is back after this. */
constexpr Milliseconds DownTime { 2000 };
constexpr Milliseconds WorkTime { 30 };
constexpr Milliseconds Deadline { 1000 };
constexpr Milliseconds ReadyLimit { 20000 };
constexpr Milliseconds SoundInterval { 100 };
/** Between two arrivals of the request that crashes servers, at one gateway after the other. */
constexpr Milliseconds PoisonInterval { 4000 };
constexpr size_t PoisonsPerKill = 3;
constexpr size_t Kills = 2;
constexpr size_t CrashesBefore = 3;
constexpr size_t RetriesAllowed = 3;
constexpr const char* PoisonPath = "/app/poison";

/** A run of the request that crashes servers. */
struct PoisonRun {
    Milliseconds at;
    std::string attempt;
};

/** The runs of that request, as the servers see them. */
class PoisonRuns {
public:
    void add(const PoisonRun& run)
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
    }
    std::vector<PoisonRun> all()
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    std::mutex m_mutex;
    std::vector<PoisonRun> m_runs;
};

/** Sends sound requests to one gateway, no two alike. */
void sendSound(const std::stop_token& stop, const std::string& gateway, const std::string& name,
    std::atomic<size_t>& served)
{
    Caller caller(gateway);
    for (size_t number = 0; !stop.stop_requested(); ++number) {
        const std::string attempt = name + "-" + std::to_string(number);
        const Response response
            = caller.send(requestText("GET", "/app/" + attempt, attempt, Deadline), Deadline);
        served += response.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(SoundInterval);
    }
}

int play(const std::string& folder, Record& record)
{
    const bool hasTrouble = !isOff("TROUBLE");
    Deployment deployment(folder);
    deployment.declare(1, { Route { "/app/" } });
    PoisonRuns poisonRuns;
    Fleet* fleet = nullptr;
    Fleet servers(deployment.store(), record, "app", std::vector<std::string>(Servers), DownTime,
        [&](const Incarnation& incarnation, const Request& request, Connection& connection) {
            const std::string attempt = request.field("x-attempt-id");
            if (request.field("x-expect-instance") != incarnation.id) {
                connection.answer(
                    421, { { "X-Attempt-Id", attempt }, { "X-Not-Executed", "1" } }, "");
                return;
            }
            const bool isPoison = request.target == PoisonPath;
            if (isPoison) {
                poisonRuns.add({ record.now(), attempt });
                record.note(incarnation.id + " runs " + attempt);
            }
            std::this_thread::sleep_for(WorkTime);
            if (isPoison)
                fleet->crash(incarnation);
            else
                connection.answer(200,
                    { { "X-Attempt-Id", attempt }, { "X-Server-Stamp", "stamp" } },
                    "answer to " + attempt);
        });
    fleet = &servers;
    for (size_t number = 0; number < Gateways; ++number)
        deployment.addGateway();
    if (!deployment.waitUntilReady(ReadyLimit))
        return 2;
    Milliseconds runningSince = record.now();
    std::this_thread::sleep_for(ContactTime);

    std::atomic<size_t> served = 0;
    std::vector<std::jthread> callers;
    for (size_t number = 0; number < Gateways; ++number)
        callers.emplace_back(sendSound, deployment.callers(number),
            "sound" + std::to_string(number), std::ref(served));
    /** Of each attempt: since when the gateway runs that got it. */
    std::map<std::string, Milliseconds> gatewaySince;
    const size_t poisons = PoisonsPerKill * (Kills + 1);
    for (size_t number = 0; number < poisons; ++number) {
        const size_t gateway = number % Gateways;
        const std::string attempt = "poison-" + std::to_string(number);
        gatewaySince[attempt] = runningSince;
        record.note("sent " + attempt + " to gateway " + std::to_string(gateway));
        Caller caller(deployment.callers(gateway));
        const Response response
            = caller.send(requestText("GET", PoisonPath, attempt, Deadline), Deadline);
        record.note(attempt + " is answered " + std::to_string(response.status));
        if (hasTrouble && (number + 1) % PoisonsPerKill == 0 && number + 1 < poisons) {
            record.note("all gateways are killed and start again");
            for (size_t killed = 0; killed < Gateways; ++killed)
                deployment.kill(killed);
            for (size_t killed = 0; killed < Gateways; ++killed)
                deployment.restart(killed);
            if (!deployment.waitUntilReady(ReadyLimit))
                return 2;
            runningSince = record.now();
        }
        std::this_thread::sleep_for(PoisonInterval);
    }
    callers.clear();
    const std::vector<PoisonRun> runs = poisonRuns.all();
    record.note("sound requests served: " + std::to_string(served));
    record.note("runs of the request that crashes servers: " + std::to_string(runs.size()));
    if (served == 0 || runs.size() < CrashesBefore)
        return 2;
    const Milliseconds from = runs[CrashesBefore - 1].at + WorkTime + ContactTime;
    size_t retries = 0;
    for (const PoisonRun& run : runs)
        retries += run.at > from && run.at >= gatewaySince[run.attempt] + ContactTime ? 1 : 0;
    record.note("of these later than contactMs after the third crash, by gateways in touch: "
        + std::to_string(retries) + "; allowed: " + std::to_string(RetriesAllowed));
    return retries > RetriesAllowed ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, play); }

// A prompt part that crashes each engine which begins to write an answer on it: the engine has sent
// the first event by then.
#include "../stand-ins-3/Fleet.h"

#include <nlohmann/json.hpp>
#include <set>

namespace {

using namespace review;

constexpr size_t Gateways = 2;
constexpr size_t PrefillEngines = 3;
constexpr size_t DecodeEngines = 6;
/** bounds.contactMs of the deployment. */
constexpr Milliseconds ContactTime { 3000 };
/** An engine that has crashed is back after this. */
constexpr Milliseconds DownTime { 2000 };
constexpr Milliseconds EventGap { 10 };
constexpr uint64_t EventsPerStream = 10;
constexpr Milliseconds Deadline { 6000 };
constexpr Milliseconds ReadyLimit { 20000 };
constexpr Milliseconds SoundInterval { 100 };
constexpr size_t SoundCallers = 4;
constexpr size_t SoundParts = 5;
constexpr Milliseconds PoisonInterval { 2000 };
constexpr size_t Poisons = 12;
constexpr size_t CrashesBefore = 5;
constexpr size_t RequestsAllowed = 3;
constexpr const char* BadPart = "bad1";

/** Model engines, which keep their phases. */
class Engines {
public:
    Engines(Store& store, Record& record)
        : m_record(record)
        , m_fleet(store, record, "llm", phases(), DownTime,
              [this](const Incarnation& incarnation, const Request& request,
                  Connection& connection) { handle(incarnation, request, connection); })
    {
    }

    /** @return when requests with the bad part began to run. */
    std::vector<Milliseconds> badRuns()
    {
        std::lock_guard lock(m_mutex);
        return m_badRuns;
    }

private:
    static std::vector<std::string> phases()
    {
        std::vector<std::string> phases(PrefillEngines, "prefill");
        phases.resize(PrefillEngines + DecodeEngines, "decode");
        return phases;
    }

    void handle(const Incarnation& incarnation, const Request& request, Connection& connection)
    {
        const std::string attempt = request.field("x-attempt-id");
        const std::string& phase = incarnation.entry.phase;
        if (request.target == "/report") {
            connection.answer(200, {},
                nlohmann::json { { "phase", phase }, { "seq", 0 }, { "busy", false },
                    { "born", incarnation.entry.born } }
                    .dump());
            return;
        }
        if (request.target.starts_with("/kv-handle/")) {
            takeHandle(request.target.substr(request.target.rfind('/') + 1));
            connection.answer(200, {}, "");
            return;
        }
        const bool isPrefill = request.field("x-phase") == "prefill";
        if (request.field("x-expect-instance") != incarnation.id
            || isPrefill != (phase == "prefill")) {
            connection.answer(421, { { "X-Attempt-Id", attempt }, { "X-Not-Executed", "1" } }, "");
            return;
        }
        if (isPrefill) {
            connection.answer(200, { { "X-Attempt-Id", attempt } },
                nlohmann::json { { "kvHandle", newHandle() }, { "tokens", 1000 }, { "version", 1 } }
                    .dump());
            return;
        }
        const std::string source = request.field("x-kv-source");
        if (!source.empty() && !takeHandle(source.substr(source.rfind('/') + 1)))
            connection.answer(503, { { "X-Attempt-Id", attempt }, { "X-Not-Executed", "1" } }, "");
        else
            stream(incarnation, request, connection);
    }

    std::string newHandle()
    {
        std::lock_guard lock(m_mutex);
        m_lastHandle += 1;
        return *m_handles.insert("h" + std::to_string(m_lastHandle)).first;
    }

    bool takeHandle(const std::string& handle)
    {
        std::lock_guard lock(m_mutex);
        return m_handles.erase(handle) > 0;
    }

    void stream(const Incarnation& incarnation, const Request& request, Connection& connection)
    {
        const std::string attempt = request.field("x-attempt-id");
        const bool isBad = request.field("x-prefix-hash").find(BadPart) != std::string::npos;
        const bool crashes = isBad && !isOff("TROUBLE");
        if (isBad) {
            std::lock_guard lock(m_mutex);
            m_badRuns.push_back(m_record.now());
            m_record.note(incarnation.id + " begins to write an answer to " + attempt);
        }
        connection.beginChunks({ { "X-Attempt-Id", attempt }, { "X-Server-Stamp", "stamp" },
            { "Content-Type", "text/event-stream" } });
        const std::string last = request.field("last-event-id");
        const uint64_t first = last.empty() ? 1 : std::stoull(last) + 1;
        for (uint64_t event = first; event <= EventsPerStream; ++event) {
            if (crashes && (event > first || isOff("FIRST_EVENT"))) {
                m_fleet.crash(incarnation);
                return;
            }
            connection.sendChunk("id: " + std::to_string(event) + "\ndata: " + attempt + "\n\n");
            std::this_thread::sleep_for(EventGap);
        }
        connection.endChunks();
    }

    Record& m_record;
    std::mutex m_mutex;
    uint64_t m_lastHandle = 0;
    std::set<std::string> m_handles;
    std::vector<Milliseconds> m_badRuns;
    Fleet m_fleet;
};

/** @param part one that prompts share, after the one that all prompts have. */
std::string promptRequest(const std::string& attempt, const std::string& part)
{
    const std::string own = std::to_string(std::hash<std::string> {}(attempt));
    return requestText("POST", "/review/dossier", attempt, Deadline,
        { { "X-Model", "m" }, { "X-Token-Counts", "1000,10" },
            { "X-Prefix-Hash", "c0:300," + part + ":300," + own + ":400" } },
        "prompt of " + attempt);
}

/** Sends sound requests to one gateway. */
void sendSound(const std::stop_token& stop, const std::string& gateway, const std::string& name,
    std::atomic<size_t>& served)
{
    Caller caller(gateway);
    for (size_t number = 0; !stop.stop_requested(); ++number) {
        const std::string part = "d" + std::to_string(number % SoundParts);
        const Response response
            = caller.send(promptRequest(name + "-" + std::to_string(number), part), Deadline);
        served += response.isComplete && response.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(SoundInterval);
    }
}

int play(const std::string& folder, Record& record)
{
    Deployment deployment(folder);
    deployment.declare(1, { Route { "/review/", "streaming", "llm", 6000, 2, true, true } });
    Engines engines(deployment.store(), record);
    for (size_t number = 0; number < Gateways; ++number)
        deployment.addGateway();
    if (!deployment.waitUntilReady(ReadyLimit))
        return 2;
    std::this_thread::sleep_for(ContactTime);

    std::atomic<size_t> served = 0;
    std::vector<std::jthread> callers;
    for (size_t number = 0; number < SoundCallers; ++number)
        callers.emplace_back(sendSound, deployment.callers(number % Gateways),
            "sound" + std::to_string(number), std::ref(served));
    for (size_t number = 0; number < Poisons; ++number) {
        const size_t gateway = number % Gateways;
        const std::string attempt = "bad-" + std::to_string(number);
        record.note("sent " + attempt + " to gateway " + std::to_string(gateway));
        Caller caller(deployment.callers(gateway));
        const Response response = caller.send(promptRequest(attempt, BadPart), Deadline);
        record.note(attempt + " is answered " + std::to_string(response.status)
            + (response.isComplete ? "" : ", not to its end"));
        std::this_thread::sleep_for(PoisonInterval);
    }
    callers.clear();
    const std::vector<Milliseconds> runs = engines.badRuns();
    record.note("sound requests served: " + std::to_string(served));
    record.note("runs of requests with the part: " + std::to_string(runs.size()));
    if (served == 0 || runs.empty())
        return 2;
    size_t late = 0;
    if (!isOff("TROUBLE") && runs.size() > CrashesBefore) {
        const Milliseconds from = runs[CrashesBefore - 1] + EventGap + ContactTime;
        for (const Milliseconds run : runs)
            late += run > from ? 1 : 0;
    }
    record.note("of these later than contactMs after the fifth crash: " + std::to_string(late)
        + "; allowed: " + std::to_string(RequestsAllowed));
    return late > RequestsAllowed ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, play); }

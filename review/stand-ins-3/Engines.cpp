#include "Engines.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

    constexpr size_t PrefillEngines = 3;
    constexpr size_t DecodeEngines = 6;
    constexpr Milliseconds DownTime { 2000 };
    constexpr Milliseconds EventGap { 10 };
    constexpr uint64_t EventsPerStream = 10;
    constexpr Milliseconds Deadline { 6000 };
    constexpr Milliseconds SoundInterval { 100 };
    constexpr size_t SoundCallersPerGateway = 2;
    constexpr size_t SoundParts = 5;
    constexpr Milliseconds BadInterval { 2000 };
    /** bounds.contactMs of the deployment. */
    constexpr Milliseconds ContactTime { 3000 };
    constexpr size_t CrashesBefore = 5;
    constexpr size_t RequestsAllowed = 3;

    std::vector<std::string> phases()
    {
        std::vector<std::string> phases(PrefillEngines, "prefill");
        phases.resize(PrefillEngines + DecodeEngines, "decode");
        return phases;
    }

} // namespace

Engines::Engines(Store& store, Record& record, const Options& options)
    : m_record(record)
    , m_options(options)
    , m_fleet(store, record, "llm", phases(), DownTime,
          [this](const Incarnation& incarnation, const Request& request, Connection& connection) {
              handle(incarnation, request, connection);
          })
{
}

std::vector<Milliseconds> Engines::badRuns()
{
    std::lock_guard lock(m_mutex);
    return m_badRuns;
}

void Engines::handle(const Incarnation& incarnation, const Request& request, Connection& connection)
{
    const std::string attempt = request.field("x-attempt-id");
    const std::string& phase = incarnation.entry.phase;
    const std::string lastPart = request.target.substr(request.target.rfind('/') + 1);
    if (request.target == "/report") {
        connection.answer(200, {},
            nlohmann::json { { "phase", phase }, { "seq", 0 }, { "busy", false },
                { "born", incarnation.entry.born } }
                .dump());
        return;
    }
    if (request.target.starts_with("/kv-handle/")) {
        takeHandle(lastPart);
        connection.answer(200, {}, "");
        return;
    }
    const bool isPrefill = request.field("x-phase") == "prefill";
    if (request.field("x-expect-instance") != incarnation.id || isPrefill != (phase == "prefill")) {
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

std::string Engines::newHandle()
{
    std::lock_guard lock(m_mutex);
    m_lastHandle += 1;
    return *m_handles.insert("h" + std::to_string(m_lastHandle)).first;
}

bool Engines::takeHandle(const std::string& handle)
{
    std::lock_guard lock(m_mutex);
    return m_handles.erase(handle) > 0;
}

void Engines::stream(const Incarnation& incarnation, const Request& request, Connection& connection)
{
    const std::string attempt = request.field("x-attempt-id");
    const bool isBad = request.field("x-prefix-hash").find(BadPart) != std::string::npos;
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
        if (isBad && m_options.crashes && (event > first || !m_options.sendsFirstEvent)) {
            m_fleet.crash(incarnation);
            return;
        }
        connection.sendChunk("id: " + std::to_string(event) + "\ndata: " + attempt + "\n\n");
        std::this_thread::sleep_for(EventGap);
    }
    connection.endChunks();
}

Route promptRoute() { return { "/review/", "streaming", "llm", 6000, 2, true, true }; }

std::string promptRequest(const std::string& attempt, const std::string& part)
{
    const std::string own = std::to_string(std::hash<std::string> {}(attempt));
    return requestText("POST", "/review/dossier", attempt, Deadline,
        { { "X-Model", "m" }, { "X-Token-Counts", "1000,10" },
            { "X-Prefix-Hash", "c0:300," + part + ":300," + own + ":400" } },
        "prompt of " + attempt);
}

SoundCallers::SoundCallers(const Deployment& deployment)
{
    for (size_t number = 0; number < SoundCallersPerGateway * deployment.gateways(); ++number) {
        const std::string& gateway = deployment.callers(number % deployment.gateways());
        m_threads.emplace_back([this, &gateway, number](const std::stop_token& stop) {
            send(stop, gateway, "sound" + std::to_string(number));
        });
    }
}

size_t SoundCallers::finish()
{
    m_threads.clear();
    return m_served;
}

void SoundCallers::send(
    const std::stop_token& stop, const std::string& gateway, const std::string& name)
{
    Caller caller(gateway);
    for (size_t number = 0; !stop.stop_requested(); ++number) {
        const std::string part = "d" + std::to_string(number % SoundParts);
        const Response response
            = caller.send(promptRequest(name + "-" + std::to_string(number), part), Deadline);
        m_served += response.isComplete && response.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(SoundInterval);
    }
}

void sendBadPrompts(const Deployment& deployment, size_t count, Record& record)
{
    for (size_t number = 0; number < count; ++number) {
        const size_t gateway = number % deployment.gateways();
        const std::string attempt = "bad-" + std::to_string(number);
        record.note("sent " + attempt + " to gateway " + std::to_string(gateway));
        Caller caller(deployment.callers(gateway));
        const Response response = caller.send(promptRequest(attempt, BadPart), Deadline);
        record.note(attempt + " is answered " + std::to_string(response.status)
            + (response.isComplete ? "" : ", not to its end"));
        std::this_thread::sleep_for(BadInterval);
    }
}

int checkBadRuns(const std::vector<Milliseconds>& runs, Record& record)
{
    record.note("runs of prompts with the part: " + std::to_string(runs.size()));
    size_t late = 0;
    if (runs.size() > CrashesBefore) {
        const Milliseconds from = runs[CrashesBefore - 1] + EventGap + ContactTime;
        for (const Milliseconds run : runs)
            late += run > from ? 1 : 0;
    }
    record.note("of these later than contactMs after the fifth crash: " + std::to_string(late)
        + "; allowed: " + std::to_string(RequestsAllowed));
    return late > RequestsAllowed ? 1 : 0;
}

} // namespace review

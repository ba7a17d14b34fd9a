// The weights of a split route change, then a gateway is killed: clients take their streams up
// again at the other gateway.
#include "../stand-ins-2/StandIns.h"

#include <array>
#include <csignal>

using namespace standins;

namespace {

constexpr int EnginesOfEach = 3;
constexpr int Streams = 48;
constexpr int Events = 20;
constexpr Milliseconds EventPause { 150 };
/** From the begin of the streams to the change of the configuration, and from there to the kill. */
constexpr Milliseconds BeforeChange { 500 };
constexpr Milliseconds BeforeKill { 500 };
/** Of a client to take a stream up: the first one and a retry. */
constexpr int Tries = 2;
constexpr int TimeLimitMs = 6000;
/** The rule judges so many streams or more. */
constexpr int Judged = 12;

/** Streams numbered events; goes on after `Last-Event-Id`. Each service has a version of its own.
 */
void serveEngine(const Request& request, Link& link, Record& record, const std::string& service)
{
    const std::string id = request.field("x-attempt-id");
    if (request.method != "POST") {
        link.send(compose("HTTP/1.1 200 OK", { { "Content-Type", "application/json" } },
            R"({"busy":false,"seq":0,"queued":0,"active":0,"born":1700000000000})"));
        return;
    }
    const int last = std::atoi(request.field("last-event-id").c_str());
    record.line(service + ": runs " + id + " after event " + std::to_string(last));
    bool isOpen = link.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
        + "\r\nX-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = last + 1; isOpen && event <= Events; ++event) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + service + "\n\n";
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", text.size());
        isOpen = link.send(size + text + "\r\n");
        std::this_thread::sleep_for(EventPause);
    }
    if (isOpen)
        link.send("0\r\n\r\n");
}

std::string configuration(int version, int weightOfFirst)
{
    const Json split { { { "service", "first" }, { "weight", weightOfFirst } },
        { { "service", "second" }, { "weight", 100 - weightOfFirst } } };
    const Json route { { "name", "r-1" }, { "hostname", "site.example" }, { "pathPrefix", "/s/" },
        { "routeKind", "streaming" }, { "timeoutMs", TimeLimitMs }, { "targetLatencyMs", 500 },
        { "priority", 0 }, { "trafficSplit", split }, { "maxAttempts", 2 }, { "sticky", false },
        { "resumable", true }, { "targetGapMs", 300 } };
    const auto service = [](const std::string& name) {
        return Json { { "name", name }, { "healthPath", "/healthz" }, { "maxConns", 370 },
            { "protocol", "h1" }, { "tls", false } };
    };
    const Json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    return Json {
        { "version", version }, { "routes", Json::array({ route }) },
        { "services", Json::array({ service("first"), service("second") }) }, { "limits", limits }
    }.dump();
}

struct Stream {
    std::string firstAttempt;
    int lastEvent = 0;
    bool isWhole = false;
    int status = 0;
    std::string retryAfter;
};

/** @return the number of the last whole event in a body. */
int lastEventIn(const std::string& body)
{
    const size_t end = body.rfind("\n\n");
    const size_t id = end == std::string::npos ? end : body.rfind("id: ", end);
    return id == std::string::npos ? 0 : std::atoi(body.c_str() + id + 4);
}

/** Begins a stream, or takes it up after the last event that the client has. */
void ask(Stream& stream, int port, const std::string& id)
{
    std::vector<std::pair<std::string, std::string>> fields { { "Host", "site.example" },
        { "X-Attempt-Id", id }, { "X-Deadline-Ms", std::to_string(TimeLimitMs) } };
    if (stream.lastEvent > 0) {
        fields.emplace_back("Last-Event-Id", std::to_string(stream.lastEvent));
        fields.emplace_back("Resumes", stream.firstAttempt);
    } else {
        stream.firstAttempt = id;
    }
    const std::unique_ptr<Link> link = connectTo(port);
    if (!link)
        return;
    link->setTimeout(Milliseconds(TimeLimitMs));
    Response response = fetch(*link, compose("POST /s/a HTTP/1.1", fields, "prompt"));
    stream.status = response.status;
    stream.retryAfter = response.fields["retry-after"];
    stream.isWhole = response.status == 200 && response.isComplete;
    stream.lastEvent = std::max(stream.lastEvent, lastEventIn(response.body));
}

/** A client whose channel breaks takes its stream up at the other gateway. */
void follow(Stream& stream, Record& record, int begunAt, int otherPort, int number,
    std::atomic<int>& takenUp, std::atomic<int>& goneOn)
{
    const std::string name = "stream-" + std::to_string(number);
    ask(stream, begunAt, name);
    if (stream.isWhole || stream.lastEvent == 0)
        return;
    takenUp += 1;
    const int before = stream.lastEvent;
    for (int attempt = 1; attempt <= Tries && stream.lastEvent == before; ++attempt) {
        ask(stream, otherPort, name + "-again-" + std::to_string(attempt));
        record.line("client: takes " + name + " up after event " + std::to_string(before)
            + ", status " + std::to_string(stream.status)
            + (stream.lastEvent > before ? ", goes on" : ", retry after " + stream.retryAfter));
        if (stream.lastEvent == before)
            std::this_thread::sleep_for(
                Milliseconds(static_cast<int>(1000 * std::atof(stream.retryAfter.c_str()))));
    }
    goneOn += stream.lastEvent > before ? 1 : 0;
}

int play()
{
    Record record("record.txt");
    Store store;
    const bool changes = !isCalm();
    store.put("op/config", configuration(7, 90));
    std::vector<std::unique_ptr<Server>> engines;
    for (const std::string service : { "first", "second" }) {
        for (int number = 0; number < EnginesOfEach; ++number) {
            engines.push_back(
                std::make_unique<Server>([&record, service](const Request& request, Link& link) {
                    serveEngine(request, link, record, service);
                }));
            store.put("servers/i-" + service + std::to_string(number),
                Json { { "service", service }, { "address", engines.back()->address() },
                    { "zone", "hall-keflavik" }, { "version", service + "-1" }, { "slots", 64 },
                    { "state", "ready" }, { "coldRemainingMs", 0 }, { "seq", 1 },
                    { "born", 1700000000000 } }
                    .dump());
        }
    }
    std::array<int, 2> callers {};
    std::vector<std::unique_ptr<Process>> gateways;
    for (size_t index = 0; index < callers.size(); ++index) {
        const int readiness = freePort();
        callers[index] = freePort();
        const std::string name = "edge-" + std::to_string(index + 1);
        gateways.push_back(std::make_unique<Process>("../../target/bin/citronspoke-gateway",
            gatewaySettings(name, store.address(), callers[index], readiness, freePort(), 260),
            name));
        if (!waitUntilReady(readiness, Milliseconds(10000)))
            return 2;
    }
    // The gateways get to know each other.
    std::this_thread::sleep_for(Milliseconds(3000));
    std::atomic<int> takenUp { 0 };
    std::atomic<int> goneOn { 0 };
    std::vector<Stream> streams(Streams);
    std::vector<std::thread> clients;
    clients.reserve(2 * static_cast<size_t>(Streams));
    for (int number = 0; number < Streams; ++number)
        clients.emplace_back([&, number] {
            follow(streams[static_cast<size_t>(number)], record, callers[0], callers[1], number,
                takenUp, goneOn);
        });
    std::this_thread::sleep_for(BeforeChange);
    if (changes) {
        record.line("operator: version 8, weights 10 and 90 instead of 90 and 10");
        store.put("op/config", configuration(8, 10));
    }
    std::this_thread::sleep_for(BeforeKill);
    if (changes) {
        record.line("platform: kills gateway edge-1");
        gateways[0]->signal(SIGKILL);
    }
    // New streams at the same gateway, at the same time.
    std::vector<Stream> fresh(Streams);
    for (int number = 0; number < Streams; ++number)
        clients.emplace_back([&, number] {
            ask(fresh[static_cast<size_t>(number)], callers[1], "new-" + std::to_string(number));
        });
    for (std::thread& client : clients)
        client.join();
    int begun = 0;
    for (const Stream& stream : fresh)
        begun += stream.lastEvent > 0 ? 1 : 0;
    record.line("taken up " + std::to_string(takenUp) + ", go on " + std::to_string(goneOn)
        + "; new " + std::to_string(Streams) + ", begin " + std::to_string(begun));
    if (begun == 0 || (changes && takenUp < Judged))
        return 2;
    // The share that goes on is under half of the share of new streams that begin.
    return takenUp >= Judged && 2 * goneOn * Streams < begun * takenUp ? 1 : 0;
}

} // namespace

int main()
{
    try {
        return play();
    } catch (const std::exception& exception) {
        return 2;
    }
}

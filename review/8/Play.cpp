// Clients on kept channels read answers slowly; nothing else happens.
#include "../stand-ins-2/StandIns.h"

using namespace standins;

namespace {

constexpr size_t BodyBytes = 200000;
constexpr int Clients = 10;
/** Half of the clients read so much each time, and pause in between: 40 KB/s. */
constexpr size_t ReadBytes = 4000;
constexpr Milliseconds ReadPause { 100 };
/** The others pause once, after a part of the answer. */
constexpr size_t FirstPart = 60000;
constexpr Milliseconds LongPause { 3000 };
constexpr int ReceiveBuffer = 16384;
/** The rule excuses so many. */
constexpr int Excused = 3;

/** Runs a request at once and gives the whole body. */
void serveApplication(const Request& request, Link& link, Record& record, std::atomic<int>& ran)
{
    if (request.target == "/healthz") {
        link.send(compose("HTTP/1.1 200 OK", { { "X-Instance-Id", "i-1" } }, ""));
        return;
    }
    ran += 1;
    record.line("server: ran " + request.field("x-attempt-id"));
    link.send(compose("HTTP/1.1 200 OK",
        { { "X-Attempt-Id", request.field("x-attempt-id") }, { "X-Server-Stamp", "stamp-1" } },
        std::string(BodyBytes, 'x')));
}

std::string configuration()
{
    const Json route { { "name", "r-1" }, { "hostname", "site.example" }, { "pathPrefix", "/a/" },
        { "routeKind", "idempotent" }, { "timeoutMs", 6000 }, { "targetLatencyMs", 300 },
        { "priority", 2 }, { "service", "checkout" }, { "maxAttempts", 2 } };
    const Json service { { "name", "checkout" }, { "healthPath", "/healthz" }, { "maxConns", 110 },
        { "protocol", "h1" }, { "tls", false } };
    const Json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 },
        { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    return Json {
        { "version", 7 }, { "routes", { route } }, { "services", { service } }, { "limits", limits }
    }.dump();
}

enum class Pace : uint8_t { Fast, Steady, OnePause };

/** One request on a channel. */
Response ask(Link& link, const std::string& id, Pace pace)
{
    bool hasPaused = false;
    return fetch(link,
        "GET /a/" + id + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: 6000\r\n\r\n",
        pace == Pace::Steady ? ReadBytes : size_t { 65536 }, [&](size_t received) {
            if (pace == Pace::Steady)
                std::this_thread::sleep_for(ReadPause);
            if (pace == Pace::OnePause && received > FirstPart && !std::exchange(hasPaused, true))
                std::this_thread::sleep_for(LongPause);
        });
}

int play()
{
    Record record("record.txt");
    std::atomic<int> ran { 0 };
    Server application(
        [&](const Request& request, Link& link) { serveApplication(request, link, record, ran); });
    Store store;
    store.put("op/config", configuration());
    store.put("servers/i-1",
        Json { { "service", "checkout" }, { "address", application.address() },
            { "zone", "hall-keflavik" }, { "version", "1" }, { "slots", 6 }, { "state", "ready" },
            { "coldRemainingMs", 0 }, { "seq", 1 }, { "born", 1700000000000 } }
            .dump());
    const int callers = freePort();
    const int readiness = freePort();
    Process gateway("../../target/bin/citronspoke-gateway",
        gatewaySettings("edge-1", store.address(), callers, readiness, freePort(), 260), "edge-1");
    if (!waitUntilReady(readiness, Milliseconds(10000)))
        return 2;
    std::atomic<int> broken { 0 };
    std::atomic<int> whole { 0 };
    std::vector<std::thread> clients;
    for (int number = 1; number <= Clients; ++number)
        clients.emplace_back([&, number] {
            const std::unique_ptr<Link> link = connectTo(callers, ReceiveBuffer);
            const std::string id = "attempt-" + std::to_string(number);
            link->setTimeout(Milliseconds(6000));
            // The channel is kept: it has served a request before.
            if (!ask(*link, id + "-before", Pace::Fast).isComplete)
                return;
            const Pace slow = number % 2 == 0 ? Pace::Steady : Pace::OnePause;
            record.line("client: sends " + id
                + (isCalm()                    ? ""
                        : slow == Pace::Steady ? " and reads 40 KB/s"
                                               : " and pauses for 3 s"));
            const Response response = ask(*link, id, isCalm() ? Pace::Fast : slow);
            record.line("client: " + id + " has status " + std::to_string(response.status) + ", "
                + std::to_string(response.body.size()) + " of " + std::to_string(BodyBytes)
                + " bytes" + (response.isComplete ? "" : ", and the channel has ended"));
            (response.isComplete ? whole : broken) += 1;
        });
    for (std::thread& client : clients)
        client.join();
    record.line("run " + std::to_string(ran) + ", whole " + std::to_string(whole) + ", broken "
        + std::to_string(broken));
    if (whole + broken != Clients)
        return 2;
    return broken > Excused ? 1 : 0;
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

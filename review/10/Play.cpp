// The operator raises the limit of bodies while clients keep their channels.
#include "../stand-ins-2/StandIns.h"

using namespace standins;

namespace {

constexpr int Clients = 12;
constexpr size_t SmallLimit = 65536;
constexpr size_t LargeLimit = 4194304;
constexpr size_t SmallBody = 10000;
constexpr size_t LargeBody = 100000;
/** Twice the time within which a configuration has to be in force. */
constexpr Milliseconds AfterChange { 4000 };
/** The rule excuses so many. */
constexpr int Excused = 5;

/** Runs a request at once. */
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
        "done"));
}

std::string configuration(int version, size_t bodyLimit)
{
    const Json route { { "name", "r-1" }, { "hostname", "site.example" }, { "pathPrefix", "/a/" },
        { "routeKind", "idempotent" }, { "timeoutMs", 6000 }, { "targetLatencyMs", 300 },
        { "priority", 2 }, { "service", "checkout" }, { "maxAttempts", 2 } };
    const Json service { { "name", "checkout" }, { "healthPath", "/healthz" }, { "maxConns", 110 },
        { "protocol", "h1" }, { "tls", false } };
    const Json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", bodyLimit },
        { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    return Json {
        { "version", version }, { "routes", { route } }, { "services", { service } },
        { "limits", limits }
    }.dump();
}

/** One request with a body on a kept channel. */
Response ask(Link& link, const std::string& id, size_t bodyBytes)
{
    return fetch(link,
        compose("POST /a/" + id + " HTTP/1.1",
            { { "Host", "site.example" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", "6000" } },
            std::string(bodyBytes, 'x')));
}

int play()
{
    Record record("record.txt");
    std::atomic<int> ran { 0 };
    Server application(
        [&](const Request& request, Link& link) { serveApplication(request, link, record, ran); });
    Store store;
    store.put("op/config", configuration(7, isCalm() ? LargeLimit : SmallLimit));
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
    std::vector<std::unique_ptr<Link>> links;
    for (int number = 1; number <= Clients; ++number) {
        links.push_back(connectTo(callers));
        links.back()->setTimeout(Milliseconds(6000));
        const Response before = ask(*links.back(), "small-" + std::to_string(number), SmallBody);
        if (before.status != 200)
            return 2;
    }
    if (!isCalm()) {
        record.line("operator: version 8 allows bodies of " + std::to_string(LargeLimit)
            + " bytes; version 7 allowed " + std::to_string(SmallLimit));
        store.put("op/config", configuration(8, LargeLimit));
    }
    std::this_thread::sleep_for(AfterChange);
    int refused = 0;
    for (int number = 1; number <= Clients; ++number) {
        const std::string id = "large-" + std::to_string(number);
        const Response response = ask(*links[static_cast<size_t>(number) - 1], id, LargeBody);
        record.line("client: " + id + " with " + std::to_string(LargeBody) + " bytes has status "
            + std::to_string(response.status));
        refused += response.status == 413 ? 1 : 0;
    }
    const std::unique_ptr<Link> fresh = connectTo(callers);
    fresh->setTimeout(Milliseconds(6000));
    record.line("client: on a new channel it has status "
        + std::to_string(ask(*fresh, "large-new", LargeBody).status));
    record.line("run " + std::to_string(ran) + ", refused " + std::to_string(refused));
    return refused > Excused ? 1 : 0;
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

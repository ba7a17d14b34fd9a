// Model engines crash while the store is down; their entries are missing when it is back, so that
// busy gateways drop the engines two seconds later.
#include "../common/Engine.h"
#include "../common/ModelFleet.h"
#include "../common/Store.h"

#include <cstring>
#include <iostream>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr size_t Gateways = 4;
constexpr size_t DecodeEngines = 50;
/** A quarter of the model engines crashes, all of them engines that prefill. */
constexpr size_t CrashingEngines = 210;
constexpr size_t PrefillEngines = 790;
constexpr size_t PromptClients = 12;
constexpr size_t DispatchClients = 8;
constexpr size_t Outages = 12;
constexpr milliseconds StoreOutage { 3600 };
constexpr milliseconds CalmTime { 1000 };
/** After the store's return; entries that are still missing two seconds after it are gone. */
constexpr milliseconds TimeAfterOutage { 3000 };
constexpr milliseconds RestartDelay { 300 };
constexpr int DeadlineMs = 3000;
/** The rule allows so many channels that are closed without an answer. */
constexpr size_t AllowedCuts = 3;

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-desk","hostname":"site.example",)"
           R"("pathPrefix":"/desk/","routeKind":"non_idempotent","timeoutMs":3000,)"
           R"("targetLatencyMs":500,"priority":1,"service":"desk","maxAttempts":1,)"
           R"("sticky":false,"resumable":false,"targetGapMs":300},)"
           R"({"name":"r-llm","hostname":"site.example","pathPrefix":"/llm/",)"
           R"("routeKind":"streaming","timeoutMs":3000,"targetLatencyMs":600,"priority":1,)"
           R"("service":"llm","maxAttempts":2,"sticky":true,"resumable":true,)"
           R"("targetGapMs":300}],"services":[{"name":"desk","healthPath":"/healthz",)"
           R"("maxConns":110},{"name":"llm","healthPath":"/healthz","maxConns":370,)"
           R"("engine":{"slots":64,"kvCapacity":453729,"kvBytes":18432,"kvHoldS":5.0,)"
           R"("switchS":3.0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string promptText(const std::string& attempt, size_t number)
{
    return "POST /llm/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs)
        + "\r\nX-Model: m\r\nX-Token-Counts: 120,8\r\nX-Prefix-Hash: 5c"
        + std::to_string(number % 7) + ":60,e" + std::to_string(number)
        + ":60\r\nContent-Length: 0\r\n\r\n";
}

struct Counts {
    std::atomic<bool> isOver { false };
    std::atomic<size_t> prompts { 0 };
    std::atomic<size_t> dispatched { 0 };
    std::atomic<size_t> cuts { 0 };
};

/** Keeps a channel and sends prompts one after the other. */
void sendPrompts(const std::string& name, uint16_t gateway, Counts& counts)
{
    std::optional<ClientConnection> connection;
    for (size_t number = 1; !counts.isOver; ++number) {
        if (!connection || !connection->isOpen())
            connection.emplace(gateway, 0);
        const std::string attempt = name + "-" + std::to_string(number);
        if (!connection->isOpen() || !connection->send(promptText(attempt, number))) {
            connection.reset();
            std::this_thread::sleep_for(milliseconds(50));
            continue;
        }
        const Response response = connection->receive(DeadlineMs + 2000, {});
        if (response.status == 200 && response.isComplete)
            counts.prompts += 1;
    }
}

/** Keeps a channel and sends requests that may run once, one after the other. */
void dispatch(
    const std::string& name, uint16_t gateway, Ledger& ledger, Record& record, Counts& counts)
{
    std::optional<ClientConnection> connection;
    for (size_t number = 1; !counts.isOver; ++number) {
        if (!connection || !connection->isOpen())
            connection.emplace(gateway, 0);
        const std::string attempt = name + "-" + std::to_string(number);
        if (!connection->isOpen()
            || !connection->send(requestText(attempt, DeadlineMs, "dispatch " + attempt))) {
            connection.reset();
            std::this_thread::sleep_for(milliseconds(50));
            continue;
        }
        const Response response = connection->receive(DeadlineMs + 2000, {});
        record.note(attempt
            + (response.isComplete ? " answered " + std::to_string(response.status)
                                   : " not answered: the channel was " + response.end));
        if (response.status == 200 && response.isComplete)
            counts.dispatched += 1;
        else if (!response.isComplete && ledger.runs(attempt) > 0)
            counts.cuts += 1;
    }
}

/** Starts programs again that have ended, until the time is over. */
void supervise(std::vector<std::unique_ptr<Program>>& gateways, milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        for (const std::unique_ptr<Program>& gateway : gateways) {
            if (gateway->isRunning())
                continue;
            std::this_thread::sleep_for(RestartDelay);
            gateway->start();
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: case-2 GATEWAY-PROGRAM FOLDER RECORD (TROUBLE=0: nothing fails)\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::strcmp(trouble, "0") != 0;
    Record record(argv[3]);
    Ledger ledger;
    Store store;
    store.put("op/config", configuration());
    const Engine desk("d-1", { milliseconds(200), 800 }, ledger, record);
    store.put("servers/" + desk.id(), desk.entry());
    ModelFleet models;
    const auto startModel = [&](const std::string& id, const std::string& phase) {
        store.put("servers/" + id, models.start(id, phase));
    };
    for (size_t number = 1; number <= DecodeEngines; ++number)
        startModel("m-decode-" + std::to_string(number), "decode");
    for (size_t number = 1; number <= PrefillEngines - CrashingEngines; ++number)
        startModel("m-prefill-" + std::to_string(number), "prefill");
    std::vector<std::string> crashing;
    const auto startCrashing = [&](size_t round) {
        crashing.clear();
        for (size_t number = 1; number <= CrashingEngines; ++number) {
            crashing.push_back("m-round-" + std::to_string(round) + "-" + std::to_string(number));
            startModel(crashing.back(), "prefill");
        }
    };
    startCrashing(0);
    const uint16_t sidecarPort = pickPort();
    std::vector<std::unique_ptr<Program>> gateways;
    std::vector<GatewaySettings> settings;
    for (size_t number = 1; number <= Gateways; ++number) {
        settings.push_back({ "edge-" + std::to_string(number), "zone-a", store.address(),
            pickPort(), pickPort(), pickPort(), sidecarPort });
        gateways.push_back(std::make_unique<Program>(
            settings.back().id, argv[1], argv[2], settings.back().text(), record));
        gateways.back()->start();
    }
    for (const GatewaySettings& each : settings) {
        if (!waitUntilReady(each.readinessPort, milliseconds(10000))) {
            record.note("a gateway did not become ready; the case could not run");
            return 2;
        }
    }
    Counts counts;
    std::vector<std::thread> clients;
    for (size_t gateway = 0; gateway < Gateways; ++gateway) {
        const std::string name = std::to_string(gateway + 1);
        const uint16_t port = settings[gateway].callersPort;
        for (size_t number = 1; number <= PromptClients; ++number)
            clients.emplace_back([&counts, name, number, port] {
                sendPrompts("p" + name + std::to_string(number), port, counts);
            });
        for (size_t number = 1; number <= DispatchClients; ++number)
            clients.emplace_back([&counts, &ledger, &record, name, number, port] {
                dispatch("c" + name + std::to_string(number), port, ledger, record, counts);
            });
    }
    for (size_t round = 1; round <= Outages; ++round) {
        supervise(gateways, CalmTime);
        if (!hasTrouble) {
            supervise(gateways, StoreOutage + TimeAfterOutage);
            continue;
        }
        record.note("the store is down, and " + std::to_string(CrashingEngines)
            + " of the model engines crash");
        store.refuse(true);
        for (const std::string& id : crashing)
            models.crash(id);
        supervise(gateways, StoreOutage);
        for (const std::string& id : crashing)
            store.remove("servers/" + id);
        store.refuse(false);
        record.note("the store is back, without the entries of the engines that crashed");
        supervise(gateways, TimeAfterOutage);
        startCrashing(round);
    }
    counts.isOver = true;
    for (std::thread& client : clients)
        client.join();
    uint32_t ends = 0;
    for (const std::unique_ptr<Program>& gateway : gateways)
        ends += gateway->endsByItself();
    const bool isBroken = counts.cuts > AllowedCuts;
    const std::string verdict = std::string(isBroken ? "BROKEN" : "held") + ": answered "
        + std::to_string(counts.prompts) + " prompts and " + std::to_string(counts.dispatched)
        + " dispatches, dispatches run by the sound engine and cut without an answer "
        + std::to_string(counts.cuts) + " (allowed " + std::to_string(AllowedCuts)
        + "), gateways ended by themselves " + std::to_string(ends) + " times";
    record.note(verdict);
    std::cout << verdict << '\n';
    if (counts.dispatched == 0)
        return 2;
    return isBroken ? 1 : 0;
}

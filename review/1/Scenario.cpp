// An entry that another writer left in the store names its address "localhost:PORT".
#include "../common/Engine.h"
#include "../common/Store.h"

#include <csignal>
#include <cstring>
#include <iostream>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr size_t Gateways = 2;
constexpr size_t Engines = 4;
constexpr size_t ClientsPerGateway = 10;
/** How long an engine works on a request. */
constexpr milliseconds WorkTime { 200 };
constexpr milliseconds CalmTime { 5000 };
constexpr milliseconds TroubledTime { 12000 };
/** "restarted after a short delay" */
constexpr milliseconds RestartDelay { 500 };
/** The rule allows so many channels that are closed without an answer. */
constexpr size_t AllowedCuts = 3;
constexpr int DeadlineMs = 3000;

/** A client that keeps its channel and sends one request after the other. */
class Client {
public:
    Client(std::string name, uint16_t gateway, Ledger& ledger, Record& record)
        : m_name(std::move(name))
        , m_gateway(gateway)
        , m_ledger(ledger)
        , m_record(record)
        , m_thread([this] { run(); })
    {
    }
    ~Client() { stop(); }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    size_t served() const { return m_served; }
    size_t cuts() const { return m_cuts; }

private:
    void run()
    {
        std::optional<ClientConnection> connection;
        bool isKept = false;
        for (size_t number = 1; !m_isStopping; ++number) {
            if (!connection || !connection->isOpen()) {
                connection.emplace(m_gateway, 0);
                isKept = false;
            }
            const std::string attempt = m_name + "-" + std::to_string(number);
            const std::string text = requestText(attempt, DeadlineMs, "dispatch " + attempt);
            if (!connection->isOpen() || !connection->send(text)) {
                connection.reset();
                std::this_thread::sleep_for(milliseconds(50));
                continue;
            }
            m_record.note(attempt + " sent");
            const Response response = connection->receive(DeadlineMs + 2000, {});
            m_record.note(attempt
                + (response.isComplete ? " answered " + std::to_string(response.status)
                                       : " not answered: the channel was " + response.end));
            if (response.status == 200 && response.isComplete)
                m_served += 1;
            else if (!response.isComplete && isKept && m_ledger.runs(attempt) > 0)
                m_cuts += 1;
            isKept = response.isComplete;
        }
    }

    std::string m_name;
    uint16_t m_gateway;
    Ledger& m_ledger;
    Record& m_record;
    std::atomic<bool> m_isStopping { false };
    std::atomic<size_t> m_served { 0 };
    std::atomic<size_t> m_cuts { 0 };
    std::thread m_thread;
};

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
        std::cerr << "usage: case-1 GATEWAY-PROGRAM FOLDER RECORD (TROUBLE=0: without the entry)\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::strcmp(trouble, "0") != 0;
    Record record(argv[3]);
    Ledger ledger;
    Store store;
    store.put("op/config", configurationText("non_idempotent", DeadlineMs));
    std::vector<std::unique_ptr<Engine>> engines;
    for (size_t number = 1; number <= Engines; ++number) {
        engines.push_back(std::make_unique<Engine>(
            "i-" + std::to_string(number), Engine::Options { WorkTime, 800 }, ledger, record));
        store.put("servers/" + engines.back()->id(), engines.back()->entry());
    }
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
    std::vector<std::unique_ptr<Client>> clients;
    for (size_t gateway = 0; gateway < Gateways; ++gateway) {
        for (size_t number = 1; number <= ClientsPerGateway; ++number)
            clients.push_back(
                std::make_unique<Client>("c" + std::to_string(gateway + 1) + std::to_string(number),
                    settings[gateway].callersPort, ledger, record));
    }
    supervise(gateways, CalmTime);
    if (hasTrouble) {
        const std::string address = "localhost:" + std::to_string(pickPort());
        record.note("another writer writes servers/i-9 with the address " + address);
        store.put("servers/i-9", entryText(address));
    }
    supervise(gateways, TroubledTime);
    size_t served = 0;
    size_t cuts = 0;
    for (const std::unique_ptr<Client>& client : clients) {
        client->stop();
        served += client->served();
        cuts += client->cuts();
    }
    uint32_t ends = 0;
    for (const std::unique_ptr<Program>& gateway : gateways)
        ends += gateway->endsByItself();
    const bool isBroken = cuts > AllowedCuts;
    const std::string verdict = std::string(isBroken ? "BROKEN" : "held") + ": served "
        + std::to_string(served) + ", passed on to a sound engine and cut without an answer "
        + std::to_string(cuts) + " (allowed " + std::to_string(AllowedCuts)
        + "), gateways ended by themselves " + std::to_string(ends) + " times";
    record.note(verdict);
    std::cout << verdict << '\n';
    if (served == 0)
        return 2;
    return isBroken ? 1 : 0;
}

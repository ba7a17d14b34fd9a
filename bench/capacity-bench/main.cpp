// Measures how the processor time, memory and message traffic of an idle entry and an idle agent
// grow with the number of targets, entries and organisations. The peers are fakes inside this
// program. Each has its own address and uses the real protocol.

#include "LocalFleet.h"
#include "ProcessUsage.h"
#include "protocol/Protocol.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

ABSL_FLAG(int, seconds, 8, "Length of one measurement in seconds.");
ABSL_FLAG(std::string, work, "bench-work/capacity", "Folder for settings and logs.");

namespace {

using namespace citronspoke;

constexpr uint16_t FirstFakePeerPort = 10000;
constexpr Milliseconds HeartbeatInterval { 500 };
constexpr Milliseconds SubscribeInterval { 2000 };

std::string fakePeerAddress(int number)
{
    return "tcp://127.0.0.1:" + std::to_string(FirstFakePeerPort + number);
}

/**
 * Fakes of many peers, with one address each and one pair of sockets for all. One thread counts and
 * discards what they receive, another one sends.
 */
class FakePeers {
public:
    explicit FakePeers(int count)
        : m_count(count)
    {
        nng_pull0_open(&m_inbox);
        nng_socket_set_ms(m_inbox, NNG_OPT_RECVTIMEO, 100);
        for (int number = 0; number < count; ++number) {
            if (nng_listen(m_inbox, fakePeerAddress(number).c_str(), nullptr, 0) != 0)
                throw localfleet::FleetFailed("Cannot listen at the address of a fake peer.");
        }
        nng_push0_open(&m_outbox);
        nng_socket_set_int(m_outbox, NNG_OPT_SENDBUF, 4096);
        m_receiver.emplace(
            "peers-receive", [this](const std::stop_token& token) { receive(token); });
    }

    ~FakePeers()
    {
        m_receiver.reset();
        m_sender.reset();
        nng_close(m_inbox);
        nng_close(m_outbox);
    }

    /** Sends one message of each peer to a process, and repeats this at the interval. */
    void sendPeriodically(const std::string& address, Milliseconds interval,
        const std::function<protocol::Message(int)>& messageOf)
    {
        nng_dial(m_outbox, address.c_str(), nullptr, NNG_FLAG_NONBLOCK);
        m_sender.emplace("peers-send", [this, interval, messageOf](const std::stop_token& token) {
            do {
                for (int number = 0; number < m_count && !token.stop_requested(); ++number)
                    send(messageOf(number));
            } while (sleepUnlessStopped(token, interval));
        });
    }

    uint64_t bytesReceived() const noexcept { return m_bytesReceived; }
    uint64_t bytesSent() const noexcept { return m_bytesSent; }

private:
    void send(protocol::Message message)
    {
        protocol::Envelope envelope;
        envelope.messages.push_back(std::move(message));
        std::string bytes = protocol::encode(envelope);
        if (nng_send(m_outbox, bytes.data(), bytes.size(), 0) == 0)
            m_bytesSent += bytes.size();
    }

    void receive(const std::stop_token& token)
    {
        while (!token.stop_requested()) {
            nng_msg* message = nullptr;
            if (nng_recvmsg(m_inbox, &message, 0) != 0)
                continue;
            m_bytesReceived += nng_msg_len(message);
            nng_msg_free(message);
        }
    }

    int m_count;
    nng_socket m_inbox = NNG_SOCKET_INITIALIZER;
    nng_socket m_outbox = NNG_SOCKET_INITIALIZER;
    std::atomic<uint64_t> m_bytesReceived { 0 };
    std::atomic<uint64_t> m_bytesSent { 0 };
    std::optional<WorkerThread> m_receiver;
    std::optional<WorkerThread> m_sender;
};

std::string fakeTargetSettings(int count, int subset)
{
    std::string text = "[routing]\nsubset = " + std::to_string(subset) + "\n";
    for (int number = 0; number < count; ++number) {
        const std::string name = std::to_string(number);
        text += "[target.s-" + name + "]\npool = \"engines\"\nzone = \"karachi-1\"\nmailbox = \""
            + fakePeerAddress(number) + "\"\noperator = \"127.0.0.1:" + std::to_string(1 + number)
            + "\"\n";
    }
    return text;
}

std::string organisationSettings(int count)
{
    std::string text;
    for (int number = 0; number < count; ++number) {
        const std::string name = std::to_string(number);
        text += "[organisation.o-" + name + "]\ntier = \"lookup\"\nkey_hashes = [\""
            + settings::hashKey("key " + name) + "\"]\n";
    }
    return text;
}

int64_t countStoreCalls(const localfleet::LocalFleet& fleet)
{
    transport::HttpRequest request;
    request.target = fleet.platformUrl("platform") + "/counters";
    const nlohmann::json counters
        = nlohmann::json::parse(transport::callHttp(request, Milliseconds(3000)).body);
    int64_t total = 0;
    for (const auto& [path, count] : counters.items())
        total += count.get<int64_t>();
    return total;
}

void printRow(const std::string& what, const bench::ProcessUsage& before,
    const bench::ProcessUsage& after, double seconds, uint64_t bytes, double calls)
{
    constexpr double Percent = 100;
    constexpr double BytesPerKilobyte = 1000;
    std::cout << std::left << std::setw(46) << what << std::right << std::fixed
              << std::setprecision(2) << std::setw(9)
              << Percent * (after.cpuSeconds - before.cpuSeconds) / seconds << " % core"
              << std::setw(9) << after.residentMegabytes << " MB" << std::setw(9)
              << static_cast<double>(bytes) / seconds / BytesPerKilobyte << " KB/s" << std::setw(8)
              << calls / seconds << " store calls/s" << std::endl;
}

/** Measures one process of a fleet, after a pause for its start, and prints the result. */
void measureProcess(const std::string& what, localfleet::LocalFleet& fleet,
    const std::string& process, const FakePeers& peers)
{
    const int seconds = absl::GetFlag(FLAGS_seconds);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const pid_t pid = fleet.process(process).pid();
    const bench::ProcessUsage before = bench::usageOf(pid);
    const uint64_t bytesBefore = peers.bytesReceived() + peers.bytesSent();
    const int64_t callsBefore = countStoreCalls(fleet);
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    printRow(what, before, bench::usageOf(pid), seconds,
        peers.bytesReceived() + peers.bytesSent() - bytesBefore,
        static_cast<double>(countStoreCalls(fleet) - callsBefore));
}

localfleet::FleetOptions makeOptions(size_t entries)
{
    localfleet::FleetOptions options;
    options.deploymentFolder = std::string(DEPLOY_FOLDER) + "/rahbar";
    options.workFolder = absl::GetFlag(FLAGS_work);
    options.targets = { "a-1" };
    options.entries = entries;
    return options;
}

std::string mailboxOf(const localfleet::LocalFleet& fleet, const std::string& process)
{
    const std::string text = settings::readFile(fleet.workFolder() + "/" + process + ".toml").text;
    const size_t begin = text.find("tcp://");
    return text.substr(begin, text.find('"', begin) - begin);
}

void measureEntry(int targets, int subset, int organisationCount)
{
    localfleet::FleetOptions options = makeOptions(1);
    options.extraFiles = { { "70-targets.toml", fakeTargetSettings(targets, subset) },
        { "71-organisations.toml", organisationSettings(organisationCount) } };
    localfleet::LocalFleet fleet(options);
    FakePeers peers(targets);
    // Every target of the configuration needs a listener. Otherwise attempts to connect would
    // dominate the entry's processor time.
    fleet.startTargets();
    fleet.start("entry:1");
    peers.sendPeriodically(mailboxOf(fleet, "entry:1"), HeartbeatInterval, [subset](int number) {
        protocol::Heartbeat heartbeat;
        // The entry sends its Subscribe message only to the targets of its subset, so only these
        // send heartbeats.
        heartbeat.target = TargetId("s-" + std::to_string(number % subset));
        heartbeat.address = PeerAddress(fakePeerAddress(number % subset));
        heartbeat.incarnation = Incarnation("0123456789abcdef");
        heartbeat.load.slots = 16;
        heartbeat.configRevision = ConfigRevision(1);
        return heartbeat;
    });
    measureProcess("entry: " + std::to_string(targets) + " targets, "
            + std::to_string(organisationCount) + " organisations",
        fleet, "entry:1", peers);
}

void measureAgent(int entries)
{
    localfleet::LocalFleet fleet(makeOptions(1));
    FakePeers peers(entries);
    fleet.startTargets();
    fleet.start("entry:1");
    peers.sendPeriodically(mailboxOf(fleet, "agent:a-1"), SubscribeInterval, [](int number) {
        protocol::Subscribe subscribe;
        subscribe.entry = EntryId("s-" + std::to_string(number));
        subscribe.address = PeerAddress(fakePeerAddress(number));
        subscribe.operatorAddress = "127.0.0.1:1";
        return subscribe;
    });
    measureProcess("agent: heartbeats to " + std::to_string(entries) + " more entries", fleet,
        "agent:a-1", peers);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    try {
        for (const int targets : { 12, 48, 200, 840 })
            measureEntry(targets, targets, 4);
        for (const int count : { 100, 400 })
            measureEntry(12, 12, count);
        for (const int entries : { 2, 16, 64 })
            measureAgent(entries);
    } catch (const Error& error) {
        std::cerr << error.describe() << '\n';
        return 1;
    }
    return 0;
}

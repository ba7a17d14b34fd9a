#pragma once

#include "OriginHolder.h"
#include "VersionFixture.h"

namespace citronspoke::gateway::tests {

/** Pools of engines whose version changes while no gateway runs. */
class RestartFixture : public GatewayFixture {
public:
    RestartFixture()
    {
        addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
        declare(1);
    }
    ~RestartFixture() { isEnding = true; }
    RestartFixture(const RestartFixture&) = delete;
    RestartFixture& operator=(const RestartFixture&) = delete;

    /**
     * Adds an engine that leaves new streams open after two events and ends resumed ones. The
     * prefill engine has its version from now on.
     */
    void addEngine(const std::string& id, const std::string& version, int64_t startedAt = 0)
    {
        const Script script
            = [this](const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
                  if (!request.field("Last-Event-Id").empty()) {
                      streamToEnd(request, connection);
                      return;
                  }
                  sendEvents(request, connection, 1, 2);
                  waitUntil([this] { return isEnding.load(); });
              };
        addTarget(id, "llm", script, "decode", version, startedAt);
        addTarget("reader", "llm", prefillPrompt, "prefill", version);
    }
    /** Starts the part of a sidecar that holds the origins of streams; it outlives the gateways. */
    void startSidecar() { m_sidecar = std::make_unique<Sidecar>(sidecars()); }
    /** Starts two gateways and waits until they serve. */
    void startGateways()
    {
        start(Gateways);
        for (size_t gateway = m_firstGateway; gateway < m_firstGateway + Gateways; ++gateway)
            waitUntil([&] { return readiness(gateway) == 200; });
        waitUntil([this] { return areAnnounced(); });
        std::this_thread::sleep_for(SettleTime);
    }
    void killGateways()
    {
        for (size_t count = 0; count < Gateways; ++count)
            killGateway(m_firstGateway++);
    }
    fleet::Address firstCallers() const { return callers(m_firstGateway); }
    /** Begins a stream at a gateway; the engine leaves it open. */
    void begin(const std::string& attempt)
    {
        m_callers.push_back(std::make_unique<Caller>(firstCallers()));
        beginStream(*m_callers.back(), attempt);
    }
    /** @return the status with which a stream is resumed. */
    uint32_t resume(const std::string& first)
    {
        Caller caller(firstCallers());
        caller.send(resumeText(first + "-again", first));
        return caller.receive().status;
    }
    /** Replaces an engine by one of another version. */
    void replaceEngine(
        const std::string& before, const std::string& after, const std::string& version)
    {
        store().remove("servers/" + before);
        addEngine(after, version);
    }

    std::atomic<bool> isEnding { false };

private:
    static constexpr size_t Gateways = 2;

    bool areAnnounced()
    {
        const std::map<std::string, std::string> contents = store().contents();
        return contents.contains(
                   "citronspoke/gateways/gateway-" + std::to_string(m_firstGateway + 1))
            && contents.contains(
                "citronspoke/gateways/gateway-" + std::to_string(m_firstGateway + Gateways));
    }

    class Sidecar {
    public:
        explicit Sidecar(const fleet::Address& address)
            : m_port(m_loop, address, [this](std::string_view datagram) { onDatagram(datagram); })
            , m_holder(m_port, EntryId("side-1"))
            , m_thread([this] { m_loop.run(); })
        {
        }
        ~Sidecar() { m_loop.stop(); }
        Sidecar(const Sidecar&) = delete;
        Sidecar& operator=(const Sidecar&) = delete;

    private:
        void onDatagram(std::string_view datagram)
        {
            const peers::SidecarMessage message = peers::decodeSidecarMessage(datagram);
            if (const peers::OriginBatch* batch = std::get_if<peers::OriginBatch>(&message))
                m_holder.onBatch(*batch);
            if (const streams::OriginQuery* query = std::get_if<streams::OriginQuery>(&message))
                m_holder.onQuery(*query);
        }

        channels::EventLoop m_loop;
        channels::DatagramPort m_port;
        sidecar::OriginHolder m_holder;
        std::jthread m_thread;
    };

    size_t m_firstGateway = 0;
    std::unique_ptr<Sidecar> m_sidecar;
    std::vector<std::unique_ptr<Caller>> m_callers;
};

} // namespace citronspoke::gateway::tests

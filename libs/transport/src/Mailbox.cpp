#include "telemetry/Telemetry.h"
#include "transport/Transport.h"

#include <atomic>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace citronspoke::transport {

namespace {

    constexpr size_t OutboxCapacity = 65536;
    constexpr int PeerBufferEnvelopes = 1024;
    constexpr size_t MessagesPerEnvelope = 512;
    constexpr size_t MaxEnvelopeBytes = 32 << 20;
    constexpr Milliseconds MaxOutboxWait { 100 };
    constexpr nng_duration ReceiveTimeoutMs = 200;
    constexpr nng_duration ReconnectMinimumMs = 20;
    constexpr nng_duration ReconnectMaximumMs = 300;
    constexpr std::chrono::seconds IdlePeerLifetime { 60 };

    struct Outgoing {
        PeerAddress peer;
        protocol::Message message;
    };

    struct Peer {
        nng_socket socket = NNG_SOCKET_INITIALIZER;
        SteadyTime lastUsed;
    };

} // namespace

struct Mailbox::Implementation {
    PeerAddress address;
    Handler handler;
    nng_socket inbox = NNG_SOCKET_INITIALIZER;
    BoundedQueue<Outgoing> outbox { OutboxCapacity };
    std::atomic<size_t> queued { 0 };
    std::map<PeerAddress, Peer> peers;
    std::optional<WorkerThread> receiver;
    std::optional<WorkerThread> sender;

    void receive(const std::stop_token& token)
    {
        while (!token.stop_requested()) {
            nng_msg* message = nullptr;
            if (nng_recvmsg(inbox, &message, 0) != 0)
                continue;
            deliver({ static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message) });
            nng_msg_free(message);
        }
    }

    void deliver(std::string_view bytes)
    {
        try {
            protocol::Envelope envelope = protocol::decode(bytes);
            telemetry::advanceClock(envelope.clock);
            for (protocol::Message& message : envelope.messages)
                handler(std::move(message));
        } catch (const protocol::MalformedEnvelope& error) {
            telemetry::count("malformed_envelopes");
            telemetry::logWarning("transport", error.describe());
        }
    }

    void sendQueued(const std::stop_token& token)
    {
        std::deque<Outgoing> batch;
        while (outbox.popAll(batch, MaxOutboxWait) && !token.stop_requested()) {
            const size_t taken = batch.size();
            std::map<PeerAddress, protocol::Envelope> envelopes;
            for (Outgoing& outgoing : batch) {
                protocol::Envelope& envelope = envelopes[outgoing.peer];
                envelope.messages.push_back(std::move(outgoing.message));
                if (envelope.messages.size() >= MessagesPerEnvelope) {
                    sendEnvelope(outgoing.peer, envelope);
                    envelope.messages.clear();
                }
            }
            for (auto& [peer, envelope] : envelopes) {
                if (!envelope.messages.empty())
                    sendEnvelope(peer, envelope);
            }
            queued -= taken;
            closeIdlePeers();
        }
    }

    void sendEnvelope(const PeerAddress& address, protocol::Envelope& envelope)
    {
        envelope.clock = telemetry::tickClock();
        std::string bytes = protocol::encode(envelope);
        Peer& peer = connectedPeer(address);
        peer.lastUsed = steadyNow();
        if (nng_send(peer.socket, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) != 0)
            telemetry::count("messages_dropped", {}, static_cast<double>(envelope.messages.size()));
    }

    Peer& connectedPeer(const PeerAddress& address)
    {
        auto [position, isNew] = peers.try_emplace(address);
        Peer& peer = position->second;
        if (isNew) {
            nng_push0_open(&peer.socket);
            nng_socket_set_int(peer.socket, NNG_OPT_SENDBUF, PeerBufferEnvelopes);
            nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, ReconnectMinimumMs);
            nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, ReconnectMaximumMs);
            nng_dial(peer.socket, address.text().c_str(), nullptr, NNG_FLAG_NONBLOCK);
        }
        return peer;
    }

    void closeIdlePeers()
    {
        const SteadyTime now = steadyNow();
        std::erase_if(peers, [now](const auto& item) {
            const bool isIdle = now - item.second.lastUsed > IdlePeerLifetime;
            if (isIdle)
                nng_close(item.second.socket);
            return isIdle;
        });
    }
};

Mailbox::Mailbox(const PeerAddress& address, Handler handler)
    : m_implementation(std::make_unique<Implementation>())
{
    Implementation& self = *m_implementation;
    self.address = address;
    self.handler = std::move(handler);
    nng_pull0_open(&self.inbox);
    nng_socket_set_size(self.inbox, NNG_OPT_RECVMAXSZ, MaxEnvelopeBytes);
    nng_socket_set_ms(self.inbox, NNG_OPT_RECVTIMEO, ReceiveTimeoutMs);
    const int result = nng_listen(self.inbox, address.text().c_str(), nullptr, 0);
    if (result != 0) {
        nng_close(self.inbox);
        throw ListenFailed(address.text(), nng_strerror(result));
    }
    self.receiver.emplace("mail-receive", [&self](const std::stop_token& t) { self.receive(t); });
    self.sender.emplace("mail-send", [&self](const std::stop_token& t) { self.sendQueued(t); });
}

Mailbox::~Mailbox()
{
    Implementation& self = *m_implementation;
    self.sender->requestStop();
    self.receiver->requestStop();
    self.outbox.close();
    self.sender.reset();
    self.receiver.reset();
    for (auto& [address, peer] : self.peers)
        nng_close(peer.socket);
    nng_close(self.inbox);
}

const PeerAddress& Mailbox::address() const noexcept { return m_implementation->address; }

void Mailbox::send(const PeerAddress& peer, protocol::Message message)
{
    m_implementation->queued += 1;
    if (!m_implementation->outbox.tryPush({ peer, std::move(message) })) {
        m_implementation->queued -= 1;
        telemetry::count("messages_dropped");
    }
}

void Mailbox::flush(Milliseconds limit)
{
    constexpr Milliseconds Step { 5 };
    const SteadyTime end = steadyNow() + limit;
    while (m_implementation->queued > 0 && steadyNow() < end)
        std::this_thread::sleep_for(Step);
    // nng does not report when its own buffers are empty, so they get a fixed time to drain.
    std::this_thread::sleep_for(10 * Step);
}

} // namespace citronspoke::transport

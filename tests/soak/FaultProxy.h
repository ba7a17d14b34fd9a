#pragma once

#include "channels/Channels.h"

#include <set>

namespace citronspoke::soak {

/** The faults that a proxy injects into the connections that it forwards. */
struct LinkFaults {
    /** Added to the bytes of both directions. */
    Milliseconds delay { 0 };
    /** Buffers the bytes of this direction until the fault ends. */
    bool holdsRequests = false;
    bool holdsResponses = false;
};

/**
 * A TCP proxy on the loopback interface that delays, holds back and resets connections. Any thread
 * may call; the work is done on the event loop's thread.
 */
class FaultProxy {
public:
    /**
     * @param own address to listen on.
     * @param server address to which connections are forwarded.
     */
    FaultProxy(channels::EventLoop& loop, const fleet::Address& own, const fleet::Address& server);

    const fleet::Address& address() const noexcept { return m_own; }
    /** Forwards new connections to another server. */
    void redirectTo(const fleet::Address& server);
    /** Replaces the faults; held bytes are sent once their direction is no longer held. */
    void setFaults(const LinkFaults& faults);
    void resetConnections();

private:
    struct Pipe;
    struct ProxiedConnection;
    void accept(const channels::ConnectionPointer& caller);

    channels::EventLoop& m_loop;
    fleet::Address m_own;
    fleet::Address m_server;
    LinkFaults m_faults;
    std::set<std::shared_ptr<ProxiedConnection>> m_connections;
    std::unique_ptr<channels::Listener> m_listener;
};

} // namespace citronspoke::soak

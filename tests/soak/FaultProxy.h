#pragma once

#include "channels/Channels.h"

#include <set>

namespace citronspoke::soak {

/** What a proxy does to the connections that it carries. */
struct LinkHarm {
    Milliseconds delay { 0 };
    /** Bytes in this direction wait until the harm ends. */
    bool holdsRequests = false;
    bool holdsAnswers = false;
};

/** Carries connections on the loopback device and does them harm. Any thread may call. */
class FaultProxy {
public:
    FaultProxy(channels::EventLoop& loop, const fleet::Address& own, const fleet::Address& server);

    const fleet::Address& address() const noexcept { return m_own; }
    /** New connections go to another server. */
    void moveTo(const fleet::Address& server);
    void harm(const LinkHarm& harm);
    void resetConnections();

private:
    struct Pipe;
    struct Carried;
    void accept(const channels::ConnectionPointer& caller);

    channels::EventLoop& m_loop;
    fleet::Address m_own;
    fleet::Address m_server;
    LinkHarm m_harm;
    std::set<std::shared_ptr<Carried>> m_carried;
    std::unique_ptr<channels::Listener> m_listener;
};

} // namespace citronspoke::soak

#include "FaultProxy.h"

namespace citronspoke::soak {

/** Forwards one direction of a connection. */
struct FaultProxy::Pipe {
    explicit Pipe(channels::EventLoop& loop)
        : timer(loop)
    {
    }

    void relay(std::string_view bytes, Milliseconds delay, bool holds)
    {
        buffered.append(bytes);
        isHolding = holds;
        if (!holds && delay == Milliseconds(0) && !isArmed)
            flush();
        else if (!holds && !isArmed)
            flushLater(delay);
    }

    void flushLater(Milliseconds delay)
    {
        isArmed = true;
        timer.arm(delay, [this] {
            isArmed = false;
            if (!isHolding)
                flush();
        });
    }

    void flush()
    {
        if (!buffered.empty())
            out->write(std::exchange(buffered, {}));
        if (isSourceClosed)
            out->closeAfterWrites(std::numeric_limits<size_t>::max());
    }

    channels::ConnectionPointer out;
    std::string buffered;
    channels::Timer timer;
    bool isArmed = false;
    bool isHolding = false;
    bool isSourceClosed = false;
};

struct FaultProxy::ProxiedConnection {
    explicit ProxiedConnection(channels::EventLoop& loop)
        : requests(loop)
        , responses(loop)
    {
    }

    void reset() const
    {
        requests.out->close();
        responses.out->close();
    }

    Pipe requests;
    Pipe responses;
};

/** More than all processes of a run open to one of them. */
constexpr size_t MaxConnections = 4096;

FaultProxy::FaultProxy(
    channels::EventLoop& loop, const fleet::Address& own, const fleet::Address& server)
    : m_loop(loop)
    , m_own(own)
    , m_server(server)
    , m_listener(std::make_unique<channels::Listener>(loop, own,
          channels::Listener::Limits { MaxConnections, {} },
          [this](const channels::ConnectionPointer& caller) { accept(caller); }))
{
}

void FaultProxy::redirectTo(const fleet::Address& server)
{
    m_loop.post([this, server] { m_server = server; });
}

void FaultProxy::setFaults(const LinkFaults& faults)
{
    m_loop.post([this, faults] {
        m_faults = faults;
        for (const std::shared_ptr<ProxiedConnection>& connection : m_connections) {
            connection->requests.isHolding = faults.holdsRequests;
            connection->responses.isHolding = faults.holdsResponses;
            if (!faults.holdsRequests)
                connection->requests.flush();
            if (!faults.holdsResponses)
                connection->responses.flush();
        }
    });
}

void FaultProxy::resetConnections()
{
    m_loop.post([this] {
        for (const std::shared_ptr<ProxiedConnection>& connection : m_connections)
            connection->reset();
        m_connections.clear();
    });
}

void FaultProxy::accept(const channels::ConnectionPointer& caller)
{
    constexpr Milliseconds ConnectLimit { 1000 };
    const std::shared_ptr<ProxiedConnection> connection
        = std::make_shared<ProxiedConnection>(m_loop);
    connection->responses.out = caller;
    connection->requests.out = channels::connect(m_loop, m_server, ConnectLimit);
    m_connections.insert(connection);
    const std::weak_ptr<ProxiedConnection> weak = connection;
    const auto endOf = [this, weak](Pipe ProxiedConnection::*pipe) {
        return [this, weak, pipe](channels::ConnectionEnd end) {
            const std::shared_ptr<ProxiedConnection> self = weak.lock();
            if (!self)
                return;
            if (end == channels::ConnectionEnd::ClosedByPeer) {
                Pipe& rest = (*self).*pipe;
                rest.isSourceClosed = true;
                if (!rest.isHolding && !rest.isArmed)
                    rest.flush();
                return;
            }
            self->reset();
            m_connections.erase(self);
        };
    };
    caller->start({ {},
        [this, weak](std::string_view bytes) {
            if (const std::shared_ptr<ProxiedConnection> self = weak.lock())
                self->requests.relay(bytes, m_faults.delay, m_faults.holdsRequests);
        },
        endOf(&ProxiedConnection::requests) });
    connection->requests.out->start({ {},
        [this, weak](std::string_view bytes) {
            if (const std::shared_ptr<ProxiedConnection> self = weak.lock())
                self->responses.relay(bytes, m_faults.delay, m_faults.holdsResponses);
        },
        endOf(&ProxiedConnection::responses) });
}

} // namespace citronspoke::soak

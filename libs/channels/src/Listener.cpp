#include "TcpConnection.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::channels {

using Tcp = asio::ip::tcp;

struct Listener::Implementation : std::enable_shared_from_this<Listener::Implementation> {
    Implementation(EventLoop::Implementation& eventLoop, Limits acceptLimits, Handler acceptHandler)
        : loop(eventLoop)
        , acceptor(eventLoop.context)
        , pause(eventLoop.context)
        , limits(std::move(acceptLimits))
        , handler(std::move(acceptHandler))
    {
    }

    void accept()
    {
        const std::shared_ptr<TcpConnection> connection = std::make_shared<TcpConnection>(loop);
        acceptor.async_accept(connection->socket(),
            [self = shared_from_this(), connection](const asio::error_code& error) {
                if (!self->acceptor.is_open())
                    return;
                if (error) {
                    self->acceptAfterPause(error);
                    return;
                }
                self->accept();
                self->onAccepted(connection);
            });
    }

    // The connection still waits in the kernel, so that the next call would fail at once too.
    void acceptAfterPause(const asio::error_code& cause)
    {
        constexpr std::chrono::milliseconds AcceptPause { 100 };
        telemetry::logWarning("connections", "Could not accept a connection.",
            { { "cause", cause.message() }, { "open", std::to_string(open->count) } });
        telemetry::count("accepts_failed");
        closeOne();
        pause.expires_after(AcceptPause);
        pause.async_wait([self = shared_from_this()](const asio::error_code& error) {
            if (!error && self->acceptor.is_open())
                self->accept();
        });
    }

    void onAccepted(const std::shared_ptr<TcpConnection>& connection)
    {
        if (open->count >= limits.connections && !closeOne()) {
            telemetry::count("connections_refused");
            connection->close();
            return;
        }
        connection->accept(open);
        handler(connection);
    }

    bool closeOne()
    {
        if (!open->ending.empty()) {
            open->ending.front()->close();
            return true;
        }
        if (limits.makeRoom && limits.makeRoom())
            return true;
        // Their peers may read on, but nobody else can close them.
        if (open->sending.empty())
            return false;
        open->sending.front()->closeForRoom();
        return true;
    }

    EventLoop::Implementation& loop;
    Tcp::acceptor acceptor;
    asio::steady_timer pause;
    Limits limits;
    Handler handler;
    std::shared_ptr<OpenConnections> open = std::make_shared<OpenConnections>();
};

Listener::Listener(EventLoop& loop, const fleet::Address& address, Limits limits, Handler handler)
    : m_implementation(std::make_shared<Implementation>(
        loop.implementation(), std::move(limits), std::move(handler)))
{
    try {
        const Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        m_implementation->acceptor.open(endpoint.protocol());
        m_implementation->acceptor.set_option(asio::socket_base::reuse_address(true));
        m_implementation->acceptor.bind(endpoint);
        m_implementation->acceptor.listen();
    } catch (const asio::system_error& error) {
        throw ListenFailed(address.text(), error.code().message());
    }
    m_implementation->accept();
}

Listener::~Listener() { close(); }

void Listener::close()
{
    asio::error_code ignored;
    m_implementation->acceptor.close(ignored);
    m_implementation->pause.cancel();
    // What it refers to may be destroyed after the listener.
    m_implementation->limits.makeRoom = nullptr;
}

} // namespace citronspoke::channels

#include "EventLoopImplementation.h"

#include "telemetry/Telemetry.h"

#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citronspoke::channels {

namespace {

    using Tcp = asio::ip::tcp;

    constexpr size_t ReadBufferBytes = 16384;
    /**
     * TCP_USER_TIMEOUT towards callers: a caller that acknowledges no bytes for this long counts
     * as disconnected. Shorter than the longest time that users may go without contact.
     */
    constexpr int CallerTimeoutMs = 2000;
    /**
     * TCP_USER_TIMEOUT towards servers in our own network: leaves time for three retransmissions,
     * each after 0.2 s or more.
     */
    constexpr int ServerTimeoutMs = 700;
    constexpr int KeepAliveIdleSeconds = 1;
    constexpr int KeepAliveIntervalSeconds = 1;
    constexpr int KeepAliveProbes = 2;

    /** Bytes that wait to be sent. */
    using Segment = std::variant<std::string, std::shared_ptr<const http1::Body>>;

    /** Adds the buffers of a segment to a list. */
    struct AppendBuffers {
        std::vector<asio::const_buffer>& buffers;

        void operator()(const std::string& bytes) const { buffers.push_back(asio::buffer(bytes)); }
        void operator()(const std::shared_ptr<const http1::Body>& body) const
        {
            for (const std::string& block : body->blocks())
                buffers.push_back(asio::buffer(block));
        }
    };

    class TcpConnection final : public Connection {
    public:
        explicit TcpConnection(asio::io_context& context)
            : m_socket(context)
            , m_timer(context)
        {
        }

        Tcp::socket& socket() noexcept { return m_socket; }

        void connectTo(const fleet::Address& address, Milliseconds limit)
        {
            const std::shared_ptr<TcpConnection> self = shared();
            m_isConnecting = true;
            m_timer.expires_after(limit);
            m_timer.async_wait([self](const asio::error_code& error) {
                if (!error && self->m_isConnecting)
                    self->closeAndReport(ConnectionEnd::ConnectFailed);
            });
            asio::error_code error;
            const Tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
            if (error) {
                asio::post(m_socket.get_executor(), [self, error] { self->onConnected(error); });
                return;
            }
            m_socket.async_connect(
                endpoint, [self](const asio::error_code& error) { self->onConnected(error); });
        }

        /** Sets the socket options. An error means that the peer has already disconnected. */
        void configure(int userTimeoutMs)
        {
            asio::error_code ignored;
            m_socket.set_option(Tcp::no_delay(true), ignored);
            m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
            setOption(TCP_USER_TIMEOUT, userTimeoutMs);
            setOption(TCP_KEEPIDLE, KeepAliveIdleSeconds);
            setOption(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
            setOption(TCP_KEEPCNT, KeepAliveProbes);
        }

        void start(Handlers handlers) override
        {
            m_handlers = std::make_shared<Handlers>(std::move(handlers));
            continueReading();
        }

        void write(std::string bytes) override { write(std::move(bytes), nullptr); }

        void write(std::string head, std::shared_ptr<const http1::Body> body) override
        {
            if (m_isClosed)
                return;
            m_unsentSize += head.size();
            std::string* last
                = m_queued.empty() ? nullptr : std::get_if<std::string>(&m_queued.back());
            if (last)
                last->append(head);
            else
                m_queued.emplace_back(std::move(head));
            if (body) {
                m_unsentSize += body->size();
                m_queued.emplace_back(std::move(body));
            }
            writeQueued();
        }

        size_t unsentBytes() const override { return m_unsentSize; }

        void setReading(bool isReading) override
        {
            m_isPaused = !isReading;
            continueReading();
        }

        void closeAfterWrites() override
        {
            m_closesAfterWrites = true;
            if (m_unsentSize == 0)
                shutDownWriting();
        }

        void close() override
        {
            if (m_isClosed)
                return;
            m_isClosed = true;
            asio::error_code ignored;
            m_timer.cancel();
            // A plain close would let the operating system deliver unsent bytes later, perhaps
            // after a network partition, when they are no longer wanted. A reset discards them.
            if (m_unsentSize > 0 || !m_isWriteShutDown)
                m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
            m_socket.close(ignored);
            m_queued.clear();
            m_handlers = std::make_shared<Handlers>();
        }

    private:
        std::shared_ptr<TcpConnection> shared()
        {
            return std::static_pointer_cast<TcpConnection>(shared_from_this());
        }

        void setOption(int option, int value)
        {
            setsockopt(m_socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
        }

        void onConnected(const asio::error_code& error)
        {
            if (m_isClosed || !m_isConnecting)
                return;
            if (error) {
                closeAndReport(ConnectionEnd::ConnectFailed);
                return;
            }
            m_isConnecting = false;
            m_timer.cancel();
            configure(ServerTimeoutMs);
            const std::shared_ptr<TcpConnection> self = shared();
            const std::shared_ptr<Handlers> handlers = m_handlers;
            if (handlers->onConnected)
                runHandler(handlers->onConnected);
            if (m_isClosed)
                return;
            writeQueued();
            continueReading();
        }

        void continueReading()
        {
            // While bytes are being delivered, the input buffer is in use; onRead continues.
            if (!m_isConnecting && !m_isReading && !m_isClosed && !m_isPaused && !m_isDelivering)
                read();
        }

        void read()
        {
            m_isReading = true;
            m_socket.async_read_some(asio::buffer(m_input),
                [self = shared()](
                    const asio::error_code& error, size_t size) { self->onRead(error, size); });
        }

        void onRead(const asio::error_code& error, size_t size)
        {
            m_isReading = false;
            if (m_isClosed)
                return;
            if (error) {
                const bool isEndOfStream = error == asio::error::eof;
                closeAndReport(isEndOfStream ? ConnectionEnd::ClosedByPeer : ConnectionEnd::Broken);
                return;
            }
            const std::shared_ptr<Handlers> handlers = m_handlers;
            m_isDelivering = true;
            if (handlers->onBytes)
                runHandler(handlers->onBytes, std::string_view(m_input.data(), size));
            m_isDelivering = false;
            continueReading();
        }

        void writeQueued()
        {
            if (m_isConnecting || !m_writing.empty() || m_queued.empty())
                return;
            m_writing.swap(m_queued);
            const auto handler = [self = shared()](const asio::error_code& error, size_t size) {
                self->onWritten(error, size);
            };
            const std::string* only
                = m_writing.size() == 1 ? std::get_if<std::string>(&m_writing.front()) : nullptr;
            if (only) {
                asio::async_write(m_socket, asio::buffer(*only), handler);
                return;
            }
            std::vector<asio::const_buffer> buffers;
            for (const Segment& segment : m_writing)
                std::visit(AppendBuffers { buffers }, segment);
            asio::async_write(m_socket, buffers, handler);
        }

        void onWritten(const asio::error_code& error, size_t size)
        {
            m_writing.clear();
            if (m_isClosed)
                return;
            m_unsentSize -= std::min(m_unsentSize, size);
            if (error) {
                closeAndReport(ConnectionEnd::Broken);
                return;
            }
            if (m_queued.empty() && m_closesAfterWrites)
                shutDownWriting();
            writeQueued();
            const std::shared_ptr<Handlers> handlers = m_handlers;
            if (handlers->onWritten)
                runHandler(handlers->onWritten);
        }

        // Closing with unread input would send a reset, which can discard a response in transit.
        // So only the sending side is shut down, and reading continues until the peer closes.
        void shutDownWriting()
        {
            if (m_isClosed)
                return;
            asio::error_code ignored;
            m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
            constexpr std::chrono::seconds LingerLimit { 1 };
            m_timer.expires_after(LingerLimit);
            m_isWriteShutDown = true;
            m_timer.async_wait([self = shared()](const asio::error_code& error) {
                if (!error)
                    self->close();
            });
        }

        /** Closes the connection when the handler throws. */
        template <typename Handler, typename... Arguments>
        void runHandler(const Handler& handler, const Arguments&... arguments)
        {
            try {
                handler(arguments...);
            } catch (const std::exception& exception) {
                telemetry::reportUnexpected("connection", exception);
                if (!m_isClosed)
                    closeAndReport(ConnectionEnd::Broken);
            }
        }

        void closeAndReport(ConnectionEnd end)
        {
            const std::shared_ptr<TcpConnection> self = shared();
            const std::shared_ptr<Handlers> handlers = m_handlers;
            close();
            if (handlers->onEnd)
                handlers->onEnd(end);
        }

        Tcp::socket m_socket;
        /** Limits the time to connect, and later the wait for the peer to close. */
        asio::steady_timer m_timer;
        /** Shared, because a running handler may replace the handlers. */
        std::shared_ptr<Handlers> m_handlers = std::make_shared<Handlers>();
        std::array<char, ReadBufferBytes> m_input {};
        std::vector<Segment> m_queued;
        std::vector<Segment> m_writing;
        size_t m_unsentSize = 0;
        bool m_isConnecting = false;
        bool m_isReading = false;
        bool m_isPaused = false;
        bool m_isDelivering = false;
        bool m_isClosed = false;
        bool m_closesAfterWrites = false;
        /** The sending side was shut down after the last byte; close must not reset it. */
        bool m_isWriteShutDown = false;
    };

} // namespace

ConnectionPointer connect(EventLoop& loop, const fleet::Address& address, Milliseconds limit)
{
    const std::shared_ptr<TcpConnection> connection
        = std::make_shared<TcpConnection>(loop.implementation().context);
    connection->connectTo(address, limit);
    return connection;
}

struct Listener::Implementation : std::enable_shared_from_this<Listener::Implementation> {
    Implementation(asio::io_context& context, Handler acceptHandler)
        : context(context)
        , acceptor(context)
        , handler(std::move(acceptHandler))
    {
    }

    void accept()
    {
        const std::shared_ptr<TcpConnection> connection = std::make_shared<TcpConnection>(context);
        acceptor.async_accept(connection->socket(),
            [self = shared_from_this(), connection](const asio::error_code& error) {
                if (!self->acceptor.is_open())
                    return;
                self->accept();
                if (!error) {
                    connection->configure(CallerTimeoutMs);
                    self->handler(connection);
                }
            });
    }

    asio::io_context& context;
    Tcp::acceptor acceptor;
    Handler handler;
};

Listener::Listener(EventLoop& loop, const fleet::Address& address, Handler handler)
    : m_implementation(
        std::make_shared<Implementation>(loop.implementation().context, std::move(handler)))
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
}

} // namespace citronspoke::channels

#include "TcpConnection.h"

#include "telemetry/Telemetry.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citronspoke::channels {

namespace {

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

} // namespace

TcpConnection::TcpConnection(EventLoop::Implementation& loop)
    : m_loop(loop)
    , m_socket(loop.context)
    , m_timer(loop.context)
{
}

void TcpConnection::connectTo(const fleet::Address& address, Milliseconds limit)
{
    const std::shared_ptr<TcpConnection> self = shared();
    m_isConnecting = true;
    m_timer.expires_after(limit);
    m_timer.async_wait([self](const asio::error_code& error) {
        if (!error && self->m_isConnecting)
            self->closeAndReport(ConnectionEnd::ConnectFailed);
    });
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (error) {
        asio::post(m_socket.get_executor(), [self, error] { self->onConnected(error); });
        return;
    }
    m_socket.async_connect(
        endpoint, [self](const asio::error_code& error) { self->onConnected(error); });
}

void TcpConnection::accept(std::shared_ptr<OpenConnections> open)
{
    m_open = std::move(open);
    m_open->count += 1;
    configure(CallerTimeoutMs);
}

void TcpConnection::start(Handlers handlers)
{
    m_handlers = std::make_shared<Handlers>(std::move(handlers));
    continueReading();
}

void TcpConnection::write(std::string bytes) { write(std::move(bytes), nullptr); }

void TcpConnection::write(std::string head, std::shared_ptr<const http1::Body> body)
{
    if (m_isClosed)
        return;
    m_unsentSize += head.size();
    std::string* last = m_queued.empty() ? nullptr : std::get_if<std::string>(&m_queued.back());
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

void TcpConnection::setReading(bool isReading)
{
    m_isPaused = !isReading;
    continueReading();
}

void TcpConnection::closeAfterWrites(size_t maxDiscardedBytes)
{
    m_closesAfterWrites = true;
    m_discardableBytes = maxDiscardedBytes;
    if (m_unsentSize == 0)
        shutDownWriting();
    else if (m_open)
        m_open->sending.push_back(this);
}

void TcpConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    leaveOpen();
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

std::shared_ptr<TcpConnection> TcpConnection::shared()
{
    return std::static_pointer_cast<TcpConnection>(shared_from_this());
}

void TcpConnection::leaveOpen()
{
    const std::shared_ptr<OpenConnections> open = std::exchange(m_open, nullptr);
    if (!open)
        return;
    open->count -= 1;
    open->sending.remove(this);
    open->ending.remove(this);
}

void TcpConnection::configure(int userTimeoutMs)
{
    asio::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setOption(TCP_USER_TIMEOUT, userTimeoutMs);
    setOption(TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(TCP_KEEPCNT, KeepAliveProbes);
}

void TcpConnection::setOption(int option, int value)
{
    setsockopt(m_socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
}

template <typename Handler, typename... Arguments>
void TcpConnection::runHandler(const Handler& handler, const Arguments&... arguments)
{
    try {
        handler(arguments...);
    } catch (const std::exception& exception) {
        telemetry::reportUnexpected("connection", exception);
        if (!m_isClosed)
            closeAndReport(ConnectionEnd::Broken);
    }
}

void TcpConnection::onConnected(const asio::error_code& error)
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

void TcpConnection::continueReading()
{
    // While bytes are being delivered, the buffer is in use; onReadable continues.
    if (m_isConnecting || m_isReading || m_isClosed || m_isPaused || m_isDelivering
        || m_hasPeerEnded)
        return;
    m_isReading = true;
    // Waits without a buffer: most connections are idle most of the time.
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
        [self = shared()](const asio::error_code& error) { self->onReadable(error); });
}

void TcpConnection::onReadable(const asio::error_code& waitError)
{
    m_isReading = false;
    if (m_isClosed || m_isPaused)
        return;
    asio::error_code error = waitError;
    const size_t size = error ? 0 : m_socket.read_some(asio::buffer(m_loop.readBuffer), error);
    if (error == asio::error::would_block) {
        continueReading();
        return;
    }
    if (error) {
        const bool isEndOfStream = error == asio::error::eof;
        // A write that fails takes the error from the socket, and the next read finds an orderly
        // end. A caller that ends its side has left.
        const bool isWriting = m_unsentSize > 0 && !m_open;
        if (isEndOfStream && isWriting)
            m_hasPeerEnded = true;
        else
            closeAndReport(isEndOfStream ? ConnectionEnd::ClosedByPeer : ConnectionEnd::Broken);
        return;
    }
    deliver(std::string_view(m_loop.readBuffer.data(), size));
    continueReading();
}

void TcpConnection::deliver(std::string_view bytes)
{
    if (m_closesAfterWrites) {
        if (bytes.size() > m_discardableBytes)
            closeAndReport(ConnectionEnd::Broken);
        else
            m_discardableBytes -= bytes.size();
        return;
    }
    const std::shared_ptr<Handlers> handlers = m_handlers;
    m_isDelivering = true;
    if (handlers->onBytes)
        runHandler(handlers->onBytes, bytes);
    m_isDelivering = false;
}

void TcpConnection::writeQueued()
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

void TcpConnection::onWritten(const asio::error_code& error, size_t size)
{
    m_writing.clear();
    if (m_isClosed)
        return;
    m_unsentSize -= std::min(m_unsentSize, size);
    if (error) {
        closeAndReport(ConnectionEnd::Broken);
        return;
    }
    if (m_hasPeerEnded && m_unsentSize == 0) {
        closeAndReport(ConnectionEnd::ClosedByPeer);
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
void TcpConnection::shutDownWriting()
{
    if (m_isClosed)
        return;
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    constexpr std::chrono::seconds LingerLimit { 1 };
    m_timer.expires_after(LingerLimit);
    m_isWriteShutDown = true;
    if (m_open) {
        m_open->sending.remove(this);
        m_open->ending.push_back(this);
    }
    m_timer.async_wait([self = shared()](const asio::error_code& error) {
        if (!error)
            self->close();
    });
}

void TcpConnection::closeAndReport(ConnectionEnd end)
{
    const std::shared_ptr<TcpConnection> self = shared();
    const std::shared_ptr<Handlers> handlers = m_handlers;
    close();
    if (handlers->onEnd)
        handlers->onEnd(end);
}

ConnectionPointer connect(EventLoop& loop, const fleet::Address& address, Milliseconds limit)
{
    const std::shared_ptr<TcpConnection> connection
        = std::make_shared<TcpConnection>(loop.implementation());
    connection->connectTo(address, limit);
    return connection;
}

} // namespace citronspoke::channels

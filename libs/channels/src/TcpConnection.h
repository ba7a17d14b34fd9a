#pragma once

#include "EventLoopImplementation.h"

#include <list>
#include <variant>

namespace citronspoke::channels {

class TcpConnection;

/** The open connections of a listener. */
struct OpenConnections {
    size_t count = 0;
    /** Those that are to be closed once everything is sent, oldest first. */
    std::list<TcpConnection*> sending;
    /** Those that have sent everything and wait for their peers to close, oldest first. */
    std::list<TcpConnection*> ending;
};

class TcpConnection final : public Connection {
public:
    explicit TcpConnection(EventLoop::Implementation& loop);
    ~TcpConnection() override { leaveOpen(); }
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    asio::ip::tcp::socket& socket() noexcept { return m_socket; }
    /** Starts to connect to a server. @param limit longest time until it is connected. */
    void connectTo(const fleet::Address& address, Milliseconds limit);
    /**
     * Takes the connection of a caller, whose socket is connected, into use.
     * @param open counts the connection until it is closed.
     */
    void accept(std::shared_ptr<OpenConnections> open);
    /** Closes the connection, which still has bytes to send, and reports its end. */
    void closeForRoom() { closeAndReport(ConnectionEnd::Broken); }

    void start(Handlers handlers) override;
    void write(std::string bytes) override;
    void write(std::string head, std::shared_ptr<const http1::Body> body) override;
    size_t unsentBytes() const override { return m_unsentSize; }
    void setReading(bool isReading) override;
    void closeAfterWrites(size_t maxDiscardedBytes) override;
    void close() override;

private:
    /** Bytes that wait to be sent. */
    using Segment = std::variant<std::string, std::shared_ptr<const http1::Body>>;

    std::shared_ptr<TcpConnection> shared();
    void leaveOpen();
    /** Sets the socket options. An error means that the peer has already disconnected. */
    void configure(int userTimeoutMs);
    void setOption(int option, int value);
    void onConnected(const asio::error_code& error);
    void continueReading();
    void onReadable(const asio::error_code& error);
    void deliver(std::string_view bytes);
    void writeQueued();
    void onWritten(const asio::error_code& error, size_t size);
    void shutDownWriting();
    void closeAndReport(ConnectionEnd end);
    /** Closes the connection when the handler throws. */
    template <typename Handler, typename... Arguments>
    void runHandler(const Handler& handler, const Arguments&... arguments);

    EventLoop::Implementation& m_loop;
    asio::ip::tcp::socket m_socket;
    /** Limits the time to connect, and later the wait for the peer to close. */
    asio::steady_timer m_timer;
    /** Null unless a listener has accepted the connection and it is open. */
    std::shared_ptr<OpenConnections> m_open;
    /** Shared, because a running handler may replace the handlers. */
    std::shared_ptr<Handlers> m_handlers = std::make_shared<Handlers>();
    std::vector<Segment> m_queued;
    std::vector<Segment> m_writing;
    size_t m_unsentSize = 0;
    bool m_isConnecting = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isDelivering = false;
    /** The peer has ended its side, or reset the connection; the writing tells which. */
    bool m_hasPeerEnded = false;
    bool m_isClosed = false;
    bool m_closesAfterWrites = false;
    /** Bytes that may still be received and discarded before the connection is reset. */
    size_t m_discardableBytes = 0;
    /** The sending side was shut down after the last byte; close must not reset it. */
    bool m_isWriteShutDown = false;
};

} // namespace citronspoke::channels

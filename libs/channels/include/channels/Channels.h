#pragma once

#include "fleet/Fleet.h"
#include "http1/Http1.h"

#include <map>
#include <span>
#include <utility>

/**
 * Event loop with timers, TCP connections, datagrams, and HTTP exchanges over persistent
 * connections.
 */
namespace citronspoke::channels {

using citronspoke::ListenFailed;

/**
 * Runs callbacks on the thread that calls run. The other classes of this library may be used on
 * that thread only.
 */
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /**
     * Runs callbacks until stop is called. An exception that a callback throws is reported and ends
     * only that callback; a connection is closed when one of its handlers throws.
     */
    void run();
    void stop();
    /** Allows another run after stop. */
    void restart();
    /** Queues a task to run on the loop's thread. May be called from any thread. */
    void post(std::function<void()> task);
    /** Calls the handler on each of these signals instead of their default action. */
    void onSignals(std::span<const int> signals, std::function<void(int)> handler);

    struct Implementation;
    Implementation& implementation() noexcept { return *m_implementation; }

private:
    std::unique_ptr<Implementation> m_implementation;
};

/** One-shot timer. Its destruction cancels the pending callback. */
class Timer {
public:
    explicit Timer(EventLoop& loop);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /** Schedules the callback and replaces a pending one. A negative delay counts as zero. */
    void arm(Milliseconds delay, std::function<void()> callback);
    void cancel();

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

/** Why a connection ended. */
enum class ConnectionEnd : uint8_t { ClosedByPeer, Broken, ConnectFailed };

/**
 * TCP connection. Reports its end once, and nothing after close has been called. Bytes are written
 * in order and without blocking.
 */
class Connection : public std::enable_shared_from_this<Connection> {
public:
    struct Handlers {
        std::function<void()> onConnected;
        std::function<void(std::string_view)> onBytes;
        std::function<void(ConnectionEnd)> onEnd;
        /** Bytes were handed to the operating system. */
        std::function<void()> onWritten;
    };

    virtual ~Connection() = default;
    /** Replaces the handlers; the first call also starts to read. */
    virtual void start(Handlers handlers) = 0;
    virtual void write(std::string bytes) = 0;
    /** Writes the head of a message and its body, which is not copied. @param body null for none.
     */
    virtual void write(std::string head, std::shared_ptr<const http1::Body> body) = 0;
    /** @return number of bytes not yet handed to the operating system. */
    virtual size_t unsentBytes() const = 0;
    /** While nothing is read, the peer can send only as much as the operating system holds. */
    virtual void setReading(bool isReading) = 0;
    /**
     * Sends the unsent bytes, then closes. What the peer still sends is discarded.
     * @param maxDiscardedBytes when the peer sends more, the connection is reset. It should cover
     *        the rest of a request that a sound peer has begun to send, which reads the response
     *        only then.
     */
    virtual void closeAfterWrites(size_t maxDiscardedBytes) = 0;
    /**
     * Closes at once. The connection is reset, so that unsent bytes never arrive later, unless
     * closeAfterWrites has already ended the writing.
     */
    virtual void close() = 0;
};
using ConnectionPointer = std::shared_ptr<Connection>;

/**
 * Starts to connect; the handlers of the returned connection receive the result. An address that is
 * not an IP cannot be connected to.
 * @param limit longest time, in milliseconds, until the connection is established.
 */
ConnectionPointer connect(EventLoop& loop, const fleet::Address& address, Milliseconds limit);

/** Accepts TCP connections on one address and passes each to the handler. */
class Listener {
public:
    using Handler = std::function<void(ConnectionPointer)>;

    /** What to do when peers open many connections. */
    struct Limits {
        /** Connections that may be open at once, including those that are being closed. */
        size_t connections = 0;
        /**
         * Closes one of the connections, because another one was accepted.
         * @return false when none can be closed; the new one is closed then.
         */
        std::function<bool()> makeRoom;
    };

    /** @throws ListenFailed when the address cannot be bound. */
    Listener(EventLoop& loop, const fleet::Address& address, Limits limits, Handler handler);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    /** Stops accepting; connections already accepted stay open. */
    void close();

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

/** Why an exchange ended. */
enum class ExchangeEnd : uint8_t {
    /** The whole response was received. */
    Complete,
    /** No connection was established; nothing was sent. */
    NotSent,
    /** The connection ended early, or bytes were received that are not a valid response. */
    Broken,
};

/**
 * One request and its response. Destroying or cancelling it before its end closes the connection.
 */
class Exchange {
public:
    struct Handlers {
        /** @return false when the response belongs to an earlier request and must be skipped. */
        std::function<bool(const http1::ResponseHead&)> matchesRequest;
        std::function<void(const http1::ResponseHead&)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(ExchangeEnd)> onEnd;
    };
    virtual ~Exchange() = default;
    virtual void cancel() = 0;
    /** Stops or continues to read the response. */
    virtual void setReading(bool isReading) = 0;
    /** @return whether request bytes may have reached the target. */
    virtual bool isSent() const noexcept = 0;
    /** @return whether the connection carried earlier exchanges. */
    virtual bool isReused() const noexcept = 0;
};
using ExchangePointer = std::shared_ptr<Exchange>;

/** Identifies the peer of a connection. Connections with equal keys are interchangeable. */
struct PeerKey {
    fleet::Address address;
    /**
     * Id of the target at the address, so that another target that takes over the address gets new
     * connections. Empty for servers without an id.
     */
    std::string identity;

    auto operator<=>(const PeerKey&) const = default;
};

/** Runs exchanges and reuses idle connections to the same peer. */
class ConnectionPool {
public:
    struct Options {
        Milliseconds connectTimeout { 500 };
        /** Idle connections are not reused after this, or sooner if the peer announces less. */
        Milliseconds idleLifetime { 10000 };
        size_t idlePerPeer = 64;
        /** To all peers together. */
        size_t idleTotal = 1024;
        /** Bytes before the response to a request, such as a late response to an earlier one, that
         * are skipped; an exchange with more is broken. */
        size_t skippedBytes = size_t { 1 } << 20;
    };

    ConnectionPool(EventLoop& loop, const Options& options);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /**
     * Sends a request over an idle connection or a new one.
     * @param request in wire form, without its body if @p body is not null.
     * @param body not copied; it may be shared with other requests.
     * @param maxIdleAge connections that have been idle for this long or longer are not used for
     *        this request, but stay available to others.
     */
    ExchangePointer start(const PeerKey& peer, std::string request,
        std::shared_ptr<const http1::Body> body, Milliseconds maxIdleAge,
        Exchange::Handlers handlers);
    /** @return whether an idle connection to the peer can be reused now. */
    bool hasIdle(const PeerKey& peer) const;
    /** Closes all idle connections to the peer. */
    void closeIdle(const PeerKey& peer);
    /** @return number of connections opened so far, including failed attempts. */
    uint64_t connectionsOpened() const noexcept;

    struct Implementation;

private:
    std::shared_ptr<Implementation> m_implementation;
};

/** Complete response to a call. */
struct CallResponse {
    uint32_t status = 0;
    http1::Headers headers;
    std::string body;
};
/** Receives the response of a call, or none when the call failed. */
using CallHandler = std::function<void(std::optional<CallResponse>)>;

/** Limits on a call. */
struct CallLimits {
    /** Until the response is complete. */
    Milliseconds time { 0 };
    /** Largest body of the response; as much memory is taken at most. */
    size_t bodyBytes = 0;
};

/**
 * Sends a request and collects the whole response; does not block.
 * @param handler called once; receives none when no complete response came within the limits.
 * @return owner of the call; destroying it cancels the call, and the handler is not called.
 */
std::shared_ptr<void> call(EventLoop& loop, ConnectionPool& pool, const PeerKey& peer,
    std::string request, const CallLimits& limits, CallHandler handler);

/**
 * UDP socket. Datagrams may be lost, duplicated or delayed; of a received datagram only the first
 * 2048 bytes are delivered.
 */
class DatagramPort {
public:
    using Handler = std::function<void(std::string_view)>;

    /** @throws ListenFailed when the address cannot be bound. */
    DatagramPort(EventLoop& loop, const fleet::Address& address, Handler handler);
    ~DatagramPort();
    DatagramPort(const DatagramPort&) = delete;
    DatagramPort& operator=(const DatagramPort&) = delete;
    /** Sends without blocking. A datagram that cannot be sent is dropped and counted. */
    void send(const fleet::Address& peer, std::string_view datagram);

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

/**
 * HTTP server for small pages, such as health checks and metrics. Every method is treated as GET.
 */
class StatusServer {
public:
    struct Page {
        uint32_t status = 200;
        std::string contentType = "text/plain";
        std::string body;
        /** Further fields of the response. */
        http1::Headers headers {};
    };
    /** Receives the path with its query. */
    using Handler = std::function<Page(std::string_view path)>;

    /**
     * @param maxConnections connections that may be open at once; the one that has been inactive
     *        for longest is closed for another one.
     * @throws ListenFailed when the address cannot be bound.
     */
    StatusServer(
        EventLoop& loop, const fleet::Address& address, size_t maxConnections, Handler handler);
    ~StatusServer();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace citronspoke::channels

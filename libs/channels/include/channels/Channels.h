#pragma once

#include "fleet/Fleet.h"
#include "http1/Http1.h"

#include <map>
#include <span>
#include <utility>

/** One event loop with its timers, TCP connections, and HTTP exchanges over kept connections. */
namespace citronspoke::channels {

using citronspoke::ListenFailed;

/** Runs callbacks of one thread. Everything else here is used on that thread only. */
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /** Returns after stop. */
    void run();
    void stop();
    /** Lets run be called again after stop. */
    void restart();
    /** Runs the task after the current callback; any thread may call. */
    void post(std::function<void()> task);
    /** Calls the handler on each of these signals instead of their default action. */
    void onSignals(std::span<const int> signals, std::function<void(int)> handler);

    struct Implementation;
    Implementation& implementation() noexcept { return *m_implementation; }

private:
    std::unique_ptr<Implementation> m_implementation;
};

/** Calls back once after a time; destroying it cancels it. */
class Timer {
public:
    explicit Timer(EventLoop& loop);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /** Replaces what was armed before. */
    void arm(Milliseconds delay, std::function<void()> callback);
    void cancel();

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

/** How a connection came to its end. */
enum class ConnectionEnd : uint8_t { ClosedByPeer, Broken, ConnectFailed };

/**
 * A TCP connection. It reports its end once; after close it reports nothing. Bytes are written in
 * order and without blocking.
 */
class Connection : public std::enable_shared_from_this<Connection> {
public:
    struct Handlers {
        std::function<void()> onConnected;
        std::function<void(std::string_view)> onBytes;
        std::function<void(ConnectionEnd)> onEnd;
    };

    virtual ~Connection() = default;
    /** Replaces the handlers and, the first time, starts to read. */
    virtual void start(Handlers handlers) = 0;
    virtual void write(std::string bytes) = 0;
    /** @return bytes that the network has not taken yet. */
    virtual size_t unsentBytes() const = 0;
    /** Sends what is left, then closes. */
    virtual void closeAfterWrites() = 0;
    /** Resets the connection at once; unsent bytes are lost and never arrive later. */
    virtual void close() = 0;
};
using ConnectionPointer = std::shared_ptr<Connection>;

/** @param limit for the connection to be established. */
ConnectionPointer connect(EventLoop& loop, const fleet::Address& address, Milliseconds limit);

/** Accepts connections. */
class Listener {
public:
    using Handler = std::function<void(ConnectionPointer)>;

    /** @throws ListenFailed */
    Listener(EventLoop& loop, const fleet::Address& address, Handler handler);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    /** Accepts no further connections. */
    void close();

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

/** How an exchange came to its end. */
enum class ExchangeEnd : uint8_t {
    /** The answer is whole. */
    Complete,
    /** No connection was established; nothing was sent. */
    NotSent,
    /** The connection ended, or bytes came that are no answer. */
    Broken,
};

/** One request and its answer. Destroying or cancelling it closes its connection. */
class Exchange {
public:
    struct Handlers {
        /** @return false when the answer belongs to an earlier request and must be skipped. */
        std::function<bool(const http1::ResponseHead&)> isOurs;
        std::function<void(const http1::ResponseHead&)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(ExchangeEnd)> onEnd;
    };
    virtual ~Exchange() = default;
    virtual void cancel() = 0;
    /** @return whether request bytes may have reached the target. */
    virtual bool isSent() const noexcept = 0;
};
using ExchangePointer = std::shared_ptr<Exchange>;

/** Which connections may carry requests for each other. */
struct PeerKey {
    fleet::Address address;
    /** Names one life of the target, so that a successor at its address gets fresh connections. */
    std::string life;

    auto operator<=>(const PeerKey&) const = default;
};

/** Keeps idle connections to targets and runs exchanges over them. */
class ConnectionPool {
public:
    struct Options {
        Milliseconds connectTimeout { 500 };
        /** Idle connections are closed after this, or sooner when the peer says so. */
        Milliseconds idleLifetime { 10000 };
        size_t idlePerPeer = 64;
    };

    ConnectionPool(EventLoop& loop, const Options& options);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /**
     * @param request head and body.
     * @param oldestIdle connections idle for longer are not used for this request.
     */
    ExchangePointer start(const PeerKey& peer, std::string request, Milliseconds oldestIdle,
        Exchange::Handlers handlers);
    /** @return whether an idle connection to a peer is kept. */
    bool hasIdle(const PeerKey& peer) const;
    /** Closes the idle connections to a peer. */
    void forget(const PeerKey& peer);
    /** @return connections established so far. */
    uint64_t connectionsMade() const noexcept;

    struct Implementation;

private:
    std::shared_ptr<Implementation> m_implementation;
};

/** A whole answer to a small call. */
struct CallAnswer {
    uint32_t status = 0;
    http1::Headers headers;
    std::string body;
};
/** Runs one small call and collects its answer. */
using CallHandler = std::function<void(std::optional<CallAnswer>)>;

/**
 * Makes a call and waits for its whole answer.
 * @param handler gets none when no whole answer came within the limit.
 * @return keeps the call alive; destroying it cancels the call.
 */
std::shared_ptr<void> call(EventLoop& loop, ConnectionPool& pool, const PeerKey& peer,
    std::string request, Milliseconds limit, CallHandler handler);

/** Sends and receives datagrams, which may be lost, doubled or late. */
class DatagramPort {
public:
    using Handler = std::function<void(std::string_view)>;

    /** @throws ListenFailed */
    DatagramPort(EventLoop& loop, const fleet::Address& address, Handler handler);
    ~DatagramPort();
    DatagramPort(const DatagramPort&) = delete;
    DatagramPort& operator=(const DatagramPort&) = delete;
    void send(const fleet::Address& peer, std::string_view datagram);

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

/** Answers simple GET requests, such as health checks and metrics. */
class PageServer {
public:
    struct Page {
        uint32_t status = 200;
        std::string contentType = "text/plain";
        std::string body;
    };
    using Handler = std::function<Page(std::string_view path)>;

    /** @throws ListenFailed */
    PageServer(EventLoop& loop, const fleet::Address& address, Handler handler);
    ~PageServer();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace citronspoke::channels

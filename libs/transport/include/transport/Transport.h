#pragma once

#include "protocol/Protocol.h"

#include <map>

/**
 * Communication between processes: mailboxes among our own processes, HTTP with callers, targets
 * and the platform.
 */
namespace citronspoke::transport {

using citronspoke::ListenFailed;

/** An HTTP call ended without a complete response. */
class HttpFailed final : public Error {
public:
    HttpFailed(std::string_view url, std::string_view cause, bool mayHaveArrived)
        : m_url(url)
        , m_cause(cause)
        , m_mayHaveArrived(mayHaveArrived)
    {
    }
    std::string_view kind() const noexcept override { return "http_failed"; }
    std::string describe() const override
    {
        return "No response from " + m_url + ": " + m_cause + ".";
    }
    /** @return false only when the request certainly did not reach the server. */
    bool mayHaveArrived() const noexcept { return m_mayHaveArrived; }

private:
    std::string m_url;
    std::string m_cause;
    bool m_mayHaveArrived;
};

/**
 * Receives messages on one address and sends messages to peers, each on a thread of its own.
 * Sending never blocks: messages are dropped and counted when the buffer of an unreachable peer,
 * or the queue of the mailbox, is full.
 */
class Mailbox {
public:
    using Handler = std::function<void(protocol::Message)>;

    /**
     * @param address to listen on, "tcp://IP:PORT".
     * @param handler called by the receiving thread, one message at a time.
     * @throws ListenFailed when the address cannot be bound.
     */
    Mailbox(const PeerAddress& address, Handler handler);
    ~Mailbox();
    Mailbox(const Mailbox&) = delete;
    Mailbox& operator=(const Mailbox&) = delete;

    const PeerAddress& address() const noexcept;
    /** Queues a message for a peer; messages to one peer keep their order. Any thread may call. */
    void send(const PeerAddress& peer, protocol::Message message);
    /**
     * Waits until the queued messages have been handed to the network, @p limit milliseconds at
     * most, and 50 ms more for the network library to send them.
     */
    void flush(Milliseconds limit);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

using Headers = std::map<std::string, std::string, std::less<>>;

/** One HTTP request, as received or to be sent. Header names are in lower case. */
struct HttpRequest {
    std::string method = "GET";
    /** The path in a server, the full URL in a client. */
    std::string target;
    std::string query;
    Headers headers;
    std::string body;

    /** @param name in lower case. @return the header's value, empty when absent. */
    std::string_view header(std::string_view name) const;
};

/** A complete HTTP response. Header names are in lower case. */
struct HttpResponse {
    uint32_t status = 200;
    Headers headers;
    std::string body;
};

/** @return a response with a JSON body. */
HttpResponse jsonResponse(uint32_t status, std::string body);

/**
 * A request received by a server, and its response. May be used on any thread, by one thread at a
 * time.
 */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest& request() const noexcept = 0;
    /** Sends a complete response. */
    virtual void respond(const HttpResponse& response) = 0;
    /** Sends the head of a chunked response; the body of @p head is ignored. */
    virtual void beginStream(const HttpResponse& head) = 0;
    /** Sends one chunk of a response begun with beginStream. */
    virtual void write(std::string text) = 0;
    virtual void endStream() = 0;
    /** Closes the connection without a complete response. */
    virtual void abort() = 0;
    /** @param callback called once, on a server thread, when the caller's connection closes. */
    virtual void onGone(std::function<void()> callback) = 0;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

/** HTTP server on one port. */
class HttpServer {
public:
    using Handler = std::function<void(HttpExchangePointer)>;

    /**
     * @param address "IP:PORT".
     * @param threads number of threads that serve connections.
     * @param handler called on those threads; it may respond later, from another thread.
     * @throws ListenFailed when the address cannot be bound.
     */
    HttpServer(std::string_view address, size_t threads, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/**
 * Sends one HTTP request and waits for the response. Each thread reuses its own connections.
 * @param limit longest time for the whole call, in milliseconds.
 * @throws HttpFailed when there was no complete response within the limit, or one of more than
 *         16 MB.
 */
HttpResponse callHttp(const HttpRequest& request, Milliseconds limit);

/**
 * Like callHttp, but passes on the body as it is received. Returns when the response ends, when
 * @p onData ends the call, or when the limit has passed.
 * @param onData returns false to end the call early.
 * @throws HttpFailed on any other failure.
 */
void streamHttp(const HttpRequest& request, Milliseconds limit,
    const std::function<bool(std::string_view)>& onData);

/** How a streamed call ended. */
struct StreamEnd {
    /** The HTTP status, 0 when there was no response. */
    uint32_t status = 0;
    /** Whether the whole response was received. */
    bool complete = false;
    /** False only when the request certainly did not reach the server. */
    bool mayHaveArrived = true;
};

using StreamId = Number<struct StreamTag>;

/**
 * Runs many HTTP calls concurrently on one thread of its own and passes on their data as it is
 * received. Its functions may be called on any thread.
 */
class StreamClient {
public:
    struct Callbacks {
        /** @return false to end the call early, as an incomplete one. */
        std::function<bool(std::string_view)> onData;
        std::function<void(const StreamEnd&)> onEnd;
    };

    StreamClient();
    ~StreamClient();
    StreamClient(const StreamClient&) = delete;
    StreamClient& operator=(const StreamClient&) = delete;

    /**
     * @param repeatable false for calls that must reach the server at most once: they use a new
     *        connection, because libcurl retries when a reused connection turns out to be closed.
     * @param callbacks called on the client's thread; onEnd is called once, and not after cancel
     *        has taken effect.
     * @param onStarted receives the stream's id before any other callback. It is called with the
     *        client's lock held and must not call the client.
     */
    StreamId start(HttpRequest request, bool repeatable, Callbacks callbacks,
        const std::function<void(StreamId)>& onStarted = {});
    /** Ends a call without calling onEnd; takes effect later, on the client's thread. */
    void cancel(StreamId id);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/** @return the value of @p name in a query string, percent-decoded; empty when absent. */
std::string queryValue(std::string_view query, std::string_view name);

} // namespace citronspoke::transport

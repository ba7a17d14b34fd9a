#pragma once

#include "protocol/Protocol.h"

#include <map>

/** How processes talk: mailboxes among ourselves, HTTP towards everybody else. */
namespace citronspoke::transport {

using citronspoke::ListenFailed;

/** An HTTP call got no answer. */
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
        return "No answer from " + m_url + ": " + m_cause + ".";
    }
    /** @return false only when the call certainly never reached the server. */
    bool mayHaveArrived() const noexcept { return m_mayHaveArrived; }

private:
    std::string m_url;
    std::string m_cause;
    bool m_mayHaveArrived;
};

/**
 * Receives messages on one address and sends to others. Sending never blocks: a message for a
 * peer that cannot be reached is dropped once the peer's buffer is full, and counted.
 */
class Mailbox {
public:
    using Handler = std::function<void(protocol::Message)>;

    /**
     * @param address where to listen, "tcp://IP:PORT".
     * @param handler called by the mailbox's receiving thread, one message at a time.
     * @throws ListenFailed
     */
    Mailbox(const PeerAddress& address, Handler handler);
    ~Mailbox();
    Mailbox(const Mailbox&) = delete;
    Mailbox& operator=(const Mailbox&) = delete;

    const PeerAddress& address() const noexcept;
    /** Queues a message for a peer; messages to one peer keep their order. */
    void send(const PeerAddress& peer, protocol::Message message);
    /** Waits until what is queued has been handed to the network, @p limit at most. */
    void flush(Milliseconds limit);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

using Headers = std::map<std::string, std::string, std::less<>>;

/** One HTTP request, as received or to be sent. Header names are in lower case. */
struct HttpRequest {
    std::string method = "GET";
    /** The path for a server, the full address for a client. */
    std::string target;
    std::string query;
    Headers headers;
    std::string body;

    /** @return the header's value, empty when absent. */
    std::string_view header(std::string_view name) const;
};

/** One whole HTTP answer. */
struct HttpResponse {
    uint32_t status = 200;
    Headers headers;
    std::string body;
};

/** @return an answer with a JSON body. */
HttpResponse jsonResponse(uint32_t status, std::string body);

/** A request received by a server and the means to answer it, from any one thread. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest& request() const noexcept = 0;
    virtual void respond(const HttpResponse& response) = 0;
    virtual void beginStream(const HttpResponse& head) = 0;
    virtual void write(std::string text) = 0;
    virtual void endStream() = 0;
    /** Closes the connection without an answer. */
    virtual void abort() = 0;
    /** @param callback called once by a server thread when the caller's connection closes. */
    virtual void onGone(std::function<void()> callback) = 0;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

/** Serves HTTP on one port. */
class HttpServer {
public:
    using Handler = std::function<void(HttpExchangePointer)>;

    /**
     * @param address "IP:PORT".
     * @param threads that serve connections.
     * @param handler called by those threads; it may answer later from another thread.
     * @throws ListenFailed
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
 * Makes one HTTP call and waits for the answer. Connections are kept per thread.
 * @param limit for the whole call.
 * @throws HttpFailed
 */
HttpResponse callHttp(const HttpRequest& request, Milliseconds limit);

/**
 * Like callHttp, but hands over the body as it comes.
 * @param onData returns false to end the call early.
 */
void streamHttp(const HttpRequest& request, Milliseconds limit,
    const std::function<bool(std::string_view)>& onData);

/** How a streamed call ended. */
struct StreamEnd {
    /** The HTTP status, 0 when there was no answer. */
    uint32_t status = 0;
    /** The transfer came to its regular end. */
    bool complete = false;
    bool mayHaveArrived = true;
};

using StreamId = Number<struct StreamTag>;

/** Runs many HTTP calls at once on one thread and reports their data as it comes. */
class StreamClient {
public:
    struct Callbacks {
        std::function<void(std::string_view)> onData;
        std::function<void(const StreamEnd&)> onEnd;
    };

    StreamClient();
    ~StreamClient();
    StreamClient(const StreamClient&) = delete;
    StreamClient& operator=(const StreamClient&) = delete;

    /**
     * @param repeatable false for calls that must reach the server once at most: they get a
     *        connection of their own, since libcurl sends again on a kept one that was closed.
     * @param callbacks called by the client's thread; onEnd once, and not after cancel.
     * @param onStarted told the stream's id before any other callback.
     */
    StreamId start(HttpRequest request, bool repeatable, Callbacks callbacks,
        const std::function<void(StreamId)>& onStarted = {});
    /** Ends a call and closes its connection. */
    void cancel(StreamId id);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/** @return the value of @p name in a query string, percent-decoded; empty when absent. */
std::string queryValue(std::string_view query, std::string_view name);

} // namespace citronspoke::transport

// HTTP/1.1 over loopback: a server that can crash and start again at its address, and a caller.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

/** Header fields by their names in lower case. */
using Fields = std::map<std::string, std::string>;

struct Request {
    std::string method;
    /** Path and query. */
    std::string target;
    Fields fields;
    std::string body;

    /** @return the value of a field, empty when absent. @param name in lower case. */
    std::string field(const std::string& name) const;
};

struct Response {
    /** 0 when no head came. */
    uint32_t status = 0;
    Fields fields;
    std::string body;
    bool isComplete = false;
};

/** A connection that a server has accepted; used by the thread that serves it. */
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    /** Sends bytes as they are. */
    void send(std::string_view bytes);
    /** Sends a complete response; Content-Length is added. */
    void answer(uint32_t status, const Fields& fields, std::string_view body);
    /** Begins a chunked response. */
    void beginChunks(const Fields& fields);
    void sendChunk(std::string_view bytes);
    void endChunks() { send("0\r\n\r\n"); }
    /** Closes the connection after the bytes that were sent. */
    void close() noexcept { m_isOpen = false; }
    bool isOpen() const noexcept { return m_isOpen; }

private:
    int m_descriptor;
    bool m_isOpen = true;
};

/** An HTTP server on one loopback port, with one thread for each connection. */
class Server {
public:
    using Handler = std::function<void(const Request&, Connection&)>;

    explicit Server(Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /** Listens, at the address that it had before if it has crashed. */
    void start();
    /** Closes the port and all connections, as the end of a process does. */
    void crash();
    bool isUp() const noexcept { return m_isUp; }

private:
    void acceptAll(int listener);
    void serve(int descriptor);

    Handler m_handler;
    uint16_t m_port = 0;
    std::mutex m_mutex;
    int m_listener = -1;
    std::atomic<bool> m_isUp { false };
    std::vector<int> m_descriptors;
    std::vector<std::jthread> m_threads;
};

/** How a caller reads. As a rule, at once. */
struct ReadPace {
    /** Read at a time. */
    size_t bytes = 16384;
    /** Before each read. */
    Milliseconds pause { 0 };
};

/** A caller with one connection, which it keeps as long as its peer does. */
class Caller {
public:
    /** @param peer IP:PORT. @param receiveBytes of its socket's buffer; 0: as usual. */
    explicit Caller(std::string peer, int receiveBytes = 0)
        : m_peer(std::move(peer))
        , m_receiveBytes(receiveBytes)
    {
    }
    ~Caller() { close(); }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    /**
     * Sends a request and waits for its response.
     * @param request in wire form.
     */
    Response send(const std::string& request, Milliseconds limit, const ReadPace& pace = {});
    void close();

private:
    bool connectToPeer();

    std::string m_peer;
    int m_receiveBytes;
    int m_descriptor = -1;
};

/** @return a free loopback port below those that the system gives to outgoing connections. */
uint16_t pickPort();

} // namespace review

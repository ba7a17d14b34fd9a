#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/** Small stand-ins for the platform, the engines and the clients. They share no code with the
 * programs under review. */
namespace review {

/** Head and body of a request, as the programs under review send it. */
struct Request {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /** @return the value of a field; empty when it is missing. The name's case does not matter. */
    std::string field(std::string_view name) const;
    /** @return a parameter of the query; empty when it is missing. */
    std::string parameter(std::string_view name) const;
};

/** The server's side of one connection. */
class ServerConnection {
public:
    explicit ServerConnection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    /** Sends all bytes; waits while the peer does not read. @return whether they were sent. */
    bool send(std::string_view bytes);
    /** Sends a complete response with its length. */
    void respond(
        uint32_t status, const std::vector<std::string>& fieldLines, std::string_view body);

private:
    int m_descriptor;
};

/** HTTP/1.1 server on a loopback address, with one thread for each connection. Its destruction
 * closes all connections at once. */
class Server {
public:
    using Handler = std::function<void(const Request&, ServerConnection&)>;

    /** @param port 0 for a free one. */
    explicit Server(Handler handler, uint16_t port = 0);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    uint16_t port() const { return m_port; }

private:
    void acceptAll();
    void serve(int descriptor);

    Handler m_handler;
    uint16_t m_port = 0;
    int m_listener;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<int> m_descriptors;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** What a client has received for one request. */
struct Response {
    uint32_t status = 0;
    /** Whether the whole body was received. */
    bool isComplete = false;
    /** Whether the server closes the connection after this response. */
    bool closes = false;
    size_t bodyBytes = 0;
    std::string head;
    std::string body;
    /** How the connection ended, when it ended before the response was complete. */
    std::string end;
};

/** One connection of a client that sends one request after the other. */
class ClientConnection {
public:
    /** @param receiveBuffer bytes that the operating system holds for the client; 0: its default.
     */
    ClientConnection(uint16_t port, int receiveBuffer);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    bool send(std::string_view bytes);
    /** @param timeoutMs until the response is complete.
     *  @param onBytes called after each read with the number of bytes received so far; a client
     *         that reads slowly waits there. */
    Response receive(int timeoutMs, const std::function<void(size_t)>& onBytes);
    void close();

private:
    int m_descriptor = -1;
};

/** Removes the first whole request from the bytes of a channel. @return none if there is none. */
std::optional<Request> takeRequest(std::string& received);
/** @param port 0 for a free one; receives the port. @return a listening loopback socket, or -1. */
int tryListenOn(uint16_t& port);
/** As tryListenOn(), where a failure is an error of the test. */
int listenOn(uint16_t& port);
/** @return a loopback port that is free now. */
uint16_t pickPort();

} // namespace review

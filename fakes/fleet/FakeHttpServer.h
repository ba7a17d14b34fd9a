#pragma once

#include "fleet/Fleet.h"
#include "http1/Http1.h"

#include <atomic>

namespace citronspoke::fakes {

/** A request as the fake server received it. */
struct FakeRequest {
    http1::RequestHead head;
    std::string body;

    /** @return the field's value, empty when absent. */
    std::string field(std::string_view name) const;
};

/** An accepted connection; only the thread that serves it uses it. */
class FakeConnection {
public:
    explicit FakeConnection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    /** Sends raw bytes, which need not be valid HTTP. */
    void send(std::string_view bytes);
    /** Sends a complete response; Content-Length is added. */
    void answer(uint32_t status, const http1::Headers& headers, std::string_view body);
    /** Closes the connection after the bytes that were sent. */
    void close() noexcept { m_isOpen = false; }
    /** Closes the connection with a TCP reset instead of an orderly end. */
    void reset();
    /** Discards what the peer sends until it closes the connection. */
    void waitForClose();
    bool isOpen() const noexcept { return m_isOpen; }
    int descriptor() const noexcept { return m_descriptor; }

private:
    int m_descriptor;
    bool m_isOpen = true;
};

/** Serves HTTP on a free loopback port, with one thread for each connection. */
class FakeHttpServer {
public:
    using Handler = std::function<void(const FakeRequest&, FakeConnection&)>;

    explicit FakeHttpServer(Handler handler);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer&) = delete;
    FakeHttpServer& operator=(const FakeHttpServer&) = delete;

    fleet::Address address() const { return { "127.0.0.1", m_port }; }
    /** @return the number of connections accepted so far. */
    size_t connections() const noexcept { return m_accepted; }

private:
    void acceptAll();
    void serve(int descriptor);

    Handler m_handler;
    uint16_t m_port = 0;
    int m_listener;
    std::atomic<bool> m_isStopping { false };
    std::atomic<size_t> m_accepted { 0 };
    std::mutex m_mutex;
    std::vector<int> m_descriptors;
    std::vector<std::jthread> m_threads;
    std::jthread m_acceptor;
};

} // namespace citronspoke::fakes

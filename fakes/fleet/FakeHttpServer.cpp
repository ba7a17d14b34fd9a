#include "FakeHttpServer.h"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace citronspoke::fakes {

namespace {

    int listenOnFreePort(uint16_t& port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        const bool isBound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0;
        require(
            isBound && listen(descriptor, SOMAXCONN) == 0, "a free loopback port can be opened");
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        return descriptor;
    }

} // namespace

std::string FakeRequest::field(std::string_view name) const
{
    return std::string(head.headers.find(name).value_or(""));
}

void FakeConnection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            m_isOpen = false;
            return;
        }
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
}

void FakeConnection::answer(uint32_t status, const http1::Headers& headers, std::string_view body)
{
    http1::Headers whole = headers;
    whole.add("Content-Length", std::to_string(body.size()));
    send(http1::composeResponse(status, "Answer", whole).append(body));
}

void FakeConnection::reset()
{
    const linger abortive { 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
    m_isOpen = false;
}

void FakeConnection::waitForClose()
{
    std::array<char, 256> ignored {};
    while (recv(m_descriptor, ignored.data(), ignored.size(), 0) > 0) { }
    m_isOpen = false;
}

FakeHttpServer::FakeHttpServer(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(listenOnFreePort(m_port))
    , m_acceptor([this] { acceptAll(); })
{
}

FakeHttpServer::~FakeHttpServer()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    {
        std::lock_guard lock(m_mutex);
        for (const int descriptor : m_descriptors)
            shutdown(descriptor, SHUT_RDWR);
    }
    m_threads.clear();
}

void FakeHttpServer::acceptAll()
{
    while (!m_isStopping) {
        const int descriptor = accept(m_listener, nullptr, nullptr);
        if (descriptor < 0)
            continue;
        m_accepted += 1;
        std::lock_guard lock(m_mutex);
        m_descriptors.push_back(descriptor);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void FakeHttpServer::serve(int descriptor)
{
    FakeConnection connection(descriptor);
    http1::RequestParser parser(http1::MessageLimits {});
    FakeRequest request;
    std::array<char, 16384> buffer {};
    std::string pending;
    while (connection.isOpen()) {
        const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        pending.append(buffer.data(), static_cast<size_t>(size));
        while (!pending.empty() && connection.isOpen()) {
            std::vector<http1::RequestEvent> events;
            pending.erase(0, parser.feed(pending, events));
            for (http1::RequestEvent& event : events) {
                if (http1::RequestHead* head = std::get_if<http1::RequestHead>(&event))
                    request = { std::move(*head), {} };
                else if (const http1::BodyPart* part = std::get_if<http1::BodyPart>(&event))
                    request.body += part->bytes;
                else
                    m_handler(request, connection);
            }
        }
    }
    // Removed before it is closed, so that the destructor never shuts down a reused descriptor.
    std::lock_guard lock(m_mutex);
    std::erase(m_descriptors, descriptor);
    close(descriptor);
}

} // namespace citronspoke::fakes

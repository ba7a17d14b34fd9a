#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstring>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr std::string_view HeadEnd = "\r\n\r\n";

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    bool sendAll(int descriptor, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(sent));
        }
        return true;
    }

    std::string lowerCase(std::string_view text)
    {
        std::string lower;
        for (const char letter : text)
            lower.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(letter))));
        return lower;
    }

    /** @return the value of a field in a head, given as text. */
    std::string fieldOf(std::string_view head, std::string_view name)
    {
        const std::string start = "\r\n" + lowerCase(name) + ":";
        const std::string lower = lowerCase(head);
        const size_t found = lower.find(start);
        if (found == std::string::npos)
            return {};
        size_t first = found + start.size();
        while (first < head.size() && head[first] == ' ')
            first += 1;
        const size_t end = head.find("\r\n", first);
        return std::string(head.substr(first, end - first));
    }

    size_t numberIn(std::string_view text)
    {
        size_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    /** @return the bytes of the whole chunks; the end of the last chunk sets isComplete. */
    std::string dechunked(std::string_view chunks, bool& isComplete)
    {
        std::string body;
        while (true) {
            const size_t lineEnd = chunks.find("\r\n");
            if (lineEnd == std::string_view::npos)
                return body;
            size_t size = 0;
            std::from_chars(chunks.data(), chunks.data() + lineEnd, size, 16);
            if (chunks.size() < lineEnd + 2 + size + 2)
                return body;
            if (size == 0) {
                isComplete = true;
                return body;
            }
            body.append(chunks.substr(lineEnd + 2, size));
            chunks.remove_prefix(lineEnd + 2 + size + 2);
        }
    }

    Request parseHead(std::string_view head)
    {
        Request request;
        const std::string_view first = head.substr(0, head.find("\r\n"));
        const size_t space = first.find(' ');
        request.method = first.substr(0, space);
        request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
        head.remove_prefix(first.size() + 2);
        while (!head.empty()) {
            const std::string_view line = head.substr(0, head.find("\r\n"));
            head.remove_prefix(std::min(line.size() + 2, head.size()));
            const size_t colon = line.find(':');
            if (colon == std::string_view::npos)
                continue;
            std::string_view value = line.substr(colon + 1);
            while (value.starts_with(' '))
                value.remove_prefix(1);
            request.fields.emplace_back(line.substr(0, colon), value);
        }
        return request;
    }

} // namespace

int tryListenOn(uint16_t& port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof address;
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0
        || listen(descriptor, SOMAXCONN) != 0) {
        ::close(descriptor);
        return -1;
    }
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

int listenOn(uint16_t& port)
{
    const int descriptor = tryListenOn(port);
    if (descriptor < 0)
        std::abort();
    return descriptor;
}

std::optional<Request> takeRequest(std::string& received)
{
    const size_t headEnd = received.find(HeadEnd);
    if (headEnd == std::string::npos)
        return std::nullopt;
    const std::string head = received.substr(0, headEnd + 2);
    const size_t bodyStart = headEnd + HeadEnd.size();
    const size_t whole = bodyStart + numberIn(fieldOf(head, "Content-Length"));
    if (received.size() < whole)
        return std::nullopt;
    Request request = parseHead(head);
    request.body = received.substr(bodyStart, whole - bodyStart);
    received.erase(0, whole);
    return request;
}

std::string Request::field(std::string_view name) const
{
    for (const auto& [known, value] : fields) {
        if (lowerCase(known) == lowerCase(name))
            return value;
    }
    return {};
}

std::string Request::parameter(std::string_view name) const
{
    const std::string start = std::string(name) + "=";
    const size_t found = target.find(start);
    if (found == std::string::npos)
        return {};
    const size_t first = found + start.size();
    const std::string encoded = target.substr(first, target.find('&', first) - first);
    std::string value;
    for (size_t index = 0; index < encoded.size(); ++index) {
        if (encoded[index] != '%' || index + 2 >= encoded.size()) {
            value.push_back(encoded[index]);
            continue;
        }
        int byte = 0;
        std::from_chars(encoded.data() + index + 1, encoded.data() + index + 3, byte, 16);
        value.push_back(static_cast<char>(byte));
        index += 2;
    }
    return value;
}

bool ServerConnection::send(std::string_view bytes) { return sendAll(m_descriptor, bytes); }

void ServerConnection::respond(
    uint32_t status, const std::vector<std::string>& fieldLines, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const std::string& line : fieldLines)
        text.append(line).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(body.size())).append(HeadEnd);
    send(text.append(body));
}

Server::Server(Handler handler, uint16_t port)
    : m_handler(std::move(handler))
    , m_port(port)
    , m_listener(listenOn(m_port))
    , m_acceptor([this] { acceptAll(); })
{
}

Server::~Server()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_descriptors)
            shutdown(descriptor, SHUT_RDWR);
    }
    for (std::thread& thread : m_threads)
        thread.join();
}

void Server::acceptAll()
{
    while (!m_isStopping) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const std::lock_guard lock(m_mutex);
        m_descriptors.push_back(descriptor);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void Server::serve(int descriptor)
{
    ServerConnection connection(descriptor);
    std::array<char, 16384> buffer {};
    std::string pending;
    while (true) {
        if (const std::optional<Request> request = takeRequest(pending)) {
            m_handler(*request, connection);
            continue;
        }
        const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        pending.append(buffer.data(), static_cast<size_t>(size));
    }
    // Removed before it is closed, so that the destructor never shuts down a reused descriptor.
    const std::lock_guard lock(m_mutex);
    std::erase(m_descriptors, descriptor);
    ::close(descriptor);
}

ClientConnection::ClientConnection(uint16_t port, int receiveBuffer)
    : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBuffer > 0)
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const sockaddr_in address = loopback(port);
    if (connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        close();
}

ClientConnection::~ClientConnection() { close(); }

void ClientConnection::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

bool ClientConnection::send(std::string_view bytes) { return sendAll(m_descriptor, bytes); }

Response ClientConnection::receive(int timeoutMs, const std::function<void(size_t)>& onBytes)
{
    using std::chrono::steady_clock;
    const steady_clock::time_point end = steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    Response response;
    std::string received;
    std::array<char, 4096> buffer {};
    size_t whole = 0;
    bool isChunked = false;
    while (!response.isComplete) {
        const int64_t leftUs = std::max<int64_t>(1,
            std::chrono::duration_cast<std::chrono::microseconds>(end - steady_clock::now())
                .count());
        const timeval limit { leftUs / 1000000, leftUs % 1000000 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        const ssize_t size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            if (size == 0)
                response.end = "closed";
            else
                response.end = errno == EAGAIN ? "timeout" : "reset";
            break;
        }
        received.append(buffer.data(), static_cast<size_t>(size));
        const size_t headEnd = received.find(HeadEnd);
        if (whole == 0 && headEnd != std::string::npos) {
            response.head = received.substr(0, headEnd + 2);
            response.status = static_cast<uint32_t>(numberIn(response.head.substr(9, 3)));
            response.closes = lowerCase(fieldOf(response.head, "Connection")) == "close";
            whole = headEnd + HeadEnd.size() + numberIn(fieldOf(response.head, "Content-Length"));
            isChunked = lowerCase(fieldOf(response.head, "Transfer-Encoding")) == "chunked";
        }
        if (isChunked)
            response.body = dechunked(
                std::string_view(received).substr(headEnd + HeadEnd.size()), response.isComplete);
        else
            response.isComplete = whole > 0 && received.size() >= whole;
        if (onBytes)
            onBytes(received.size());
    }
    if (!isChunked && !response.head.empty())
        response.body = received.substr(response.head.size() + 2);
    response.bodyBytes = response.body.size();
    if (!response.isComplete || response.closes)
        close();
    return response;
}

uint16_t pickPort()
{
    // Below the ports that the operating system gives to outgoing channels, which would take it.
    constexpr uint16_t First = 12000;
    constexpr uint16_t Last = 29999;
    std::random_device random;
    std::uniform_int_distribution<uint16_t> ports(First, Last);
    while (true) {
        uint16_t port = ports(random);
        const int descriptor = tryListenOn(port);
        if (descriptor < 0)
            continue;
        ::close(descriptor);
        return port;
    }
}

} // namespace review

#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <netinet/tcp.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr std::string_view LineEnd = "\r\n";
    constexpr std::string_view HeadEnd = "\r\n\r\n";

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    /** @return a listening socket, or -1 when the port is in use. */
    int listenOn(uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        const int yes = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const sockaddr_in address = loopback(port);
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
            && listen(descriptor, SOMAXCONN) == 0)
            return descriptor;
        close(descriptor);
        return -1;
    }

    /** @return whether a port is free for connections and for datagrams. */
    bool isFree(uint16_t port)
    {
        const int listener = listenOn(port);
        if (listener < 0)
            return false;
        const int datagrams = socket(AF_INET, SOCK_DGRAM, 0);
        const sockaddr_in address = loopback(port);
        const bool isBound
            = bind(datagrams, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(datagrams);
        close(listener);
        return isBound;
    }

    void sendAtOnce(int descriptor)
    {
        const int yes = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }

    /** Reads one connection. */
    class Reader {
    public:
        explicit Reader(int descriptor, const ReadPace& pace = {})
            : m_descriptor(descriptor)
            , m_pace(pace)
            , m_bytes(pace.bytes)
        {
        }

        /** Reads up to a mark. @return false when the connection ended before. */
        bool readUntil(std::string_view mark, std::string& text)
        {
            size_t end = 0;
            while ((end = m_buffer.find(mark)) == std::string::npos) {
                if (!readMore())
                    return false;
            }
            text = m_buffer.substr(0, end);
            m_buffer.erase(0, end + mark.size());
            return true;
        }

        /** Appends so many bytes to the text. @return false when the connection ended before. */
        bool readBytes(size_t size, std::string& text)
        {
            while (m_buffer.size() < size) {
                if (!readMore()) {
                    text += m_buffer;
                    return false;
                }
            }
            text += m_buffer.substr(0, size);
            m_buffer.erase(0, size);
            return true;
        }

    private:
        bool readMore()
        {
            std::this_thread::sleep_for(m_pace.pause);
            const ssize_t size = recv(m_descriptor, m_bytes.data(), m_bytes.size(), 0);
            if (size <= 0)
                return false;
            m_buffer.append(m_bytes.data(), static_cast<size_t>(size));
            return true;
        }

        int m_descriptor;
        ReadPace m_pace;
        std::vector<char> m_bytes;
        std::string m_buffer;
    };

    /** @param head without its first line. */
    Fields parseFields(std::string_view head)
    {
        Fields fields;
        while (!head.empty()) {
            const std::string_view line = head.substr(0, head.find(LineEnd));
            head.remove_prefix(std::min(head.size(), line.size() + LineEnd.size()));
            const size_t colon = line.find(':');
            if (colon == std::string_view::npos)
                continue;
            std::string name(line.substr(0, colon));
            std::transform(name.begin(), name.end(), name.begin(),
                [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
            std::string_view value = line.substr(colon + 1);
            value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
            fields[name] = value;
        }
        return fields;
    }

    std::string find(const Fields& fields, const std::string& name)
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }

    /** Splits a head into its first line and its fields. */
    std::pair<std::string, Fields> parseHead(const std::string& head)
    {
        const size_t end = std::min(head.find(LineEnd), head.size());
        const size_t rest = std::min(end + LineEnd.size(), head.size());
        return { head.substr(0, end), parseFields(std::string_view(head).substr(rest)) };
    }

    /** @return whether the body came to its end. */
    bool readBody(Reader& reader, const Fields& fields, std::string& body)
    {
        if (find(fields, "transfer-encoding") != "chunked") {
            const std::string length = find(fields, "content-length");
            return length.empty() || reader.readBytes(std::stoul(length), body);
        }
        constexpr int Hexadecimal = 16;
        std::string line;
        std::string ignored;
        while (reader.readUntil(LineEnd, line)) {
            const size_t size = std::stoul(line, nullptr, Hexadecimal);
            if (!reader.readBytes(size, body) || !reader.readBytes(LineEnd.size(), ignored))
                return false;
            if (size == 0)
                return true;
        }
        return false;
    }

    std::string composeHead(uint32_t status, const Fields& fields)
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
        for (const auto& [name, value] : fields)
            head.append(name).append(": ").append(value).append(LineEnd);
        return head;
    }

    bool sendAll(int descriptor, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(sent));
        }
        return true;
    }

    void limitWaits(int descriptor, Milliseconds limit)
    {
        constexpr int64_t MsPerSecond = 1000;
        constexpr int64_t UsPerMs = 1000;
        const timeval time { limit.count() / MsPerSecond, limit.count() % MsPerSecond * UsPerMs };
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
        setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    }

} // namespace

std::string Request::field(const std::string& name) const { return find(fields, name); }

void Connection::send(std::string_view bytes)
{
    m_isOpen = m_isOpen && sendAll(m_descriptor, bytes);
}

void Connection::answer(uint32_t status, const Fields& fields, std::string_view body)
{
    Fields whole = fields;
    whole["Content-Length"] = std::to_string(body.size());
    send(composeHead(status, whole).append(LineEnd).append(body));
}

void Connection::beginChunks(const Fields& fields)
{
    Fields whole = fields;
    whole["Transfer-Encoding"] = "chunked";
    send(composeHead(200, whole).append(LineEnd));
}

void Connection::sendChunk(std::string_view bytes)
{
    std::array<char, 16> size {};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    send(std::string(size.data(), static_cast<size_t>(length)).append(bytes).append(LineEnd));
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
    , m_port(pickPort())
{
}

Server::~Server()
{
    crash();
    m_threads.clear();
}

void Server::start()
{
    std::lock_guard lock(m_mutex);
    m_listener = listenOn(m_port);
    if (m_listener < 0)
        throw std::runtime_error("A server's port is in use.");
    m_isUp = true;
    m_threads.emplace_back([this, listener = m_listener] { acceptAll(listener); });
}

void Server::crash()
{
    std::lock_guard lock(m_mutex);
    if (!m_isUp.exchange(false))
        return;
    shutdown(m_listener, SHUT_RDWR);
    for (const int descriptor : m_descriptors)
        shutdown(descriptor, SHUT_RDWR);
}

void Server::acceptAll(int listener)
{
    while (true) {
        const int descriptor = accept(listener, nullptr, nullptr);
        if (descriptor < 0)
            break;
        sendAtOnce(descriptor);
        std::lock_guard lock(m_mutex);
        m_descriptors.push_back(descriptor);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
    close(listener);
}

void Server::serve(int descriptor)
{
    Connection connection(descriptor);
    Reader reader(descriptor);
    std::string head;
    while (connection.isOpen() && reader.readUntil(HeadEnd, head)) {
        const auto [line, fields] = parseHead(head);
        const size_t path = line.find(' ') + 1;
        Request request { line.substr(0, path - 1), line.substr(path, line.rfind(' ') - path),
            fields, {} };
        if (!readBody(reader, fields, request.body))
            break;
        m_handler(request, connection);
    }
    std::lock_guard lock(m_mutex);
    std::erase(m_descriptors, descriptor);
    close(descriptor);
}

bool Caller::connectToPeer()
{
    constexpr Milliseconds ConnectLimit { 1000 };
    m_descriptor = socket(AF_INET, SOCK_STREAM, 0);
    if (m_receiveBytes > 0)
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &m_receiveBytes, sizeof m_receiveBytes);
    sendAtOnce(m_descriptor);
    limitWaits(m_descriptor, ConnectLimit);
    const sockaddr_in address
        = loopback(static_cast<uint16_t>(std::stoi(m_peer.substr(m_peer.rfind(':') + 1))));
    if (connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return true;
    close();
    return false;
}

void Caller::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

Response Caller::send(const std::string& request, Milliseconds limit, const ReadPace& pace)
{
    Response response;
    if (m_descriptor < 0 && !connectToPeer())
        return response;
    limitWaits(m_descriptor, limit);
    Reader reader(m_descriptor, pace);
    std::string head;
    if (sendAll(m_descriptor, request) && reader.readUntil(HeadEnd, head)) {
        const auto [line, fields] = parseHead(head);
        response.status = static_cast<uint32_t>(std::stoul(line.substr(line.find(' ') + 1)));
        response.fields = fields;
        response.isComplete = readBody(reader, fields, response.body);
    }
    if (!response.isComplete || find(response.fields, "connection") == "close")
        close();
    return response;
}

uint16_t pickPort()
{
    constexpr uint16_t FirstPort = 12000;
    constexpr uint16_t LastPort = 30000;
    static std::mutex mutex;
    static uint16_t next = 0;
    std::lock_guard lock(mutex);
    if (next == 0)
        next = static_cast<uint16_t>(FirstPort + std::random_device {}() % (LastPort - FirstPort));
    // Ports follow each other, so that none is picked twice.
    for (uint16_t tries = FirstPort; tries < LastPort; ++tries) {
        const uint16_t port = next;
        next = port == LastPort ? FirstPort : static_cast<uint16_t>(port + 1);
        if (isFree(port))
            return port;
    }
    throw std::runtime_error("No free port was found.");
}

} // namespace review

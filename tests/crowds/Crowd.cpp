#include "Crowd.h"

#include "http1/Http1.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace citronspoke::crowds {

namespace {

    /** More than any response head of the tests. */
    constexpr size_t MaxKeptBytes = size_t { 64 } << 10;
    /** A crowd that could send nothing for this long is held off and sends no more. */
    constexpr Milliseconds HeldOffTime { 2000 };
    constexpr Milliseconds PollInterval { 1 };
    constexpr Milliseconds ReplyLimit { 30000 };

    std::optional<http1::ResponseHead> headOf(std::string_view bytes)
    {
        http1::ResponseParser parser;
        std::vector<http1::ResponseEvent> events;
        parser.feed(bytes, events);
        if (events.empty())
            return std::nullopt;
        return std::get<http1::ResponseHead>(events.front());
    }

    /** @return bytes that the kernel holds for the process that accepts connections at a port. */
    size_t unreadBytes(uint16_t port)
    {
        constexpr int Hexadecimal = 16;
        std::ifstream connections("/proc/self/net/tcp");
        size_t unread = 0;
        std::string line;
        std::getline(connections, line);
        while (std::getline(connections, line)) {
            // Fields: number, local IP:PORT, remote IP:PORT, state, unsent:unread bytes.
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            std::string queues;
            fields >> number >> local >> remote >> state >> queues;
            constexpr std::string_view Listening = "0A";
            const std::string localPort = local.substr(local.find(':') + 1);
            if (state != Listening && std::stoul(localPort, nullptr, Hexadecimal) == port)
                unread += std::stoul(queues.substr(queues.find(':') + 1), nullptr, Hexadecimal);
        }
        return unread;
    }

} // namespace

uint32_t CrowdReply::status() const
{
    const std::optional<http1::ResponseHead> head = headOf(bytes);
    return head ? head->status : 0;
}

bool CrowdReply::hasField(std::string_view name) const
{
    const std::optional<http1::ResponseHead> head = headOf(bytes);
    return head && head->headers.find(name);
}

Crowd::Crowd(const fleet::Address& address, size_t size)
    : m_address(address)
    , m_clients(size)
    , m_replies(size)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    for (size_t index = 0; index < size; ++index) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        require(descriptor >= 0, "a crowd stays within the test's own descriptors");
        m_clients[index].descriptor = descriptor;
        m_replies[index].isClosed
            = connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0;
        fcntl(descriptor, F_SETFL, O_NONBLOCK);
    }
}

Crowd::~Crowd()
{
    for (const Client& client : m_clients)
        close(client.descriptor);
}

void Crowd::send(std::string_view bytes, size_t sliceBytes, const std::function<void()>& afterTurn)
{
    for (Client& client : m_clients)
        client.sent = 0;
    SteadyTime progressAt = steadyNow();
    bool isDone = false;
    while (!isDone && steadyNow() - progressAt < HeldOffTime) {
        isDone = true;
        size_t sentInTurn = 0;
        for (size_t index = 0; index < m_clients.size(); ++index) {
            const std::string_view rest = bytes.substr(m_clients[index].sent);
            if (m_replies[index].isClosed || rest.empty())
                continue;
            isDone = false;
            sentInTurn += sendSome(index, rest.substr(0, sliceBytes));
            receiveSome(index);
        }
        if (afterTurn)
            afterTurn();
        if (sentInTurn > 0)
            progressAt = steadyNow();
        else
            std::this_thread::sleep_for(PollInterval);
    }
}

void Crowd::sendRepeated(std::string_view head, std::string_view repeated, size_t totalBytes,
    const std::function<void()>& afterTurn)
{
    send(head, head.size(), afterTurn);
    for (size_t sent = 0; sent < totalBytes; sent += repeated.size())
        send(repeated, repeated.size(), afterTurn);
}

void Crowd::waitUntilRead() const
{
    SteadyTime progressAt = steadyNow();
    size_t before = 0;
    while (const size_t unread = unreadBytes(m_address.port)) {
        if (unread != std::exchange(before, unread))
            progressAt = steadyNow();
        if (steadyNow() - progressAt > HeldOffTime)
            return;
        std::this_thread::sleep_for(PollInterval);
    }
}

std::span<const CrowdReply> Crowd::receiveAll()
{
    const SteadyTime start = steadyNow();
    const auto isPending
        = [](const CrowdReply& reply) { return !reply.isClosed && reply.status() == 0; };
    receive();
    while (steadyNow() - start < ReplyLimit
        && std::any_of(m_replies.begin(), m_replies.end(), isPending)) {
        std::this_thread::sleep_for(PollInterval);
        receive();
    }
    return m_replies;
}

std::span<const CrowdReply> Crowd::receive()
{
    for (size_t index = 0; index < m_clients.size(); ++index)
        receiveSome(index);
    return m_replies;
}

size_t Crowd::sendSome(size_t client, std::string_view bytes)
{
    const ssize_t sent
        = ::send(m_clients[client].descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
        if (errno != EAGAIN)
            m_replies[client].isClosed = true;
        return 0;
    }
    m_clients[client].sent += static_cast<size_t>(sent);
    return static_cast<size_t>(sent);
}

void Crowd::receiveSome(size_t client)
{
    if (!m_isReceiving)
        return;
    std::array<char, MaxKeptBytes> buffer {};
    CrowdReply& reply = m_replies[client];
    const ssize_t size = recv(m_clients[client].descriptor, buffer.data(), buffer.size(), 0);
    if (size > 0)
        reply.bytes.append(
            buffer.data(), std::min(static_cast<size_t>(size), MaxKeptBytes - reply.bytes.size()));
    else if (size == 0 || errno != EAGAIN)
        reply.isClosed = true;
}

} // namespace citronspoke::crowds

#include "ModelFleet.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr int PollTimeoutMs = 50;

    void watch(int poll, int descriptor)
    {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        epoll_ctl(poll, EPOLL_CTL_ADD, descriptor, &event);
    }

} // namespace

ModelFleet::ModelFleet()
    : m_poll(epoll_create1(EPOLL_CLOEXEC))
    , m_thread([this] { run(); })
{
}

ModelFleet::~ModelFleet()
{
    m_isStopping = true;
    m_thread.join();
    for (const auto& [listener, engine] : m_listeners)
        ::close(listener);
    for (const auto& [descriptor, channel] : m_channels)
        ::close(descriptor);
    ::close(m_poll);
}

std::string ModelFleet::start(const std::string& id, const std::string& phase)
{
    uint16_t port = 0;
    const int listener = listenOn(port);
    const std::lock_guard lock(m_mutex);
    m_listeners[listener] = id;
    watch(m_poll, listener);
    return R"({"service":"llm","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"zone-a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,)"
          R"("phase":")"
        + phase + R"(","models":[{"name":"m","version":1,"adapters":[]}],"seq":1})";
}

void ModelFleet::crash(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_listeners, [&id](const auto& item) {
        if (item.second == id)
            ::close(item.first);
        return item.second == id;
    });
    std::erase_if(m_channels, [&id](const auto& item) {
        if (item.second.engine == id)
            ::close(item.first);
        return item.second.engine == id;
    });
}

void ModelFleet::run()
{
    std::array<epoll_event, 64> events {};
    while (!m_isStopping) {
        const int count
            = epoll_wait(m_poll, events.data(), static_cast<int>(events.size()), PollTimeoutMs);
        const std::lock_guard lock(m_mutex);
        for (int index = 0; index < count; ++index) {
            const int descriptor = events[static_cast<size_t>(index)].data.fd;
            if (m_listeners.contains(descriptor))
                acceptAt(descriptor);
            else if (m_channels.contains(descriptor))
                readFrom(descriptor);
        }
    }
}

void ModelFleet::acceptAt(int listener)
{
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
        return;
    m_channels[descriptor] = { m_listeners[listener], {} };
    watch(m_poll, descriptor);
}

void ModelFleet::readFrom(int descriptor)
{
    Channel& channel = m_channels[descriptor];
    std::array<char, 16384> buffer {};
    const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), 0);
    bool isOpen = size > 0;
    if (isOpen)
        channel.received.append(buffer.data(), static_cast<size_t>(size));
    while (isOpen) {
        const std::optional<Request> request = takeRequest(channel.received);
        if (!request)
            return;
        m_answers += 1;
        isOpen = answer(descriptor, *request, m_answers);
    }
    ::close(descriptor);
    m_channels.erase(descriptor);
}

bool ModelFleet::answer(int descriptor, const Request& request, uint64_t number)
{
    ServerConnection connection(descriptor);
    const std::string echo = "X-Attempt-Id: " + request.field("X-Attempt-Id");
    if (request.field("X-Phase") == "prefill") {
        connection.respond(200, { echo, "Content-Type: application/json" },
            R"({"kvHandle":")" + std::to_string(number) + R"(","tokens":120,"version":1})");
    } else if (!request.field("X-Attempt-Id").empty()) {
        connection.respond(200, { echo, "X-Server-Stamp: s", "Content-Type: text/event-stream" },
            "id: 1\ndata: token\n\n");
    } else {
        // A handle is freed.
        connection.respond(200, {}, "");
    }
    return true;
}

} // namespace review

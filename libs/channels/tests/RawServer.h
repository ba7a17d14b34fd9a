#pragma once

#include "channels/Channels.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronspoke::channels::tests {

/** Blocking server on a free loopback port; tests read and write its exact bytes. */
class RawServer {
public:
    RawServer()
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        cr_assert_eq(bind(m_listener, reinterpret_cast<sockaddr*>(&address), size), 0);
        cr_assert_eq(listen(m_listener, 8), 0);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~RawServer() { close(m_listener); }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    fleet::Address address() const { return { "127.0.0.1", m_port }; }
    int acceptOne() const { return accept(m_listener, nullptr, nullptr); }

    /** Reads a request up to the end of its head. */
    static std::string readHead(int connection)
    {
        std::string text;
        char letter = 0;
        while (text.find("\r\n\r\n") == std::string::npos && read(connection, &letter, 1) == 1)
            text.push_back(letter);
        return text;
    }

    static void send(int connection, std::string_view text)
    {
        cr_assert_eq(::send(connection, text.data(), text.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(text.size()));
    }

private:
    int m_listener;
    uint16_t m_port = 0;
};

/** Outcome of one exchange. */
struct Result {
    uint32_t status = 0;
    std::string body;
    std::optional<ExchangeEnd> end;
};

inline Exchange::Handlers collect(EventLoop& loop, Result& result)
{
    Exchange::Handlers handlers;
    handlers.onHead = [&result](const http1::ResponseHead& head) { result.status = head.status; };
    handlers.onBody = [&result](std::string_view bytes) { result.body.append(bytes); };
    handlers.onEnd = [&loop, &result](ExchangeEnd end) {
        result.end = end;
        loop.stop();
    };
    return handlers;
}

} // namespace citronspoke::channels::tests

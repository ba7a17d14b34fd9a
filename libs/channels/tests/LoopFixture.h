#pragma once

#include "channels/Channels.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronspoke::channels::tests {

/** Only a hang lasts this long. */
inline constexpr Milliseconds HangLimit { 5000 };

/** Runs the loop until done is set. */
inline void runUntil(EventLoop& loop, const bool& done)
{
    Timer poll(loop);
    const SteadyTime end = steadyNow() + HangLimit;
    std::function<void()> check = [&] {
        if (done || steadyNow() >= end)
            loop.stop();
        else
            poll.arm(Milliseconds(1), check);
    };
    check();
    loop.run();
    loop.restart();
    cr_assert(done);
}

/** A loopback port that no other process is given while this lives. */
class ReservedPort {
public:
    ReservedPort()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        // Sockets that listen may share the port with this one, which does not.
        const int yes = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        cr_assert_eq(bind(m_socket, reinterpret_cast<sockaddr*>(&address), size), 0);
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~ReservedPort() { close(m_socket); }
    ReservedPort(const ReservedPort&) = delete;
    ReservedPort& operator=(const ReservedPort&) = delete;

    fleet::Address address() const { return { "127.0.0.1", m_port }; }

private:
    int m_socket;
    uint16_t m_port = 0;
};

} // namespace citronspoke::channels::tests

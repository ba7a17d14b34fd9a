#include "PortPicker.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronspoke::localfleet {

namespace {

    constexpr uint16_t FirstPort = 20000;
    constexpr uint16_t PortSpan = 12000;
    constexpr uint16_t PortBlock = 100;

    bool isFree(uint16_t port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool bound
            = bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(socket);
        return bound;
    }

} // namespace

PortPicker::PortPicker()
    : m_last(static_cast<uint16_t>(FirstPort + getpid() % (PortSpan / PortBlock) * PortBlock))
{
}

uint16_t PortPicker::pick()
{
    do {
        m_last = m_last + 1 >= FirstPort + PortSpan ? FirstPort : m_last + 1;
    } while (!isFree(m_last));
    return m_last;
}

} // namespace citronspoke::localfleet

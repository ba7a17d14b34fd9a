#include "PortPicker.h"

#include "ChildProcess.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronspoke::localfleet {

namespace {

    constexpr uint16_t FirstPort = 20000;
    constexpr uint16_t BlockCount = 120;
    constexpr uint16_t PortsPerBlock = 100;

    /** @return a socket bound to the port; negative when the port is taken. */
    int bindSocket(uint16_t port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return socket;
        close(socket);
        return -1;
    }

    bool isFree(uint16_t port)
    {
        const int socket = bindSocket(port);
        if (socket < 0)
            return false;
        close(socket);
        return true;
    }

} // namespace

PortPicker::PortPicker() { reserveBlock(); }

PortPicker::~PortPicker()
{
    for (const int guard : m_guards)
        close(guard);
}

uint16_t PortPicker::pick()
{
    do {
        m_last += 1;
        if (m_last == m_blockEnd)
            reserveBlock();
    } while (!isFree(m_last));
    return m_last;
}

// The first port of a block is bound for as long as the block is in use, by this process or
// another.
void PortPicker::reserveBlock()
{
    const uint16_t first = static_cast<uint16_t>(getpid() % BlockCount);
    for (uint16_t step = 0; step < BlockCount; ++step) {
        const uint16_t guardPort
            = static_cast<uint16_t>(FirstPort + (first + step) % BlockCount * PortsPerBlock);
        const int guard = bindSocket(guardPort);
        if (guard < 0)
            continue;
        m_guards.push_back(guard);
        m_last = guardPort;
        m_blockEnd = static_cast<uint16_t>(guardPort + PortsPerBlock);
        return;
    }
    throw FleetFailed("All blocks of ports are in use.");
}

} // namespace citronspoke::localfleet

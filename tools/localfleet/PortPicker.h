#pragma once

#include <cstdint>
#include <vector>

namespace citronspoke::localfleet {

/**
 * Picks free TCP ports of the loopback address below the kernel's ephemeral port range. An outgoing
 * connection can therefore not occupy the port of a process while that process restarts. Ports come
 * from blocks that no other picker on the machine uses, also not one of another process.
 */
class PortPicker {
public:
    /** @throws FleetFailed when all blocks are in use. */
    PortPicker();
    ~PortPicker();
    PortPicker(const PortPicker&) = delete;
    PortPicker& operator=(const PortPicker&) = delete;

    /**
     * @return a port that was free when checked and that no other picker gives out.
     * @throws FleetFailed when all blocks are in use.
     */
    uint16_t pick();

private:
    void reserveBlock();

    uint16_t m_last = 0;
    uint16_t m_blockEnd = 0;
    /** Sockets that keep the blocks reserved. */
    std::vector<int> m_guards;
};

} // namespace citronspoke::localfleet

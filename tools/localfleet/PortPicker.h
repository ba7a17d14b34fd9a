#pragma once

#include <cstdint>

namespace citronspoke::localfleet {

/**
 * Picks free TCP ports of the loopback address below the kernel's ephemeral port range. An outgoing
 * connection can therefore not occupy the port of a process while that process restarts.
 */
class PortPicker {
public:
    /** Starts at a block chosen by the process id, so that concurrent processes rarely collide. */
    PortPicker();
    /** @return a port that was free when checked; it is not reserved. */
    uint16_t pick();

private:
    uint16_t m_last;
};

} // namespace citronspoke::localfleet

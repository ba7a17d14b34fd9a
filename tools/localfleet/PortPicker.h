#pragma once

#include <cstdint>

namespace citronspoke::localfleet {

/**
 * Picks free ports below the range from which the system takes those of outgoing connections, so
 * that a process that starts again finds its port still free.
 */
class PortPicker {
public:
    /** Processes with neighbouring ids pick from different blocks. */
    PortPicker();
    uint16_t pick();

private:
    uint16_t m_last;
};

} // namespace citronspoke::localfleet

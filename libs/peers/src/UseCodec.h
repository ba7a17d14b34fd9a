#pragma once

#include "peers/Peers.h"

namespace citronspoke::peers {

/** @return whether the datagram is a report of engine time. */
bool isUseReport(std::string_view datagram) noexcept;
/** @throws UpdateUnreadable when the datagram is not an encoded report of engine time. */
shares::UseReport decodeUseReport(std::string_view datagram);

} // namespace citronspoke::peers

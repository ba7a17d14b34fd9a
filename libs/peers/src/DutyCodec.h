#pragma once

#include "Pack.h"
#include "peers/Peers.h"

namespace citronspoke::peers {

/** @return whether a message of this kind is about duties. */
bool isDutyKind(uint8_t kind);
/** @throws UpdateUnreadable, or an exception of msgpack. */
Message decodeDutyMessage(uint8_t kind, const msgpack::object& object);

} // namespace citronspoke::peers

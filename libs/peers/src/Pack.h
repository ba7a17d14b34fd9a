#pragma once

#include "peers/Peers.h"

#include <msgpack.hpp>

namespace citronspoke::peers {

/** @return the tuple as a MessagePack array. */
template <typename Tuple> std::string pack(const Tuple& tuple)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, tuple);
    return std::string(buffer.data(), buffer.size());
}

/** @throws UpdateUnreadable when the array is shorter than the tuple. */
template <typename Tuple> Tuple unpackArray(const msgpack::object& object)
{
    // The conversion alone would leave missing elements empty.
    if (object.via.array.size < std::tuple_size_v<Tuple>)
        throw UpdateUnreadable();
    return object.as<Tuple>();
}

} // namespace citronspoke::peers

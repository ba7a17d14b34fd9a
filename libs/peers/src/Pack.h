#pragma once

#include <msgpack.hpp>

namespace citronspoke::peers {

/** @return the tuple as a MessagePack array. */
template <typename Tuple> std::string pack(const Tuple& tuple)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, tuple);
    return std::string(buffer.data(), buffer.size());
}

} // namespace citronspoke::peers

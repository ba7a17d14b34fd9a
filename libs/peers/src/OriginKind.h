#pragma once

#include <cstdint>
#include <string_view>

namespace citronspoke::peers {

/**
 * The kind of a message about the origins of streams. Updates and role requests begin with a text
 * instead.
 */
enum class OriginKind : uint8_t { Note = 1, Query = 2, Reply = 3, Batch = 4 };

/**
 * @return whether the datagram is a short array that begins with a small number. Updates, which are
 *         much more frequent, are not decoded twice to find out.
 */
inline bool isOriginMessage(std::string_view datagram)
{
    constexpr uint8_t ShortArray = 0x90;
    constexpr uint8_t TypeMask = 0xf0;
    constexpr uint8_t LargestSmallNumber = 0x7f;
    return datagram.size() > 1 && (static_cast<uint8_t>(datagram[0]) & TypeMask) == ShortArray
        && static_cast<uint8_t>(datagram[1]) <= LargestSmallNumber;
}

} // namespace citronspoke::peers

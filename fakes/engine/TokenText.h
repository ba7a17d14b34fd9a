#pragma once

#include "model/Model.h"

namespace citronspoke::fakes {

/** @return the text of output token @p offset for a prompt; the same on every engine. */
inline std::string tokenText(uint64_t promptHash, uint32_t offset)
{
    constexpr uint64_t Vocabulary = 9973;
    return " t" + std::to_string((promptHash + offset) % Vocabulary);
}

} // namespace citronspoke::fakes

#pragma once

#include "platform/Platform.h"

/** Operations of the in-process store. range throws StoreUnavailable. */
namespace citronspoke::platform::memory {

/** @param rangeEnd the first key behind the range; empty to read the single key. */
std::map<std::string, Entry> range(
    MemoryBackend& backend, std::string_view key, std::string_view rangeEnd);
WriteOutcome swap(
    MemoryBackend& backend, std::string_view key, Revision expected, std::string_view value);

} // namespace citronspoke::platform::memory

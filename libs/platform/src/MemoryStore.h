#pragma once

#include "platform/Platform.h"

/** Operations of the store that lives inside the process. */
namespace citronspoke::platform::memory {

std::map<std::string, Entry> range(
    MemoryBackend& backend, std::string_view key, std::string_view rangeEnd);
WriteOutcome swap(
    MemoryBackend& backend, std::string_view key, Revision expected, std::string_view value);

} // namespace citronspoke::platform::memory

#include "MemoryStore.h"

namespace citronspoke::platform::memory {

std::map<std::string, Entry> range(
    MemoryBackend& backend, std::string_view key, std::string_view rangeEnd)
{
    std::lock_guard lock(backend.mutex);
    if (backend.isDown)
        throw StoreUnavailable("range");
    std::map<std::string, Entry> found;
    for (const auto& [name, entry] : backend.entries) {
        const bool matches = rangeEnd.empty() ? name == key : name >= key && name < rangeEnd;
        if (matches)
            found[name] = entry;
    }
    return found;
}

WriteOutcome swap(
    MemoryBackend& backend, std::string_view key, Revision expected, std::string_view value)
{
    std::lock_guard lock(backend.mutex);
    if (backend.isDown)
        return OutcomeUnknown {};
    const auto found = backend.entries.find(std::string(key));
    const Revision current = found == backend.entries.end() ? AbsentKey : found->second.revision;
    if (current != expected)
        return Conflict {};
    Entry& entry = backend.entries[std::string(key)];
    backend.writes += 1;
    backend.revision += 1;
    entry = { std::string(value), Revision(backend.revision) };
    if (backend.answersToLose > 0) {
        backend.answersToLose -= 1;
        return OutcomeUnknown {};
    }
    return Committed { entry.revision };
}

} // namespace citronspoke::platform::memory

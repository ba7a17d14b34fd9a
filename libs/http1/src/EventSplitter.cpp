#include "http1/Http1.h"

#include <algorithm>
#include <charconv>

namespace citronspoke::http1 {

namespace {

    constexpr std::string_view EventEnd = "\n\n";
    constexpr std::string_view IdField = "id:";
    constexpr size_t LargePendingBytes = 4096;

    std::optional<uint64_t> idOf(std::string_view event)
    {
        size_t start = 0;
        while (start < event.size()) {
            const size_t end = std::min(event.find('\n', start), event.size());
            std::string_view line = event.substr(start, end - start);
            start = end + 1;
            if (!line.starts_with(IdField))
                continue;
            line.remove_prefix(IdField.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            uint64_t id = 0;
            const std::from_chars_result result
                = std::from_chars(line.data(), line.data() + line.size(), id);
            if (result.ec == std::errc())
                return id;
        }
        return std::nullopt;
    }

} // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    // What was pending before has no end of an event, except for the first part of one.
    const size_t searchedBytes = m_pending.size() - std::min(m_pending.size(), EventEnd.size() - 1);
    m_pending.append(bytes);
    std::vector<StreamEvent> events;
    size_t start = 0;
    for (size_t end = m_pending.find(EventEnd, searchedBytes); end != std::string::npos;
         end = m_pending.find(EventEnd, start)) {
        const size_t next = end + EventEnd.size();
        StreamEvent event { m_pending.substr(start, next - start), std::nullopt };
        event.id = idOf(event.bytes);
        events.push_back(std::move(event));
        start = next;
    }
    m_pending.erase(0, start);
    // A large event must not leave its memory to the small ones that follow.
    if (!events.empty() && m_pending.capacity() > LargePendingBytes)
        m_pending.shrink_to_fit();
    return events;
}

size_t EventSplitter::memoryBytes() const noexcept
{
    return m_pending.empty() ? 0 : m_pending.capacity();
}

} // namespace citronspoke::http1

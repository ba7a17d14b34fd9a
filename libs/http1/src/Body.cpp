#include "http1/Http1.h"

#include <algorithm>

namespace citronspoke::http1 {

namespace {

    constexpr size_t MaxBlockBytes = size_t { 64 } << 10;

} // namespace

void Body::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == m_blocks.back().capacity()) {
            // Blocks grow with the body, whose later size is not known.
            m_blocks.emplace_back();
            m_blocks.back().reserve(std::min(std::max(m_size, bytes.size()), MaxBlockBytes));
            m_memoryBytes += sizeof(std::string) + m_blocks.back().capacity();
        }
        std::string& block = m_blocks.back();
        const std::string_view part = bytes.substr(0, block.capacity() - block.size());
        block.append(part);
        m_size += part.size();
        bytes.remove_prefix(part.size());
    }
}

std::string Body::text() const
{
    std::string text;
    text.reserve(m_size);
    for (const std::string& block : m_blocks)
        text += block;
    return text;
}

} // namespace citronspoke::http1

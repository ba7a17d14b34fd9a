#include "http1/Http1.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace citronspoke::http1 {

namespace {

    constexpr std::array<std::string_view, 9> ConnectionFields { "connection", "keep-alive",
        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
        "transfer-encoding", "upgrade" };

    bool isSameIgnoringCase(char left, char right)
    {
        return std::tolower(static_cast<unsigned char>(left))
            == std::tolower(static_cast<unsigned char>(right));
    }

    std::vector<std::string> namesListedInConnection(const Headers& headers)
    {
        std::vector<std::string> names;
        for (const Header& header : headers.entries()) {
            if (!equalsIgnoringCase(header.name, "connection"))
                continue;
            std::string name;
            for (const char letter : header.value + ",") {
                if (letter != ',' && letter != ' ' && letter != '\t')
                    name.push_back(letter);
                else if (letter == ',' && !name.empty())
                    names.push_back(std::exchange(name, {}));
            }
        }
        return names;
    }

} // namespace

std::string MessageRejected::describe() const
{
    switch (m_fault) {
    case ParseFault::Malformed:
        return "The peer sent bytes that are not HTTP/1.1.";
    case ParseFault::HeadTooLarge:
        return "The head of the message is larger than allowed.";
    case ParseFault::BodyTooLarge:
        return "The body of the message is larger than allowed.";
    }
    return {};
}

namespace {

    /** @return bytes that a string takes beside its object; short ones are within it. */
    size_t heapBytes(const std::string& text)
    {
        static const size_t innerCapacity = std::string().capacity();
        return text.capacity() > innerCapacity ? text.capacity() + 1 : 0;
    }

} // namespace

size_t Headers::memoryBytes() const noexcept
{
    size_t bytes = m_entries.capacity() * sizeof(Header);
    for (const Header& header : m_entries)
        bytes += heapBytes(header.name) + heapBytes(header.value);
    return bytes;
}

size_t RequestHead::memoryBytes() const noexcept
{
    return heapBytes(method) + heapBytes(target) + headers.memoryBytes();
}

size_t ResponseHead::memoryBytes() const noexcept
{
    return heapBytes(reason) + headers.memoryBytes();
}

bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), isSameIgnoringCase);
}

void Headers::add(std::string_view name, std::string_view value)
{
    m_entries.push_back({ std::string(name), std::string(value) });
}

void Headers::remove(std::string_view name)
{
    std::erase_if(
        m_entries, [name](const Header& header) { return equalsIgnoringCase(header.name, name); });
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const Header& header : m_entries) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

size_t Headers::count(std::string_view name) const
{
    return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [name](const Header& header) { return equalsIgnoringCase(header.name, name); }));
}

void removeConnectionFields(Headers& headers)
{
    const std::vector<std::string> named = namesListedInConnection(headers);
    for (const std::string_view name : ConnectionFields)
        headers.remove(name);
    for (const std::string& name : named)
        headers.remove(name);
}

namespace {

    std::string composeHead(std::string startLine, const Headers& headers)
    {
        for (const Header& header : headers.entries())
            startLine.append(header.name).append(": ").append(header.value).append("\r\n");
        return startLine.append("\r\n");
    }

} // namespace

std::string composeRequest(std::string_view method, std::string_view target, const Headers& headers)
{
    std::string startLine(method);
    startLine.append(" ").append(target).append(" HTTP/1.1\r\n");
    return composeHead(std::move(startLine), headers);
}

std::string composeResponse(uint32_t status, std::string_view reason, const Headers& headers)
{
    std::string startLine = "HTTP/1.1 " + std::to_string(status);
    startLine.append(" ").append(reason).append("\r\n");
    return composeHead(std::move(startLine), headers);
}

std::string composeChunk(std::string_view bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string size;
    for (size_t rest = bytes.size(); rest > 0; rest /= Digits.size())
        size.insert(size.begin(), Digits[rest % Digits.size()]);
    return size.append("\r\n").append(bytes).append("\r\n");
}

} // namespace citronspoke::http1

#include "fleet/Fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace citronspoke::fleet {

namespace {

    bool isIp(const std::string& text)
    {
        in6_addr bytes {};
        return inet_pton(AF_INET, text.c_str(), &bytes) == 1
            || inet_pton(AF_INET6, text.c_str(), &bytes) == 1;
    }

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    Address address;
    address.ip = text.substr(0, colon);
    // Text may contain a zero byte, at which the check would end.
    if (address.ip.find('\0') != std::string::npos || !isIp(address.ip))
        return std::nullopt;
    const std::string_view port = text.substr(colon + 1);
    const std::from_chars_result result
        = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (result.ec != std::errc() || result.ptr != port.data() + port.size() || address.port == 0)
        return std::nullopt;
    return address;
}

Address requireAddress(std::string_view text)
{
    const std::optional<Address> address = parseAddress(text);
    require(address.has_value(), "the address has the form IP:PORT");
    return *address;
}

CallerLimits widest(const CallerLimits& left, const CallerLimits& right)
{
    return { std::max(left.headBytes, right.headBytes), std::max(left.bodyBytes, right.bodyBytes),
        std::max(left.headTimeout, right.headTimeout),
        std::max(left.idleTimeout, right.idleTimeout) };
}

const PoolTraits* Declaration::pool(const PoolId& id) const
{
    const auto found = std::find_if(
        pools.begin(), pools.end(), [&id](const PoolTraits& pool) { return pool.id == id; });
    return found == pools.end() ? nullptr : &*found;
}

} // namespace citronspoke::fleet

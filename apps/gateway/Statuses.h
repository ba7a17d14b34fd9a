#pragma once

#include <cstdint>

/** HTTP status codes of the gateway's own responses. */
namespace citronspoke::gateway {

inline constexpr uint32_t BadRequest = 400;
inline constexpr uint32_t Unauthorized = 401;
inline constexpr uint32_t NotFound = 404;
inline constexpr uint32_t BadGateway = 502;
inline constexpr uint32_t Unavailable = 503;
inline constexpr uint32_t GatewayTimeout = 504;

} // namespace citronspoke::gateway

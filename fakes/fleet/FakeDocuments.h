#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace citronspoke::fakes {

/** The host name of all routes. */
inline constexpr std::string_view RouteHost = "site.example";

/** The fields of a fake route that tests vary. */
struct RouteOptions {
    std::string kind = "idempotent";
    std::string service = "app";
    /** Limit for a request of this route, in milliseconds. */
    int timeoutMs = 3000;
    /** Attempts per request, the first one included. */
    int attempts = 2;
    bool isResumable = false;
    bool carriesPrompts = false;
};

/** @return a route in the JSON form that operators write. */
nlohmann::json routeDocument(const std::string& prefix, const RouteOptions& options);
/** @return a declaration with these routes, the application pool "app" and the engine pool "llm".
 */
std::string declarationText(int version, const nlohmann::json& routes);

/**
 * @param role empty for an application.
 * @return a target record in the JSON form that targets write.
 */
std::string entryText(const std::string& service, const std::string& address,
    const std::string& role, const std::string& state = "ready");

} // namespace citronspoke::fakes

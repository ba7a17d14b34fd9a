#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace citronspoke::fakes {

/** The host name of all routes. */
inline constexpr std::string_view RouteHost = "site.example";

/** What a route of the fake declaration may set. */
struct RouteOptions {
    std::string kind = "idempotent";
    std::string service = "app";
    int timeoutMs = 3000;
    int attempts = 2;
    bool isResumable = false;
    bool carriesPrompts = false;
};

/** @return a route as the operators write it. */
nlohmann::json routeDocument(const std::string& prefix, const RouteOptions& options);
/** @return a declaration with these routes, the pool "app" and the pool of engines "llm". */
std::string declarationText(int version, const nlohmann::json& routes);

/** @param role empty for an application. @return an entry as targets write it. */
std::string entryText(const std::string& service, const std::string& address,
    const std::string& role, const std::string& state = "ready");

} // namespace citronspoke::fakes

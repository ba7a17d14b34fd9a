#pragma once

#include <map>
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
    bool isPublic = false;
    /** Weights by service; takes the place of the one service. */
    std::map<std::string, int> split {};
};

/** @return a route in the JSON form that operators write. */
nlohmann::json routeDocument(const std::string& prefix, const RouteOptions& options);
/** @return a declaration with these routes, the application pool "app" and the engine pool "llm".
 */
std::string declarationText(int version, const nlohmann::json& routes);

/** The fields of a fake target record that tests vary. */
struct EntryOptions {
    std::string service = "app";
    /** "IP:PORT". */
    std::string address;
    /** Empty for an application. */
    std::string role;
    std::string state = "ready";
    /** Of the target's software; empty leaves the field out. */
    std::string version = "v1";
    /** Milliseconds since 1970; 0 leaves the field out. */
    int64_t startedAt = 0;
};

/** @return a target record in the JSON form that targets write. */
std::string entryText(const EntryOptions& options);

} // namespace citronspoke::fakes

#include "FakeDocuments.h"

namespace citronspoke::fakes {

using Json = nlohmann::json;

Json routeDocument(const std::string& prefix, const RouteOptions& options)
{
    Json route { { "name", "r" + prefix }, { "hostname", RouteHost }, { "pathPrefix", prefix },
        { "routeKind", options.kind }, { "timeoutMs", options.timeoutMs },
        { "targetLatencyMs", 500 }, { "priority", 1 }, { "maxAttempts", options.attempts },
        { "sticky", options.carriesPrompts }, { "resumable", options.isResumable },
        { "public", options.isPublic }, { "targetGapMs", 300 } };
    if (options.split.empty())
        route["service"] = options.service;
    for (const auto& [service, weight] : options.split)
        route["trafficSplit"].push_back({ { "service", service }, { "weight", weight } });
    return route;
}

std::string declarationText(int version, const Json& routes)
{
    const Json engine { { "slots", 64 }, { "kvCapacity", 400000 }, { "kvBytes", 18432 },
        { "kvHoldS", 5.0 }, { "switchS", 3.0 } };
    const Json services { { { "name", "app" }, { "healthPath", "/healthz" }, { "maxConns", 100 } },
        { { "name", "llm" }, { "healthPath", "/healthz" }, { "maxConns", 100 },
            { "engine", engine } } };
    const Json limits { { "maxHeaderBytes", 4096 }, { "maxBodyBytes", 65536 },
        { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    return Json {
        { "version", version }, { "routes", routes }, { "services", services }, { "limits", limits }
    }.dump();
}

std::string entryText(const EntryOptions& options)
{
    Json entry { { "service", options.service }, { "address", options.address },
        { "zone", "zone-a" }, { "slots", 4 }, { "state", options.state }, { "seq", 1 } };
    if (!options.role.empty())
        entry["phase"] = options.role;
    if (!options.version.empty())
        entry["version"] = options.version;
    if (options.startedAt != 0)
        entry["born"] = options.startedAt;
    return entry.dump();
}

} // namespace citronspoke::fakes

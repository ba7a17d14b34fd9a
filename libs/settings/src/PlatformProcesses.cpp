#include "Schema.h"

#include <array>
#include <cmath>
#include <cstdlib>

namespace citronspoke::settings {

namespace {

    constexpr double MsPerSecond = 1000;

    constexpr std::array<KeyRule, 11> GatewayRules {
        KeyRule { "", "id", ValueKind::Text, true },
        KeyRule { "", "zone", ValueKind::Text, true },
        KeyRule { "", "callers", ValueKind::Address, true },
        KeyRule { "", "readiness", ValueKind::Address, true },
        KeyRule { "", "operator", ValueKind::Address, true },
        KeyRule { "", "store", ValueKind::Address, true },
        KeyRule { "", "stop_grace_s", ValueKind::Real, true, 0.1, 3600 },
        KeyRule { "", "retry_share", ValueKind::Real, true, 0, 10 },
        KeyRule { "", "retry_fixed_part", ValueKind::Real, true, 0, 1e6 },
        KeyRule { "", "retry_window_s", ValueKind::Real, true, 0.1, 3600 },
        KeyRule { "", "first_start", ValueKind::Flag, false },
    };

    constexpr std::array<KeyRule, 5> SidecarRules {
        KeyRule { "", "id", ValueKind::Text, true },
        KeyRule { "", "zone", ValueKind::Text, true },
        KeyRule { "", "engine", ValueKind::Address, true },
        KeyRule { "", "operator", ValueKind::Address, true },
        KeyRule { "", "store", ValueKind::Address, true },
    };

    Milliseconds seconds(const Reader& reader, std::string_view key)
    {
        return Milliseconds(std::llround(reader.real(key, 0) * MsPerSecond));
    }

} // namespace

std::string settingsPath(std::string_view flag)
{
    if (!flag.empty())
        return std::string(flag);
    const char* path = std::getenv("CITRONSPOKE_SETTINGS");
    return path ? path : "/etc/citronspoke/settings.conf";
}

GatewaySettings parseGatewaySettings(const SourceFile& file)
{
    const Document document(std::span(&file, 1), GatewayRules);
    document.throwIfInvalid();
    const Reader reader(document.root());
    GatewaySettings gateway;
    gateway.id = reader.text("id");
    gateway.zone = ZoneId(reader.text("zone"));
    gateway.callers = reader.text("callers");
    gateway.readiness = reader.text("readiness");
    gateway.operatorAddress = reader.text("operator");
    gateway.store = reader.text("store");
    gateway.stopGrace = seconds(reader, "stop_grace_s");
    gateway.retries.share = reader.real("retry_share", 0);
    gateway.retries.fixedPart = reader.real("retry_fixed_part", 0);
    gateway.retries.window = seconds(reader, "retry_window_s");
    gateway.isFirstStart = reader.flag("first_start", false);
    return gateway;
}

SidecarSettings parseSidecarSettings(const SourceFile& file)
{
    const Document document(std::span(&file, 1), SidecarRules);
    document.throwIfInvalid();
    const Reader reader(document.root());
    SidecarSettings sidecar;
    sidecar.id = reader.text("id");
    sidecar.zone = ZoneId(reader.text("zone"));
    sidecar.engine = reader.text("engine");
    sidecar.operatorAddress = reader.text("operator");
    sidecar.store = reader.text("store");
    return sidecar;
}

} // namespace citronspoke::settings

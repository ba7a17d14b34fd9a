#include "Schema.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>

namespace citronspoke::settings {

namespace {

    constexpr double MsPerSecond = 1000;

    constexpr std::array<KeyRule, 27> GatewayRules {
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
        KeyRule { "", "apply_time_ms", ValueKind::Integer, true, 100, 3600000 },
        KeyRule { "", "drain_time_ms", ValueKind::Integer, true, 100, 3600000 },
        KeyRule { "", "limit_notice_ms", ValueKind::Integer, true, 0, 3600000 },
        KeyRule { "", "sidecar_port", ValueKind::Integer, true, 1, 65535 },
        KeyRule { "", "revoke_fail_closed", ValueKind::Flag, false },
        KeyRule { "", "revoke_time_ms", ValueKind::Integer, false, 0, 3600000 },
        KeyRule { "", "first_start", ValueKind::Flag, false },
        KeyRule { "", "platform_api", ValueKind::Address, false },
        KeyRule { "", "duties", ValueKind::Names, false },
        KeyRule { "", "duty_rate", ValueKind::Real, false, 0.1, 1e6 },
        KeyRule { "", "lease_time_ms", ValueKind::Integer, false, 500, 3600000 },
        KeyRule { "", "usage_window_s", ValueKind::Real, false, 0.1, 3600 },
        KeyRule { "", "usage_delay_s", ValueKind::Real, false, 0.1, 3600 },
        KeyRule { "", "clock_skew_ms", ValueKind::Integer, false, 0, 3600000 },
        KeyRule { "", "even_load", ValueKind::Flag, false },
        KeyRule { "", "memory_mb", ValueKind::Integer, false, 32, 1 << 20 },
        KeyRule { "", "max_descriptors", ValueKind::Integer, false, 128, 1 << 20 },
    };

    constexpr std::array<KeyRule, 6> SidecarRules {
        KeyRule { "", "id", ValueKind::Text, true },
        KeyRule { "", "zone", ValueKind::Text, true },
        KeyRule { "", "engine", ValueKind::Address, true },
        KeyRule { "", "operator", ValueKind::Address, true },
        KeyRule { "", "memory_mb", ValueKind::Integer, false, 32, 1 << 20 },
        KeyRule { "", "max_descriptors", ValueKind::Integer, false, 128, 1 << 20 },
    };

    /** Reads the settings that the gateway and the sidecar have in common. */
    template <typename Settings> void readCommon(const TableReader& reader, Settings& settings)
    {
        settings.id = reader.text("id");
        settings.zone = ZoneId(reader.text("zone"));
        settings.operatorAddress = reader.text("operator");
        settings.process.memoryMb = reader.number<size_t>("memory_mb", settings.process.memoryMb);
        settings.process.descriptors
            = reader.number<size_t>("max_descriptors", settings.process.descriptors);
    }

    /** @return the value of a key given in seconds. */
    Milliseconds readSeconds(
        const TableReader& reader, std::string_view key, Milliseconds defaultValue = {})
    {
        const double seconds
            = reader.real(key, static_cast<double>(defaultValue.count()) / MsPerSecond);
        return Milliseconds(std::llround(seconds * MsPerSecond));
    }

    /** @return the names in a list joined by commas. */
    std::set<std::string> namesIn(std::string_view list)
    {
        std::set<std::string> names;
        while (!list.empty()) {
            const size_t end = std::min(list.find(','), list.size());
            std::string_view name = list.substr(0, end);
            list.remove_prefix(std::min(end + 1, list.size()));
            name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
            name = name.substr(0, name.find_last_not_of(' ') + 1);
            if (!name.empty())
                names.emplace(name);
        }
        return names;
    }

    DutySettings readDuties(const TableReader& reader)
    {
        DutySettings duties;
        duties.platformApi = reader.text("platform_api");
        duties.duties = namesIn(reader.text("duties"));
        duties.callsPerSecond = reader.real("duty_rate", duties.callsPerSecond);
        duties.leaseTime
            = Milliseconds(reader.number<int64_t>("lease_time_ms", duties.leaseTime.count()));
        duties.usageWindow = readSeconds(reader, "usage_window_s", duties.usageWindow);
        duties.usageDelay = readSeconds(reader, "usage_delay_s", duties.usageDelay);
        duties.clockSkew
            = Milliseconds(reader.number<int64_t>("clock_skew_ms", duties.clockSkew.count()));
        return duties;
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
    const TomlDocument document(std::span(&file, 1), GatewayRules);
    document.throwIfInvalid();
    const TableReader reader(document.root());
    GatewaySettings gateway;
    readCommon(reader, gateway);
    gateway.store = reader.text("store");
    gateway.sidecarPort = reader.number<uint16_t>("sidecar_port", 0);
    gateway.callers = reader.text("callers");
    gateway.readiness = reader.text("readiness");
    gateway.stopGrace = readSeconds(reader, "stop_grace_s");
    gateway.applyTime = Milliseconds(reader.number<int64_t>("apply_time_ms", 0));
    gateway.drainTime = Milliseconds(reader.number<int64_t>("drain_time_ms", 0));
    gateway.limitNoticeTime = Milliseconds(reader.number<int64_t>("limit_notice_ms", 0));
    gateway.retries.share = reader.real("retry_share", 0);
    gateway.retries.fixedPart = reader.real("retry_fixed_part", 0);
    gateway.retries.window = readSeconds(reader, "retry_window_s");
    gateway.refusesUnconfirmedKeys = reader.flag("revoke_fail_closed", false);
    gateway.revokeTime
        = Milliseconds(reader.number<int64_t>("revoke_time_ms", gateway.revokeTime.count()));
    gateway.isFirstStart = reader.flag("first_start", false);
    gateway.duties = readDuties(reader);
    gateway.hasEvenLoad = reader.flag("even_load", false);
    return gateway;
}

SidecarSettings parseSidecarSettings(const SourceFile& file)
{
    const TomlDocument document(std::span(&file, 1), SidecarRules);
    document.throwIfInvalid();
    const TableReader reader(document.root());
    SidecarSettings sidecar;
    readCommon(reader, sidecar);
    sidecar.engine = reader.text("engine");
    return sidecar;
}

} // namespace citronspoke::settings

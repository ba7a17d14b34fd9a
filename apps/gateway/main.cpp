#include "Gateway.h"
#include "Program.h"
#include "telemetry/Telemetry.h"

#include <array>
#include <csignal>
#include <optional>

namespace {

using namespace citronspoke;

// An invalid file must not end a running gateway; its current settings stay in force.
void reload(gateway::Gateway& gateway, const std::string& path)
{
    try {
        gateway.reload(settings::parseGatewaySettings(settings::readFile(path)));
    } catch (const Error& error) {
        telemetry::logError("gateway", "Kept the current settings; the settings file is invalid.",
            { { "cause", error.describe() } });
    }
}

void serve(const std::string& path)
{
    // Signals are registered before the settings are read, so that no change to the file is missed;
    // they are handled once the loop runs.
    channels::EventLoop loop;
    // Declared before the gateway, which uses them until it is destroyed.
    settings::GatewaySettings settings;
    std::optional<gateway::Gateway> gateway;
    constexpr std::array<int, 3> Signals { SIGTERM, SIGINT, SIGHUP };
    loop.onSignals(Signals, [&gateway, &path](int signal) {
        if (signal == SIGHUP)
            reload(*gateway, path);
        else
            gateway->beginStop();
    });
    settings = settings::parseGatewaySettings(settings::readFile(path));
    gateway.emplace(loop, settings);
    gateway->start();
    telemetry::logInfo("gateway", "Started.",
        { { "id", settings.id }, { "callers", settings.callers }, { "store", settings.store },
            { "memory_mb", std::to_string(settings.process.memoryMb) },
            { "max_descriptors", std::to_string(settings.process.descriptors) } });
    loop.run();
}

} // namespace

int main(int argc, char** argv) { return citronspoke::runProgram(argc, argv, "gateway", serve); }

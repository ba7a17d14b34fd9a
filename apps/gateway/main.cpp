#include "Gateway.h"
#include "Program.h"
#include "telemetry/Telemetry.h"

#include <array>
#include <csignal>
#include <optional>

namespace {

using namespace citronspoke;

// A file that is wrong must not end a gateway that serves; what it had stays in force.
void reload(gateway::Gateway& gateway, const std::string& path)
{
    try {
        gateway.reload(settings::parseGatewaySettings(settings::readFile(path)));
    } catch (const Error& error) {
        telemetry::logError(
            "gateway", "Kept the settings; the file is wrong.", { { "cause", error.describe() } });
    }
}

void serve(const std::string& path)
{
    // Signals are taken before the settings are read, so that no change of theirs is missed; they
    // are handled once the loop runs.
    channels::EventLoop loop;
    std::optional<gateway::Gateway> gateway;
    constexpr std::array<int, 3> Signals { SIGTERM, SIGINT, SIGHUP };
    loop.onSignals(Signals, [&gateway, &path](int signal) {
        if (signal == SIGHUP)
            reload(*gateway, path);
        else
            gateway->beginStop();
    });
    const settings::GatewaySettings settings
        = settings::parseGatewaySettings(settings::readFile(path));
    gateway.emplace(loop, settings);
    gateway->start();
    telemetry::logInfo("gateway", "Started.",
        { { "id", settings.id }, { "callers", settings.callers }, { "store", settings.store } });
    loop.run();
}

} // namespace

int main(int argc, char** argv) { return citronspoke::runProgram(argc, argv, "gateway", serve); }

#include "Gateway.h"
#include "telemetry/Telemetry.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <array>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "The process's settings file (TOML).");
ABSL_FLAG(bool, verbose, false, "Log debug messages too.");

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
    const settings::GatewaySettings settings
        = settings::parseGatewaySettings(settings::readFile(path));
    channels::EventLoop loop;
    gateway::Gateway gateway(loop, settings);
    constexpr std::array<int, 3> Signals { SIGTERM, SIGINT, SIGHUP };
    loop.onSignals(Signals, [&gateway, &path](int signal) {
        if (signal == SIGHUP)
            reload(gateway, path);
        else
            gateway.beginStop();
    });
    gateway.start();
    telemetry::logInfo("gateway", "Started.",
        { { "id", settings.id }, { "callers", settings.callers }, { "store", settings.store } });
    loop.run();
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("The citronspoke gateway on an entry VM.\n"
                                 "  citronspoke-gateway --settings=FILE\n"
                                 "Without the flag, CITRONSPOKE_SETTINGS names the file.");
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::configureLogging(absl::GetFlag(FLAGS_verbose));
    int status = 0;
    try {
        serve(settings::settingsPath(absl::GetFlag(FLAGS_settings)));
    } catch (const Error& error) {
        telemetry::logError("gateway", "Ended by a failure.", { { "cause", error.describe() } });
        std::cerr << "citronspoke-gateway: " << error.describe() << '\n';
        status = 1;
    }
    telemetry::finishLogging();
    return status;
}

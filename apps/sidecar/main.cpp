#include "RoleKeeper.h"
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

void serve(const settings::SidecarSettings& settings)
{
    channels::EventLoop loop;
    sidecar::RoleKeeper keeper(loop, settings);
    constexpr std::array<int, 3> Signals { SIGTERM, SIGINT, SIGHUP };
    loop.onSignals(Signals, [&loop](int signal) {
        if (signal == SIGHUP)
            telemetry::logInfo("sidecar", "Nothing to reload; addresses need a restart.");
        else
            loop.stop();
    });
    keeper.start();
    telemetry::logInfo("sidecar", "Started.",
        { { "id", settings.id }, { "engine", settings.engine }, { "store", settings.store } });
    loop.run();
    telemetry::logInfo("sidecar", "Stopped.");
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("The citronspoke sidecar on a target VM.\n"
                                 "  citronspoke-sidecar --settings=FILE\n"
                                 "Without the flag, CITRONSPOKE_SETTINGS names the file.");
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::configureLogging(absl::GetFlag(FLAGS_verbose));
    int status = 0;
    try {
        const std::string path = settings::settingsPath(absl::GetFlag(FLAGS_settings));
        serve(settings::parseSidecarSettings(settings::readFile(path)));
    } catch (const Error& error) {
        telemetry::logError("sidecar", "Ended by a failure.", { { "cause", error.describe() } });
        std::cerr << "citronspoke-sidecar: " << error.describe() << '\n';
        status = 1;
    }
    telemetry::finishLogging();
    return status;
}

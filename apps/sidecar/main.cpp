#include "Program.h"
#include "RoleKeeper.h"
#include "telemetry/Telemetry.h"

#include <array>
#include <csignal>

namespace {

using namespace citronspoke;

void serve(const std::string& path)
{
    const settings::SidecarSettings settings
        = settings::parseSidecarSettings(settings::readFile(path));
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

int main(int argc, char** argv) { return citronspoke::runProgram(argc, argv, "sidecar", serve); }

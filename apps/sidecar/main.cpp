#include "Program.h"
#include "RoleReconciler.h"
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
    const sidecar::RoleReconciler reconciler(loop, settings);
    constexpr std::array<int, 3> Signals { SIGTERM, SIGINT, SIGHUP };
    loop.onSignals(Signals, [&loop](int signal) {
        if (signal == SIGHUP)
            telemetry::logInfo(
                "sidecar", "Ignored SIGHUP: changed settings take effect after a restart.");
        else
            loop.stop();
    });
    telemetry::logInfo(
        "sidecar", "Started.", { { "id", settings.id }, { "engine", settings.engine } });
    loop.run();
    telemetry::logInfo("sidecar", "Stopped.");
}

} // namespace

int main(int argc, char** argv) { return citronspoke::runProgram(argc, argv, "sidecar", serve); }

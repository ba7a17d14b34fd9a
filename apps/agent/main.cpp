#include "AgentCore.h"
#include "OperatorServer.h"
#include "OrderRunner.h"
#include "telemetry/Telemetry.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "The process's settings file (TOML).");
ABSL_FLAG(bool, verbose, false, "Log debug messages too.");
ABSL_FLAG(std::string, stop_at, "", "Failure points to stop at; test builds only.");

namespace {

using namespace citronspoke;

void serve(const settings::AgentSettings& settings)
{
    const platform::Store store(platform::EtcdBackend { settings.process.store });
    control::ConfigHolder config;
    Kernel kernel;
    agent::AgentCore& core
        = kernel.add(std::make_unique<agent::AgentCore>(settings, store, config));
    if (settings.kind == TargetKind::ModelEngine)
        kernel.add(std::make_unique<agent::OrderRunner>(settings, store, config, core));
    kernel.add(std::make_unique<OperatorServer>(settings.process.operatorAddress,
        settings.process.id,
        OperatorServer::Hooks { [&core] { return core.status(); }, [] { requestTermination(); } }));
    kernel.start();
    telemetry::logInfo("agent", "Agent started.", { { "target", settings.process.id } });
    waitForTermination();
    telemetry::logInfo("agent", "Agent shutting down: finishing or rerouting its work.",
        { { "target", settings.process.id } });
    core.post(agent::Leave {});
    constexpr Milliseconds CheckInterval { 50 };
    while (!core.isReadyToExit())
        std::this_thread::sleep_for(CheckInterval);
    kernel.stop();
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs the citronspoke agent of one target.\n"
                                 "  citronspoke-agent --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    blockTerminationSignals();
    telemetry::configureLogging(absl::GetFlag(FLAGS_verbose));
    armFailurePoints(absl::GetFlag(FLAGS_stop_at));
    try {
        serve(settings::parseAgentSettings(settings::readFile(absl::GetFlag(FLAGS_settings))));
    } catch (const Error& error) {
        std::cerr << "citronspoke-agent: " << error.describe() << '\n';
        return 1;
    }
    return 0;
}

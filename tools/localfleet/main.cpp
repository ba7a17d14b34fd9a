#include "LocalFleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, deployment, "deploy/rahbar", "The folder of the configuration to run.");
ABSL_FLAG(std::string, work, ".demo", "The folder for settings, logs and the file fleet.env.");
ABSL_FLAG(uint32_t, entries, 2, "The number of entries to start.");

int main(int argc, char** argv)
{
    using namespace citronspoke;
    absl::ParseCommandLine(argc, argv);
    blockTerminationSignals();
    try {
        localfleet::FleetOptions options;
        options.deploymentFolder = absl::GetFlag(FLAGS_deployment);
        options.workFolder = absl::GetFlag(FLAGS_work);
        options.entries = absl::GetFlag(FLAGS_entries);
        localfleet::LocalFleet fleet(options);
        fleet.startAll();
        {
            std::ofstream file(options.workFolder + "/fleet.env");
            for (size_t entry = 1; entry <= options.entries; ++entry)
                file << "ENTRY_" << entry << "=" << fleet.callerUrl(entry) << '\n';
            file << "STORE=" << fleet.platformUrl("platform") << '\n';
        }
        std::cout << "The fleet is up.\n" << std::flush;
        waitForTermination();
        fleet.stopAll();
    } catch (const Error& error) {
        std::cerr << "citronspoke-localfleet: " << error.describe() << '\n';
        return 1;
    }
    return 0;
}

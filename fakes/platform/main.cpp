#include "FakePlatform.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <iostream>

ABSL_FLAG(
    std::string, listen, "127.0.0.1:2379", "Endpoints to serve on, IP:PORT, separated by commas.");

int main(int argc, char** argv)
{
    using namespace citronspoke;
    absl::ParseCommandLine(argc, argv);
    blockTerminationSignals();
    try {
        const std::vector<std::string> endpoints = absl::StrSplit(absl::GetFlag(FLAGS_listen), ',');
        fakes::FakePlatform platform(endpoints);
        const WorkerThread leases(
            "leases", [&platform](const std::stop_token& token) { platform.run(token); });
        waitForTermination();
    } catch (const Error& error) {
        std::cerr << error.describe() << '\n';
        return 1;
    }
    // Calls may still hang in an injected fault, so the destructors are not run.
    std::_Exit(0);
}

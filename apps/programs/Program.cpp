#include "Program.h"

#include "settings/Settings.h"
#include "telemetry/Telemetry.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "Settings file of the process (TOML).");
ABSL_FLAG(bool, verbose, false, "Log debug messages too.");

namespace citronspoke {

int runProgram(int argc, char** argv, std::string_view part,
    const std::function<void(const std::string& settingsPath)>& serve)
{
    // A SIGHUP before the settings are read has nothing to reload, and must not end the program.
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = "citronspoke-" + std::string(part);
    absl::SetProgramUsageMessage("A citronspoke program for the users' platform.\n  " + name
        + " --settings=FILE\nWithout the flag, CITRONSPOKE_SETTINGS names the file.");
    absl::ParseCommandLine(argc, argv);
    int status = 0;
    try {
        telemetry::configureLogging(absl::GetFlag(FLAGS_verbose));
        serve(settings::settingsPath(absl::GetFlag(FLAGS_settings)));
    } catch (const Error& error) {
        telemetry::logError(part, "Ended by a failure.", { { "cause", error.describe() } });
        std::cerr << name << ": " << error.describe() << '\n';
        status = 1;
    } catch (const std::exception& exception) {
        telemetry::reportUnexpected("program", exception);
        std::cerr << name << ": " << exception.what() << '\n';
        status = 1;
    }
    telemetry::finishLogging();
    return status;
}

} // namespace citronspoke

#include "Commands.h"
#include "telemetry/Telemetry.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, store, "http://127.0.0.1:2379", "URL of the platform's key-value store.");
ABSL_FLAG(std::string, author, "operator", "Author of a configuration commit.");
ABSL_FLAG(std::string, message, "", "Message of a configuration commit.");
ABSL_FLAG(std::string, request, "", "Show only events of this request.");
ABSL_FLAG(std::string, target, "", "Show only events of this target.");
ABSL_FLAG(std::string, kind, "", "Show only events of this kind.");
ABSL_FLAG(std::string, output, "text", "Output format: text or json.");
ABSL_FLAG(std::string, stop_at, "", "Failure points at which to stop; in test builds only.");

namespace {

using namespace citronspoke;
using ctl::Command;
using ctl::ExitCode;

std::vector<Command> allCommands()
{
    std::vector<Command> commands;
    for (const std::span<const Command> group : { ctl::configCommands(), ctl::fleetCommands() })
        commands.insert(commands.end(), group.begin(), group.end());
    return commands;
}

void printCommand(std::ostream& stream, const Command& command)
{
    stream << "  citronspokectl " << command.name;
    if (!command.arguments.empty())
        stream << ' ' << command.arguments;
    stream << "\n      " << command.help << '\n';
}

void printUsage(std::ostream& stream)
{
    stream << "citronspokectl: the operators' tool.\n";
    for (const Command& command : allCommands())
        printCommand(stream, command);
    stream << "Flags: --store=URL --author=NAME --message=TEXT --request=ID --target=ID\n"
              "       --kind=KIND --output=text|json\n";
}

/** @return the command whose name the words begin with; null when there is none. */
const Command* findCommand(std::span<const Command> commands, std::span<const std::string> words)
{
    std::string joined;
    for (const std::string& word : words)
        joined += word + ' ';
    for (const Command& command : commands) {
        if (joined.starts_with(std::string(command.name) + ' '))
            return &command;
    }
    return nullptr;
}

ExitCode runCommand(const ctl::Options& options, const std::vector<std::string>& words)
{
    const std::vector<Command> commands = allCommands();
    const Command* command = findCommand(commands, words);
    const size_t nameWords = !command
        ? 0
        : 1 + static_cast<size_t>(std::count(command->name.begin(), command->name.end(), ' '));
    if (!command || words.size() - nameWords != command->argumentCount) {
        printUsage(std::cerr);
        return ExitCode::Usage;
    }
    return command->run(options, std::span(words).subspan(nameWords));
}

ExitCode runReportingErrors(const ctl::Options& options, const std::vector<std::string>& words)
{
    try {
        return runCommand(options, words);
    } catch (const settings::SettingsInvalid& error) {
        std::cerr << error.describe() << '\n';
        return ExitCode::InvalidConfiguration;
    } catch (const settings::SettingsUnreadable& error) {
        std::cerr << error.describe() << '\n';
        return ExitCode::InvalidConfiguration;
    } catch (const control::ConfigConflict& error) {
        std::cerr << error.describe() << '\n';
        return ExitCode::Conflict;
    } catch (const Error& error) {
        std::cerr << error.describe() << '\n';
        return ExitCode::Unavailable;
    }
}

bool wantsHelp(int argc, char** argv)
{
    return std::any_of(argv + 1, argv + argc,
        [](const char* argument) { return std::string_view(argument) == "--help"; });
}

int showHelp(int argc, char** argv)
{
    std::vector<std::string> words(argv + 1, argv + argc);
    std::erase(words, "--help");
    const std::vector<Command> commands = allCommands();
    if (const Command* command = findCommand(commands, words))
        printCommand(std::cout, *command);
    else
        printUsage(std::cout);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (wantsHelp(argc, argv))
        return showHelp(argc, argv);
    const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
    telemetry::configureLogging(false);
    armFailurePoints(absl::GetFlag(FLAGS_stop_at));
    ctl::Options options;
    options.store = absl::GetFlag(FLAGS_store);
    options.author = absl::GetFlag(FLAGS_author);
    options.message = absl::GetFlag(FLAGS_message);
    options.request = absl::GetFlag(FLAGS_request);
    options.target = absl::GetFlag(FLAGS_target);
    options.kind = absl::GetFlag(FLAGS_kind);
    options.isJson = absl::GetFlag(FLAGS_output) == "json";
    const std::vector<std::string> words(positional.begin() + 1, positional.end());
    return static_cast<int>(runReportingErrors(options, words));
}

#pragma once

#include "control/Control.h"

#include <iosfwd>

namespace citronspoke::ctl {

/** Exit status of the program; documented in docs/operate/citronspokectl.md. */
enum class ExitCode : uint8_t {
    Done,
    Usage,
    InvalidConfiguration,
    Conflict,
    Unavailable,
    NotFound
};

/** Values of the command line flags. */
struct Options {
    /** The platform's store, "http://IP:PORT". */
    std::string store;
    /** Author and message of a configuration commit. */
    std::string author;
    std::string message;
    /** Filters of events; empty ones match all. */
    std::string request;
    std::string target;
    std::string kind;
    /** Prints JSON instead of text. */
    bool isJson = false;
};

/** One command of citronspokectl, such as "config apply". */
struct Command {
    std::string_view name;
    /** Names of the arguments, for the usage text. */
    std::string_view arguments;
    std::string_view help;
    /** The number of arguments that must follow the name. */
    size_t argumentCount = 0;
    ExitCode (*run)(const Options&, std::span<const std::string>);
};

std::span<const Command> configCommands();
std::span<const Command> fleetCommands();

} // namespace citronspoke::ctl

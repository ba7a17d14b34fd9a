#pragma once

#include "control/Control.h"

#include <iosfwd>

namespace citronspoke::ctl {

/** What the program returns to the shell; documented in docs/operate/citronspokectl.md. */
enum class ExitCode : uint8_t {
    Done,
    Usage,
    InvalidConfiguration,
    Conflict,
    Unavailable,
    NotFound
};

struct Options {
    std::string store;
    std::string author;
    std::string message;
    std::string request;
    std::string target;
    std::string kind;
    bool isJson = false;
};

/** One command of citronspokectl, such as "config apply". */
struct Command {
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
    /** How many arguments follow the name. */
    size_t argumentCount = 0;
    ExitCode (*run)(const Options&, std::span<const std::string>);
};

std::span<const Command> configCommands();
std::span<const Command> fleetCommands();

} // namespace citronspoke::ctl

#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace citronspoke {

/**
 * Common main function of the programs for the users' platform: parses the flags, sets up logging
 * and reports an exception that ends the program in one line.
 * @param part log part of the program; its name is "citronspoke-" and this.
 * @param serve runs the program with the path of its settings file until it has stopped.
 * @return the exit status: 0, or 1 after an exception.
 */
int runProgram(int argc, char** argv, std::string_view part,
    const std::function<void(const std::string& settingsPath)>& serve);

} // namespace citronspoke

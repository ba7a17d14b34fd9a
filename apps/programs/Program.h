#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace citronspoke {

/**
 * Runs a program of the users' platform: flags, logging, and one line for a failure that ends it.
 * @param part names the program in its log lines.
 * @param serve gets the path of the settings file and returns when the program has stopped.
 * @return the exit status.
 */
int runProgram(int argc, char** argv, std::string_view part,
    const std::function<void(const std::string& settingsPath)>& serve);

} // namespace citronspoke

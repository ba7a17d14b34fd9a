#include "Commands.h"

#include <array>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace citronspoke::ctl {

namespace {

    using nlohmann::json;

    platform::Store openStore(const Options& options)
    {
        constexpr Milliseconds Timeout { 3000 };
        return platform::Store(platform::EtcdBackend { options.store, Timeout });
    }

    json toJson(const control::ConfigChange& change)
    {
        return { { "revision", change.revision.value() }, { "author", change.author },
            { "message", change.message }, { "time_ms", change.time.value() } };
    }

    ExitCode check(const Options& options, std::span<const std::string> arguments)
    {
        const std::vector<settings::SourceFile> files = settings::readFolder(arguments[0]);
        const settings::Deployment deployment = settings::parseDeployment(files);
        const json summary { { "files", files.size() }, { "zones", deployment.zones.size() },
            { "models", deployment.models.size() }, { "tiers", deployment.tiers.size() },
            { "organisations", deployment.organisations.size() },
            { "pools", deployment.pools.size() }, { "targets", deployment.targets.size() } };
        if (options.isJson)
            std::cout << summary.dump() << '\n';
        else
            std::cout << "The configuration is valid: " << summary.dump() << '\n';
        return ExitCode::Done;
    }

    ExitCode apply(const Options& options, std::span<const std::string> arguments)
    {
        const std::vector<settings::SourceFile> files = settings::readFolder(arguments[0]);
        settings::parseDeployment(files);
        const platform::Store store = openStore(options);
        const control::ConfigHead base = control::readConfigHead(store);
        const ConfigRevision revision = control::commitConfig(
            store, base, settings::toDocument(files), options.author, options.message);
        if (options.isJson)
            std::cout << json { { "revision", revision.value() } }.dump() << '\n';
        else
            std::cout << "Committed as revision " << revision.value() << ".\n";
        return ExitCode::Done;
    }

    const control::ConfigChange* findChange(
        const control::ConfigHead& head, std::span<const std::string> arguments)
    {
        for (const control::ConfigChange& change : head.changes) {
            if (arguments.empty() || std::to_string(change.revision.value()) == arguments[0])
                return &change;
        }
        return nullptr;
    }

    ExitCode show(const Options& options, std::span<const std::string> arguments)
    {
        const platform::Store store = openStore(options);
        const control::ConfigHead head = control::readConfigHead(store);
        const control::ConfigChange* change = findChange(head, arguments);
        if (!change)
            return ExitCode::NotFound;
        const std::string document = control::readConfigDocument(store, *change);
        if (options.isJson) {
            json object = toJson(*change);
            object["files"] = json::parse(document);
            std::cout << object.dump() << '\n';
            return ExitCode::Done;
        }
        for (const settings::SourceFile& file : settings::fromDocument(document))
            std::cout << "# " << file.name << '\n' << file.text << '\n';
        return ExitCode::Done;
    }

    ExitCode history(const Options& options, std::span<const std::string>)
    {
        const control::ConfigHead head = control::readConfigHead(openStore(options));
        json list = json::array();
        for (const control::ConfigChange& change : head.changes) {
            list.push_back(toJson(change));
            if (!options.isJson)
                std::cout << change.revision.value() << "  " << change.author << "  "
                          << change.message << '\n';
        }
        if (options.isJson)
            std::cout << list.dump() << '\n';
        return ExitCode::Done;
    }

    /** @return the lines of all files, each after the name of its file. */
    std::vector<std::string> prefixedLines(const std::vector<settings::SourceFile>& files)
    {
        std::vector<std::string> lines;
        for (const settings::SourceFile& file : files) {
            std::istringstream stream(file.text);
            for (std::string line; std::getline(stream, line);)
                lines.push_back(file.name + ": " + line);
        }
        return lines;
    }

    // Appends the lines that the other side does not have, in their order and after their sign.
    void appendMissing(const std::vector<std::string>& lines,
        const std::vector<std::string>& others, char sign, json& list)
    {
        const std::set<std::string> present(others.begin(), others.end());
        for (const std::string& line : lines) {
            if (!present.contains(line))
                list.push_back(std::string(1, sign) + " " + line);
        }
    }

    ExitCode diff(const Options& options, std::span<const std::string> arguments)
    {
        const std::vector<std::string> local = prefixedLines(settings::readFolder(arguments[0]));
        const platform::Store store = openStore(options);
        const control::ConfigHead head = control::readConfigHead(store);
        std::vector<std::string> stored;
        if (!head.changes.empty())
            stored = prefixedLines(
                settings::fromDocument(control::readConfigDocument(store, head.changes.front())));
        json list = json::array();
        appendMissing(stored, local, '-', list);
        appendMissing(local, stored, '+', list);
        if (options.isJson)
            std::cout << list.dump() << '\n';
        for (const json& line : options.isJson ? json::array() : list)
            std::cout << line.get<std::string>() << '\n';
        return ExitCode::Done;
    }

    constexpr std::array<Command, 5> Commands {
        Command { "config check", "FOLDER",
            "Validates a folder of configuration files without a store.", 1, &check },
        Command { "config apply", "FOLDER",
            "Validates a folder and commits it as the next revision.", 1, &apply },
        Command { "config show", "", "Prints the files of the current revision.", 0, &show },
        Command { "config diff", "FOLDER",
            "Prints the lines that differ between the current revision and a folder.", 1, &diff },
        Command { "config history", "", "Lists the latest revisions.", 0, &history },
    };

} // namespace

std::span<const Command> configCommands() { return Commands; }

} // namespace citronspoke::ctl

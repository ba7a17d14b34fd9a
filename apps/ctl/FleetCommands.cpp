#include "Commands.h"

#include "transport/Transport.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <nlohmann/json.hpp>

namespace citronspoke::ctl {

namespace {

    using nlohmann::json;

    constexpr Milliseconds CallTimeout { 2000 };

    /**
     * Sends a request to the operator port of a process.
     * @return the response; null when the process does not respond.
     */
    json requestJson(
        const std::string& address, const std::string& path, const std::string& method = "GET")
    {
        transport::HttpRequest request;
        request.method = method;
        request.target = "http://" + address + path;
        try {
            return json::parse(transport::callHttp(request, CallTimeout).body, nullptr, false);
        } catch (const transport::HttpFailed&) {
            return nullptr;
        }
    }

    settings::Deployment readDeployment(const Options& options)
    {
        const platform::Store store(platform::EtcdBackend { options.store, CallTimeout });
        const control::ConfigHead head = control::readConfigHead(store);
        if (head.changes.empty())
            return {};
        const std::string document = control::readConfigDocument(store, head.changes.front());
        settings::Deployment deployment
            = settings::parseDeployment(settings::fromDocument(document));
        deployment.revision = head.revision();
        return deployment;
    }

    /**
     * Operator addresses by process. Agents are listed in the configuration; each reports the
     * entries that it knows.
     */
    struct Fleet {
        std::map<std::string, std::string> agents;
        std::map<std::string, std::string> entries;
        std::map<std::string, json> agentStatus;
    };

    Fleet findFleet(const settings::Deployment& deployment)
    {
        Fleet fleet;
        for (const auto& [id, target] : deployment.targets) {
            fleet.agents[id.text()] = target.operatorAddress;
            const json status = requestJson(target.operatorAddress, "/status");
            fleet.agentStatus[id.text()] = status;
            if (!status.is_object())
                continue;
            for (const json& entry : status.value("entries", json::array()))
                fleet.entries[entry.at("id")] = entry.at("operator");
        }
        return fleet;
    }

    ExitCode status(const Options& options, std::span<const std::string>)
    {
        const settings::Deployment deployment = readDeployment(options);
        const Fleet fleet = findFleet(deployment);
        json result { { "revision", deployment.revision.value() }, { "entries", json::object() },
            { "targets", json::object() } };
        for (const auto& [id, address] : fleet.entries)
            result["entries"][id] = requestJson(address, "/status");
        for (const auto& [id, response] : fleet.agentStatus)
            result["targets"][id] = response;
        if (options.isJson) {
            std::cout << result.dump() << '\n';
            return ExitCode::Done;
        }
        std::cout << "Revision " << deployment.revision.value() << '\n';
        for (const auto& [id, response] : result["entries"].items()) {
            std::cout << "entry  " << id << "  "
                      << (response.is_object() ? "requests=" + response["requests"].dump()
                                     + " config=" + response["config"].dump()
                                               : std::string("no answer"))
                      << '\n';
        }
        for (const auto& [id, response] : result["targets"].items()) {
            std::cout << "target " << id << "  "
                      << (response.is_object() ? response["state"].get<std::string>()
                                     + " role=" + response["role"].get<std::string>()
                                     + " running=" + response["running"].dump()
                                     + " queued=" + response["queued"].dump()
                                     + " config=" + response["config"].dump()
                                               : std::string("no answer"))
                      << '\n';
        }
        return ExitCode::Done;
    }

    ExitCode drain(const Options& options, std::span<const std::string> arguments)
    {
        const settings::Deployment deployment = readDeployment(options);
        auto found = deployment.targets.find(TargetId(arguments[0]));
        if (found == deployment.targets.end())
            return ExitCode::NotFound;
        if (!requestJson(found->second.operatorAddress, "/drain", "POST").is_object())
            return ExitCode::Unavailable;
        std::cout << "Target " << arguments[0] << " is leaving.\n";
        return ExitCode::Done;
    }

    std::vector<json> collectEvents(const Options& options, const std::string& request)
    {
        const Fleet fleet = findFleet(readDeployment(options));
        std::vector<json> events;
        for (const auto& addresses : { fleet.entries, fleet.agents }) {
            for (const auto& [id, address] : addresses) {
                const json response = requestJson(address, "/events");
                if (!response.is_object())
                    continue;
                for (const json& event : response.value("events", json::array())) {
                    const bool matches = (request.empty() || event.at("request") == request)
                        && (options.target.empty() || event.at("target") == options.target)
                        && (options.kind.empty() || event.at("kind") == options.kind);
                    if (matches)
                        events.push_back(event);
                }
            }
        }
        std::sort(events.begin(), events.end(), [](const json& left, const json& right) {
            return left.at("clock").get<uint64_t>() < right.at("clock").get<uint64_t>();
        });
        return events;
    }

    void printEvents(const Options& options, const std::vector<json>& events)
    {
        if (options.isJson) {
            std::cout << json(events).dump() << '\n';
            return;
        }
        constexpr unsigned CounterBits = 16;
        uint64_t first = 0;
        for (const json& event : events) {
            const uint64_t ms = event.at("clock").get<uint64_t>() >> CounterBits;
            if (first == 0)
                first = ms;
            std::cout << "+" << ms - first << " ms  " << event.at("process").get<std::string>()
                      << "  " << event.at("kind").get<std::string>();
            for (const char* field : { "request", "target", "detail" }) {
                const std::string value = event.at(field);
                if (!value.empty())
                    std::cout << "  " << field << "=" << value;
            }
            std::cout << '\n';
        }
    }

    ExitCode timeline(const Options& options, std::span<const std::string>)
    {
        printEvents(options, collectEvents(options, options.request));
        return ExitCode::Done;
    }

    ExitCode showRequest(const Options& options, std::span<const std::string> arguments)
    {
        const std::vector<json> events = collectEvents(options, arguments[0]);
        if (events.empty())
            return ExitCode::NotFound;
        printEvents(options, events);
        return ExitCode::Done;
    }

    constexpr std::array<Command, 4> Commands {
        Command { "status", "", "Shows the entries and targets with their states and loads.", 0,
            &status },
        Command { "drain", "TARGET",
            "Asks a target's agent to finish its running work and to leave.", 1, &drain },
        Command { "timeline", "",
            "Merges the events of all processes (--request, --target, --kind).", 0, &timeline },
        Command { "request show", "ID", "Shows the events of one request.", 1, &showRequest },
    };

} // namespace

std::span<const Command> fleetCommands() { return Commands; }

} // namespace citronspoke::ctl

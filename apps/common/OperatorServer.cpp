#include "OperatorServer.h"

#include "telemetry/Telemetry.h"
#include "transport/Transport.h"

#include <nlohmann/json.hpp>

namespace citronspoke {

struct OperatorServer::Implementation {
    std::string address;
    std::string process;
    Hooks hooks;
    std::unique_ptr<transport::HttpServer> server;

    transport::HttpResponse handle(const transport::HttpRequest& request) const
    {
        constexpr uint32_t NotFound = 404;
        if (request.target == "/metrics") {
            transport::HttpResponse response;
            response.headers["content-type"] = "text/plain; version=0.0.4";
            response.body = telemetry::metricsText();
            return response;
        }
        if (request.target == "/events")
            return transport::jsonResponse(200, events(request.query));
        if (request.target == "/status")
            return transport::jsonResponse(200, hooks.status());
        if (request.target == "/drain" && request.method == "POST") {
            hooks.drain();
            return transport::jsonResponse(200, "{}");
        }
        return transport::jsonResponse(NotFound, R"({"error":{"type":"not_found"}})");
    }

    std::string events(std::string_view query) const
    {
        const std::string after = transport::queryValue(query, "after");
        nlohmann::json list = nlohmann::json::array();
        for (const telemetry::Event& event :
            telemetry::eventsSince(std::strtoull(after.c_str(), nullptr, 10))) {
            list.push_back({ { "clock", event.clock }, { "process", process },
                { "kind", telemetry::toText(event.kind) }, { "request", event.request.text() },
                { "target", event.target.text() }, { "detail", event.detail } });
        }
        return nlohmann::json { { "events", list } }.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
};

OperatorServer::OperatorServer(std::string address, std::string process, Hooks hooks)
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->address = std::move(address);
    m_implementation->process = std::move(process);
    m_implementation->hooks = std::move(hooks);
}

OperatorServer::~OperatorServer() = default;

void OperatorServer::start()
{
    Implementation& self = *m_implementation;
    self.server = std::make_unique<transport::HttpServer>(
        self.address, 1, [&self](const transport::HttpExchangePointer& exchange) {
            exchange->respond(self.handle(exchange->request()));
        });
}

void OperatorServer::stop() { m_implementation->server.reset(); }

} // namespace citronspoke

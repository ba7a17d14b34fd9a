#include "CrowdFleet.h"

#include <criterion/criterion.h>
#include <thread>

namespace citronspoke::crowds {

namespace {

    constexpr uint32_t Unavailable = 503;

    std::string quoted(const fleet::Address& address) { return "\"" + address.text() + "\"\n"; }

    std::string declarationText(const ScriptedStreams& streams)
    {
        nlohmann::json routes { fakes::routeDocument("/a/", { "idempotent", "app", 30000 }) };
        if (streams.serve)
            routes.push_back(fakes::routeDocument("/s/", streams.route));
        nlohmann::json document = nlohmann::json::parse(fakes::declarationText(1, routes));
        document["limits"] = { { "maxHeaderBytes", MaxHeadBytes }, { "maxBodyBytes", MaxBodyBytes },
            { "headerTimeoutMs", RequestReadLimit.count() },
            { "idleTimeoutMs", RequestReadLimit.count() } };
        return document.dump();
    }

    void waitUntil(const std::function<bool()>& condition)
    {
        // Only a hang reaches this limit.
        constexpr std::chrono::seconds HangLimit { 30 };
        const SteadyTime start = steadyNow();
        while (!condition()) {
            cr_assert(steadyNow() - start < HangLimit, "The gateway does not become ready.");
            std::this_thread::sleep_for(Milliseconds(20));
        }
    }

} // namespace

CrowdFleet::CrowdFleet(std::string answer, Milliseconds workTime)
    : m_answer(std::move(answer))
    , m_workTime(workTime)
{
    start();
}

CrowdFleet::CrowdFleet(ScriptedStreams streams)
    : m_streams(std::move(streams))
    , m_answer("ok")
    , m_workTime(0)
{
    if (m_streams.route.service == "llm") {
        addTarget("reader", { "llm", "", "prefill", "ready", "", 1000 });
        addTarget("maker-1", { "llm", "", "decode", "ready", "", 1000 });
        addTarget("maker-2", { "llm", "", "decode", "ready", "", 1000 });
    }
    start();
}

void CrowdFleet::addTarget(const std::string& id, fakes::EntryOptions options)
{
    m_targets.push_back(std::make_unique<fakes::FakeHttpServer>(
        [this](const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
            answerRequest(request, connection);
        }));
    options.address = m_targets.back()->address().text();
    m_store.put("servers/" + id, fakes::entryText(options));
}

void CrowdFleet::start()
{
    m_callers = { "127.0.0.1", m_ports.pick() };
    m_readiness = { "127.0.0.1", m_ports.pick() };
    m_operators = { "127.0.0.1", m_ports.pick() };
    m_store.put("op/config", declarationText(m_streams));
    for (const char* id : { "app-0", "app-1" })
        addTarget(id, { "app", "", "", "ready", "", 1000 });
    const std::string settings = "id = \"gateway-1\"\nzone = \"zone-a\"\ncallers = "
        + quoted(m_callers) + "readiness = " + quoted(m_readiness)
        + "operator = " + quoted(m_operators) + "store = " + quoted(m_store.address())
        + "sidecar_port = " + std::to_string(m_ports.pick())
        + "\nstop_grace_s = 8\nretry_share = 0.2\nretry_fixed_part = 58\nretry_window_s = 10\n"
          "apply_time_ms = 2000\ndrain_time_ms = 2000\nlimit_notice_ms = 3000\n"
        + limitSettings(TestLimits);
    m_gateway.emplace("citronspoke-gateway", settings, TestLimits);
    waitUntil([this] { return statusOf(requestHead("GET", "")) == 200; });
    m_runs = 0;
}

uint32_t CrowdFleet::statusOf(std::string_view request) const
{
    return exchangeStatus(m_callers, request);
}

void CrowdFleet::expectSound(std::span<const CrowdReply> replies)
{
    // While the crowd's connections are open.
    cr_expect_eq(statusOf(requestHead("GET", "")), 200U, "An ordinary request is not served.");
    m_gateway->expectWithinLimits();
    for (const CrowdReply& reply : replies) {
        if (reply.status() == Unavailable)
            cr_expect(reply.hasField("Retry-After"));
    }
}

void CrowdFleet::answerRequest(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    if (m_streams.serve && !request.head.target.starts_with("/a/")) {
        m_streams.serve(request, connection);
        return;
    }
    m_runs += 1;
    std::this_thread::sleep_for(m_workTime);
    http1::Headers headers;
    headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
    headers.add("X-Server-Stamp", "stamp");
    connection.answer(200, headers, m_answer);
}

std::string requestHead(std::string_view method, std::string_view extraLines, std::string_view path)
{
    std::string head(method);
    head.append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(fakes::RouteHost);
    head.append("\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 20000\r\n").append(extraLines);
    return head.append("\r\n");
}

uint32_t exchangeStatus(const fleet::Address& address, std::string_view request)
{
    Crowd client(address, 1);
    client.send(request, request.size());
    return client.receiveAll().front().status();
}

} // namespace citronspoke::crowds

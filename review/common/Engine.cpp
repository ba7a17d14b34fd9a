#include "Engine.h"

namespace review {

void Ledger::noteRun(const std::string& attempt)
{
    const std::lock_guard lock(m_mutex);
    m_runs.insert(attempt);
}

size_t Ledger::runs(const std::string& attempt)
{
    const std::lock_guard lock(m_mutex);
    return m_runs.count(attempt);
}

Engine::Engine(std::string id, const Options& options, Ledger& ledger, Record& record)
    : m_id(std::move(id))
    , m_options(options)
    , m_ledger(ledger)
    , m_record(record)
    , m_server([this](const Request& request, ServerConnection& connection) {
        handle(request, connection);
    })
{
}

std::string Engine::entry() const { return entryText(m_server.address()); }

void Engine::handle(const Request& request, ServerConnection& connection)
{
    if (request.target == "/healthz") {
        connection.respond(200, { "X-Instance-Id: " + m_id }, "");
        return;
    }
    const std::string attempt = request.field("X-Attempt-Id");
    const std::string echo = "X-Attempt-Id: " + attempt;
    if (request.field("X-Expect-Instance") != m_id) {
        connection.respond(421, { echo, "X-Not-Executed: 1" }, "");
        return;
    }
    m_ledger.noteRun(attempt);
    m_record.note(m_id + " runs " + attempt);
    std::this_thread::sleep_for(m_options.workTime);
    connection.respond(
        200, { echo, "X-Server-Stamp: s." + attempt }, answerText(attempt, m_options.answerBytes));
}

std::string entryText(const std::string& address)
{
    return R"({"service":"desk","address":")" + address
        + R"(","zone":"zone-a","version":"v1","slots":6,"state":"ready",)"
          R"("coldRemainingMs":0,"seq":1})";
}

std::string answerText(const std::string& attempt, size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += "answer to " + attempt + ". ";
    text.resize(bytes);
    return text;
}

std::string configurationText(const std::string& routeKind, int timeoutMs)
{
    return R"({"version":7,"routes":[{"name":"r-desk","hostname":"site.example",)"
           R"("pathPrefix":"/desk/","routeKind":")"
        + routeKind + R"(","timeoutMs":)" + std::to_string(timeoutMs)
        + R"(,"targetLatencyMs":500,"priority":1,"service":"desk","maxAttempts":1,)"
          R"("sticky":false,"resumable":false,"targetGapMs":300}],)"
          R"("services":[{"name":"desk","healthPath":"/healthz","maxConns":110,)"
          R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string requestText(const std::string& attempt, int deadlineMs, const std::string& body)
{
    return "POST /desk/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review

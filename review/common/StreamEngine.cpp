#include "StreamEngine.h"

#include <array>
#include <charconv>

namespace review {

namespace {

    int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

} // namespace

StreamEngine::StreamEngine(
    std::string id, std::string version, const Options& options, uint16_t port, Record& record)
    : m_id(std::move(id))
    , m_version(std::move(version))
    , m_options(options)
    , m_born(unixMs())
    , m_record(record)
    , m_server([this](const Request& request,
                   ServerConnection& connection) { handle(request, connection); },
          port)
{
    m_record.note(m_id + " starts with version " + m_version);
}

StreamEngine::~StreamEngine() { m_record.note(m_id + " ends"); }

std::string StreamEngine::entry() const
{
    return R"({"service":"desk","address":")" + m_server.address()
        + R"(","zone":"zone-a","version":")" + m_version
        + R"(","slots":6,"state":"ready","coldRemainingMs":0,"seq":1,"born":)"
        + std::to_string(m_born) + "}";
}

void StreamEngine::handle(const Request& request, ServerConnection& connection)
{
    if (request.target == "/report") {
        connection.respond(200, { "Content-Type: application/json" },
            R"({"models":[],"busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,)"
            R"("kvTotal":0,"kvHandles":0,"born":)"
                + std::to_string(m_born) + "}");
        return;
    }
    const std::string attempt = request.field("X-Attempt-Id");
    const std::string echo = "X-Attempt-Id: " + attempt;
    if (request.field("X-Expect-Instance") != m_id) {
        connection.respond(421, { echo, "X-Not-Executed: 1" }, "");
        return;
    }
    const std::string last = request.field("Last-Event-Id");
    size_t event = 0;
    std::from_chars(last.data(), last.data() + last.size(), event);
    m_record.note(m_id + " with version " + m_version + " runs " + attempt + " after event "
        + std::to_string(event));
    connection.send("HTTP/1.1 200 OK\r\n" + echo + "\r\nX-Server-Stamp: s." + attempt
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (event < m_options.events) {
        std::this_thread::sleep_for(m_options.eventGap);
        event += 1;
        const std::string text
            = "id: " + std::to_string(event) + "\ndata: by " + m_version + "\n\n";
        std::array<char, 16> size {};
        const std::to_chars_result end
            = std::to_chars(size.data(), size.data() + size.size(), text.size(), 16);
        if (!connection.send(std::string(size.data(), end.ptr) + "\r\n" + text + "\r\n"))
            return;
    }
    connection.send("0\r\n\r\n");
}

std::string streamConfigurationText()
{
    return R"({"version":7,"routes":[{"name":"r-stream","hostname":"site.example",)"
           R"("pathPrefix":"/stream/","routeKind":"streaming","timeoutMs":6000,)"
           R"("targetLatencyMs":800,"priority":1,"service":"desk","maxAttempts":2,)"
           R"("sticky":false,"resumable":true,"targetGapMs":300}],)"
           R"("services":[{"name":"desk","healthPath":"/healthz","maxConns":110,)"
           R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string streamRequestText(
    const std::string& attempt, int64_t deadlineMs, const std::string& fieldLines)
{
    return "POST /stream/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + fieldLines
        + "Content-Length: 0\r\n\r\n";
}

} // namespace review

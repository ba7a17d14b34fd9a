#include "SoakCaller.h"

#include "FakeDocuments.h"
#include "SoakTarget.h"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace citronspoke::soak {

namespace {

    constexpr int CallerDeadlineMs = 3000;
    /** Longer than any response may take, so that only a hang reaches it. */
    constexpr int ReceiveTimeoutS = 10;
    constexpr uint32_t Ok = 200;
    constexpr uint32_t TooMany = 429;
    constexpr uint32_t Unavailable = 503;

    std::string_view requestPath(Work work)
    {
        switch (work) {
        case Work::Repeatable:
            return "/again/x";
        case Work::Once:
            return "/once/x";
        case Work::Stream:
            return "/stream/x";
        case Work::SingleStream:
            return "/single/x";
        }
        return "/";
    }

    bool isStream(Work work) { return work == Work::Stream || work == Work::SingleStream; }

    /** The parts of sound prompts, as their header field lists them. */
    constexpr std::string_view SoundParts = "5c1e:60,91bd:40";

    std::string requestText(std::string_view path, const std::string& attempt, bool hasPrompt,
        const std::string& extraLines = {}, std::string_view parts = SoundParts)
    {
        std::string text = "POST ";
        text.append(path).append(" HTTP/1.1\r\nHost: ").append(fakes::RouteHost);
        text.append("\r\nX-Attempt-Id: ").append(attempt);
        text.append("\r\nX-Deadline-Ms: ").append(std::to_string(CallerDeadlineMs));
        // Callers may not set this field, so the gateway must remove it.
        text.append("\r\nX-Pin-Ms: 5\r\n").append(extraLines);
        if (hasPrompt)
            text.append("X-Model: m\r\nX-Token-Counts: 100,8\r\nX-Prefix-Hash: ")
                .append(parts)
                .append("\r\n");
        const std::string body = "body of " + attempt;
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
        return text.append(body);
    }

    /** @return the last word of the first event, which names the version that wrote it. */
    std::string versionOf(std::string_view events)
    {
        const std::string_view event = events.substr(0, events.find("\n\n"));
        return event.empty() ? std::string() : std::string(event.substr(event.rfind(' ') + 1));
    }

    std::string expectedEvents(
        const std::string& attempt, uint64_t firstEvent, const std::string& version)
    {
        std::string events;
        for (uint64_t number = firstEvent; number <= EventsPerStream; ++number)
            events += eventText(attempt, number, version);
        return events;
    }

} // namespace

SoakCaller::SoakCaller(std::string name, RunHistory& history)
    : m_name(std::move(name))
    , m_history(history)
{
}

SoakCaller::~SoakCaller() { close(); }

void SoakCaller::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

bool SoakCaller::connectTo(const fleet::Address& gateway)
{
    if (m_descriptor >= 0 && m_gateway == gateway)
        return true;
    close();
    m_gateway = gateway;
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit { ReceiveTimeoutS, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(gateway.port);
    inet_pton(AF_INET, gateway.ip.c_str(), &address.sin_addr);
    if (connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return true;
    close();
    return false;
}

bool SoakCaller::send(std::string_view bytes)
{
    return ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
        == static_cast<ssize_t>(bytes.size());
}

Response SoakCaller::receive()
{
    Response response;
    http1::ResponseParser parser;
    std::array<char, 4096> buffer {};
    bool isPersistent = true;
    while (!response.isComplete) {
        const ssize_t size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        std::vector<http1::ResponseEvent> events;
        try {
            parser.feed(std::string_view(buffer.data(), static_cast<size_t>(size)), events);
        } catch (const http1::MessageRejected& rejected) {
            m_history.recordViolation(
                "mixed", m_name + " received bytes that are not a valid response");
            break;
        }
        for (const http1::ResponseEvent& event : events) {
            if (const http1::ResponseHead* head = std::get_if<http1::ResponseHead>(&event)) {
                response.status = head->status;
                response.hasServerStamp = head->headers.find("X-Server-Stamp").has_value();
                response.hasRetryAfter = head->headers.find("Retry-After").has_value();
                isPersistent = head->isPersistent;
            } else if (const http1::BodyPart* part = std::get_if<http1::BodyPart>(&event)) {
                response.body += part->bytes;
            } else {
                response.isComplete = true;
            }
        }
    }
    if (!response.isComplete || !isPersistent)
        close();
    return response;
}

std::string SoakCaller::nextAttempt(Work work)
{
    const bool isOnce = work == Work::Once || work == Work::SingleStream;
    std::string attempt(isOnce ? RunHistory::AtMostOncePrefix : "any");
    return attempt.append("-").append(m_name).append("-").append(std::to_string(++m_requests));
}

CallerResult SoakCaller::sendRequest(
    const fleet::Address& gateway, Work work, bool isPlannedOnly, bool leavesEarly)
{
    m_brokenStream.reset();
    const std::string attempt = nextAttempt(work);
    m_history.recordSent(attempt, gateway.text(), isStream(work) ? "llm" : "app");
    CallerResult result = CallerResult::Broken;
    if (connectTo(gateway) && send(requestText(requestPath(work), attempt, isStream(work)))) {
        if (leavesEarly)
            close();
        else
            result = classify(attempt, work, receive(), isPlannedOnly);
    } else {
        close();
    }
    m_history.recordResult(attempt, result);
    return result;
}

CallerResult SoakCaller::resumeStream(const fleet::Address& gateway)
{
    const std::string attempt = nextAttempt(Work::Stream);
    const std::string lines = "Resumes: " + m_brokenStream->firstAttempt
        + "\r\nLast-Event-Id: " + std::to_string(m_brokenStream->lastEvent) + "\r\n";
    m_history.recordSent(attempt, gateway.text(), "llm");
    CallerResult result = CallerResult::Broken;
    if (connectTo(gateway) && send(requestText(requestPath(Work::Stream), attempt, true, lines)))
        result = classify(attempt, Work::Stream, receive(), false);
    else
        close();
    m_history.recordResult(attempt, result);
    return result;
}

void SoakCaller::sendCrashing(const fleet::Address& gateway, const std::string& part)
{
    const std::string attempt = nextAttempt(Work::Stream);
    const std::string parts = "5c1e:60," + part + ":30,own" + std::to_string(m_requests) + ":10";
    m_history.recordSent(attempt, gateway.text(), "llm");
    if (connectTo(gateway)
        && send(requestText(requestPath(Work::Stream), attempt, true, {}, parts)))
        receive();
    else
        close();
}

SoakCaller::BrokenStream SoakCaller::streamAfter(
    const std::string& attempt, const Response& response) const
{
    BrokenStream stream = m_brokenStream.value_or(BrokenStream { attempt, {}, 0 });
    if (response.status != Ok)
        return stream;
    if (stream.version.empty())
        stream.version = versionOf(response.body);
    constexpr std::string_view EventEnd = "\n\n";
    for (size_t end = response.body.find(EventEnd); end != std::string::npos;
         end = response.body.find(EventEnd, end + 1))
        stream.lastEvent += 1;
    return stream;
}

Response SoakCaller::fetch(const fleet::Address& gateway, const std::string& path)
{
    const std::string attempt = nextAttempt(Work::Repeatable);
    if (!connectTo(gateway) || !send(requestText(path, attempt, false))) {
        close();
        return {};
    }
    return receive();
}

CallerResult SoakCaller::classify(
    const std::string& attempt, Work work, const Response& response, bool isPlannedOnly)
{
    std::string expected = "answer to " + attempt;
    if (isStream(work) && (response.status == Ok || m_brokenStream)) {
        const BrokenStream stream = streamAfter(attempt, response);
        const uint64_t firstEvent = m_brokenStream ? m_brokenStream->lastEvent + 1 : 1;
        const bool hasEvents = response.status == Ok && !response.body.empty();
        if (hasEvents && versionOf(response.body) != stream.version)
            m_history.recordViolation("version",
                attempt + " went on at " + versionOf(response.body) + " after "
                    + stream.firstAttempt + " began at " + stream.version);
        expected = expectedEvents(attempt, firstEvent, stream.version);
        m_brokenStream.reset();
        const bool isCutOff = !response.isComplete || response.status != Ok;
        if (work == Work::Stream && isCutOff && stream.lastEvent > 0)
            m_brokenStream = stream;
    }
    if (response.status == Ok && !response.hasServerStamp)
        m_history.recordViolation("mixed", attempt + " was served without a target's stamp");
    if (response.status == Ok && !expected.starts_with(response.body))
        m_history.recordViolation("order", attempt + " received an unexpected body");
    if (response.status == Ok && response.isComplete && response.body != expected)
        m_history.recordViolation(
            "mixed", attempt + " received a truncated response that looks complete");
    if (isPlannedOnly && !response.isComplete && m_history.runs(attempt) > 0)
        m_history.recordViolation("lost", attempt + " was cut by a planned change");
    if (!response.isComplete)
        return CallerResult::Broken;
    if (response.status == Ok)
        return CallerResult::Served;
    if (response.status != Unavailable && response.status != TooMany)
        return CallerResult::Failed;
    if (!response.hasRetryAfter)
        m_history.recordViolation("refused", attempt + " was refused without a Retry-After field");
    return CallerResult::Refused;
}

} // namespace citronspoke::soak

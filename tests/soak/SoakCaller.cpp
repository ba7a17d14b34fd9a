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
    /** Longer than any answer may take, so that only a hang reaches it. */
    constexpr int SilenceLimitS = 10;
    constexpr uint32_t Ok = 200;
    constexpr uint32_t TooMany = 429;
    constexpr uint32_t Unavailable = 503;

    std::string_view pathOf(Work work)
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

    std::string requestText(std::string_view path, const std::string& attempt, bool hasPrompt)
    {
        std::string text = "POST ";
        text.append(path).append(" HTTP/1.1\r\nHost: ").append(fakes::RouteHost);
        text.append("\r\nX-Attempt-Id: ").append(attempt);
        text.append("\r\nX-Deadline-Ms: ").append(std::to_string(CallerDeadlineMs));
        // Only the system may set this; it must not reach a target.
        text.append("\r\nX-Pin-Ms: 5\r\n");
        if (hasPrompt)
            text.append(
                "X-Model: m\r\nX-Token-Counts: 100,8\r\nX-Prefix-Hash: 5c1e:60,91bd:40\r\n");
        const std::string body = "body of " + attempt;
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
        return text.append(body);
    }

    std::string expectedBody(const std::string& attempt, Work work)
    {
        if (!isStream(work))
            return "answer to " + attempt;
        std::string events;
        for (uint64_t number = 1; number <= StreamEvents; ++number)
            events += eventText(attempt, number);
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
    const timeval limit { SilenceLimitS, 0 };
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

Answer SoakCaller::receive()
{
    Answer answer;
    http1::ResponseParser parser;
    std::array<char, 4096> buffer {};
    bool isKept = true;
    while (!answer.isWhole) {
        const ssize_t size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        std::vector<http1::ResponseEvent> events;
        try {
            parser.feed(std::string_view(buffer.data(), static_cast<size_t>(size)), events);
        } catch (const http1::MessageRejected& rejected) {
            m_history.violate("mixed", m_name + " got bytes that are no answer");
            break;
        }
        for (const http1::ResponseEvent& event : events) {
            if (const http1::ResponseHead* head = std::get_if<http1::ResponseHead>(&event)) {
                answer.status = head->status;
                answer.isSigned = head->headers.find("X-Server-Stamp").has_value();
                answer.tellsWhenToReturn = head->headers.find("Retry-After").has_value();
                isKept = head->isPersistent;
            } else if (const http1::BodyPart* part = std::get_if<http1::BodyPart>(&event)) {
                answer.body += part->bytes;
            } else {
                answer.isWhole = true;
            }
        }
    }
    if (!answer.isWhole || !isKept)
        close();
    return answer;
}

std::string SoakCaller::nextAttempt(Work work)
{
    const bool isOnce = work == Work::Once || work == Work::SingleStream;
    std::string attempt(isOnce ? RunHistory::OncePrefix : "any");
    return attempt.append("-").append(m_name).append("-").append(std::to_string(++m_requests));
}

CallerResult SoakCaller::ask(
    const fleet::Address& gateway, Work work, bool isCalm, bool leavesEarly)
{
    const std::string attempt = nextAttempt(work);
    CallerResult result = CallerResult::Broken;
    if (connectTo(gateway) && send(requestText(pathOf(work), attempt, isStream(work)))) {
        if (leavesEarly)
            close();
        else
            result = judge(attempt, work, receive(), isCalm);
    } else {
        close();
    }
    m_history.noteResult(attempt, result);
    return result;
}

Answer SoakCaller::look(const fleet::Address& gateway, const std::string& path)
{
    const std::string attempt = nextAttempt(Work::Repeatable);
    if (!connectTo(gateway) || !send(requestText(path, attempt, false))) {
        close();
        return {};
    }
    return receive();
}

CallerResult SoakCaller::judge(
    const std::string& attempt, Work work, const Answer& answer, bool isCalm)
{
    const std::string expected = expectedBody(attempt, work);
    if (answer.status == Ok && !answer.isSigned)
        m_history.violate("mixed", attempt + " was served without a target's signature");
    if (answer.status == Ok && !expected.starts_with(answer.body))
        m_history.violate("order", attempt + " got another body");
    if (answer.status == Ok && answer.isWhole && answer.body != expected)
        m_history.violate("mixed", attempt + " got an incomplete answer that looks whole");
    if (isCalm && !answer.isWhole && m_history.runs(attempt) > 0)
        m_history.violate("lost", attempt + " was cut by planned work");
    if (!answer.isWhole)
        return CallerResult::Broken;
    if (answer.status == Ok)
        return CallerResult::Served;
    if (answer.status != Unavailable && answer.status != TooMany)
        return CallerResult::Failed;
    if (!answer.tellsWhenToReturn)
        m_history.violate("refused", attempt + " was not told when to come back");
    return CallerResult::Refused;
}

} // namespace citronspoke::soak

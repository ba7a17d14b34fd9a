#pragma once

#include "GatewayFixture.h"

namespace citronspoke::gateway::tests {

/** The coalescing time of the gateways' store feeds, and some more. */
inline constexpr Milliseconds SettleTime { 600 };

/** Sends the events that are left of a stream of four. */
inline void streamToEnd(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const std::string last = request.field("Last-Event-Id");
    sendEvents(request, connection, last.empty() ? 1 : std::stoi(last) + 1, 4);
    connection.send(http1::LastChunk);
}

/** Pools of engines whose first decode engine begins a stream and breaks off when told to. */
class VersionFixture : public GatewayFixture {
public:
    /** Starts the gateways with a prefill engine and a decode engine of version v1. */
    void startWithFirstEngine(size_t gateways)
    {
        addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
        declare(1);
        addTarget("reader", "llm", prefillPrompt, "prefill");
        addTarget(
            "first-v1", "llm",
            [this](const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
                if (hasBegun.exchange(true) && !isLost) {
                    streamToEnd(request, connection);
                    return;
                }
                if (!isLost)
                    sendEvents(request, connection, 1, 2);
                waitUntil([this] { return isLost.load() || isEnding.load(); });
                connection.reset();
            },
            "decode", "v1");
        start(gateways);
        for (size_t gateway = 0; gateway < gateways; ++gateway)
            waitUntil([&] { return readiness(gateway) == 200; });
    }

    /** Adds a decode engine and waits until the gateways know it. */
    void addDecodeEngine(const std::string& id, const std::string& version)
    {
        addTarget(id, "llm", streamToEnd, "decode", version);
        std::this_thread::sleep_for(SettleTime);
    }

    ~VersionFixture() { isEnding = true; }

    std::atomic<bool> hasBegun { false };
    /** The first engine resets its connections from now on. */
    std::atomic<bool> isLost { false };
    std::atomic<bool> isEnding { false };
};

/** Begins a stream and receives its first two events. @return the bytes. */
inline std::string beginStream(Caller& caller, const std::string& attempt)
{
    caller.send(requestText("POST", "/s/x", attempt, PromptLines));
    return caller.receiveUntil(eventText(2) + "\r\n");
}

inline std::string eventsText(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += eventText(id);
    return text;
}

inline std::string resumeText(const std::string& attempt, const std::string& first)
{
    return requestText(
        "POST", "/s/x", attempt, PromptLines + "Last-Event-Id: 2\r\nResumes: " + first + "\r\n");
}

} // namespace citronspoke::gateway::tests

#pragma once

#include "GatewayFixture.h"

#include <criterion/criterion.h>

namespace citronspoke::gateway::tests {

/** Begins the prompts of sound and of crashing requests. */
inline const std::string CommonPart = "c0:800";
/** Crashes each decode engine that begins to write an answer on it. */
inline const std::string CrashingPart = "bad:400";
inline const std::string SoundPart = "50d:400";
inline constexpr size_t DecodeEngines = 8;
/** More than would crash all engines. */
inline constexpr int ManyRequests = 12;

inline const std::string RecordKey = "citronspoke/quarantine/parts";

/** How the response of an engine ends when the engine crashes. */
enum class CrashEnd : uint8_t {
    Reset,
    /** Without length or chunks, closed inside an event. */
    ClosedInsideEvent,
    /** Without length or chunks, closed after the head. */
    ClosedBeforeEvent,
};

/** Decode engines that crash on one part of a prompt and serve nothing afterwards. */
class CrashingEngines {
public:
    explicit CrashingEngines(CrashEnd end)
        : m_end(end)
    {
    }

    void decode(
        const std::string& id, const fakes::FakeRequest& request, fakes::FakeConnection& connection)
    {
        if (isCrashed(id)) {
            connection.reset();
        } else if (request.field("X-Prefix-Hash").find(CrashingPart) != std::string::npos) {
            crash(id, request, connection);
        } else {
            sendEvents(request, connection, 1, 4);
            connection.send(http1::LastChunk);
        }
    }

    size_t crashes() const
    {
        std::lock_guard lock(m_mutex);
        return m_crashed.size();
    }

private:
    bool isCrashed(const std::string& id) const
    {
        std::lock_guard lock(m_mutex);
        return m_crashed.contains(id);
    }

    void crash(
        const std::string& id, const fakes::FakeRequest& request, fakes::FakeConnection& connection)
    {
        {
            std::lock_guard lock(m_mutex);
            m_crashed.insert(id);
        }
        if (m_end == CrashEnd::Reset) {
            sendEvents(request, connection, 1, 0);
            connection.reset();
            return;
        }
        http1::Headers headers;
        headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
        headers.add("X-Server-Stamp", "stamp");
        headers.add("Content-Type", "text/event-stream");
        connection.send(http1::composeResponse(200, "OK", headers));
        if (m_end == CrashEnd::ClosedInsideEvent)
            connection.send("id: 1\ndata: to");
        connection.close();
    }

    CrashEnd m_end;
    mutable std::mutex m_mutex;
    std::set<std::string> m_crashed;
};

/** Delays the responses to prefills of one attempt. */
class PrefillGate {
public:
    void hold(const std::string& attempt)
    {
        std::lock_guard lock(m_mutex);
        m_attempt = attempt;
    }
    void open()
    {
        std::lock_guard lock(m_mutex);
        m_attempt.clear();
    }
    void prefill(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
    {
        GatewayFixture::waitUntil([&] {
            std::lock_guard lock(m_mutex);
            return m_attempt.empty() || request.field("X-Attempt-Id") != m_attempt;
        });
        prefillPrompt(request, connection);
    }

private:
    std::mutex m_mutex;
    std::string m_attempt;
};

/** Gateways with one prefill engine and decode engines that crash on one part of a prompt. */
class CrashFixture : public GatewayFixture {
public:
    explicit CrashFixture(CrashEnd end = CrashEnd::Reset)
        : m_engines(std::make_shared<CrashingEngines>(end))
    {
        addRoute("/s/", { "streaming", "llm", 5000, 3, true, true });
        declare(1);
        addTarget(
            "prefill", "llm",
            [gate = m_gate](const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
                gate->prefill(request, connection);
            },
            "prefill");
        for (size_t number = 1; number <= DecodeEngines; ++number) {
            const std::string id = "decode-" + std::to_string(number);
            addTarget(
                id, "llm",
                [engines = m_engines, id](
                    const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
                    engines->decode(id, request, connection);
                },
                "decode");
        }
    }

    void startReady(size_t gateways = 1)
    {
        const size_t first = m_started;
        start(gateways);
        m_started += gateways;
        for (size_t gateway = first; gateway < m_started; ++gateway)
            waitUntil([&] { return readiness(gateway) == 200; });
    }

    /** Starts gateways, each of which then serves a sound prompt. */
    void startServing(size_t gateways = 1)
    {
        startReady(gateways);
        for (size_t gateway = 0; gateway < gateways; ++gateway)
            cr_assert_eq(send(SoundPart, gateway).status, 200U);
    }

    /** @return a request whose last part is its own. */
    std::string nextRequest(const std::string& middlePart)
    {
        const std::string attempt = "a" + std::to_string(++m_requests);
        const std::string parts
            = CommonPart + "," + middlePart + ",f" + std::to_string(m_requests) + ":260";
        return requestText("POST", "/s/x", attempt,
            "X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prefix-Hash: " + parts + "\r\n", attempt);
    }
    std::string lastAttempt() const { return "a" + std::to_string(m_requests); }

    CallerResponse send(const std::string& middlePart, size_t gateway = 0)
    {
        Caller caller(callers(gateway));
        caller.send(nextRequest(middlePart));
        return caller.receive();
    }
    /** Sends requests with the crashing part to all gateways in turn. */
    void sendManyCrashing()
    {
        for (int request = 0; request < ManyRequests; ++request)
            send(CrashingPart, static_cast<size_t>(request) % m_started);
    }

    std::string recordedParts()
    {
        const std::map<std::string, std::string> contents = store().contents();
        const auto record = contents.find(RecordKey);
        return record == contents.end() ? std::string() : record->second;
    }
    bool isRecorded() { return recordedParts().find("bad") != std::string::npos; }

    PrefillGate& gate() { return *m_gate; }
    size_t crashes() const { return m_engines->crashes(); }

private:
    std::shared_ptr<PrefillGate> m_gate = std::make_shared<PrefillGate>();
    std::shared_ptr<CrashingEngines> m_engines;
    size_t m_started = 0;
    int m_requests = 0;
};

} // namespace citronspoke::gateway::tests

#pragma once

#include "RunHistory.h"
#include "fleet/Fleet.h"
#include "http1/Http1.h"

namespace citronspoke::soak {

/** The kinds of requests: Once and SingleStream may run at most once, Stream may be resumed. */
enum class Work : uint8_t { Repeatable, Once, Stream, SingleStream };

/** A response as far as the caller received it; status 0 when none came. */
struct Response {
    uint32_t status = 0;
    std::string body;
    bool hasServerStamp = false;
    bool hasRetryAfter = false;
    bool isComplete = false;
};

/**
 * A caller that reuses its connection as long as the gateway keeps it open, and checks each
 * response. It is used by one thread.
 */
class SoakCaller {
public:
    SoakCaller(std::string name, RunHistory& history);
    ~SoakCaller();
    SoakCaller(const SoakCaller&) = delete;
    SoakCaller& operator=(const SoakCaller&) = delete;

    /**
     * Sends one request, checks its response and records both.
     * @param isPlannedOnly no faults are injected, only planned changes, which may cut no request.
     * @param leavesEarly closes the connection once the request is sent.
     */
    CallerResult sendRequest(
        const fleet::Address& gateway, Work work, bool isPlannedOnly, bool leavesEarly);
    /**
     * Sends a stream request whose prompt has a part that crashes engines, after the part that all
     * prompts share, and ignores how it ends.
     */
    void sendCrashing(const fleet::Address& gateway, const std::string& part);
    /** @return whether the last stream broke off after its first event. */
    bool hasBrokenStream() const noexcept { return m_brokenStream.has_value(); }
    /** @return the software version of that stream. */
    const std::string& brokenVersion() const { return m_brokenStream->version; }
    /** Resumes that stream. */
    CallerResult resumeStream(const fleet::Address& gateway);
    /** @return the response to a repeatable request for an application's path. */
    Response fetch(const fleet::Address& gateway, const std::string& path);

private:
    bool connectTo(const fleet::Address& gateway);
    bool send(std::string_view bytes);
    Response receive();
    void close();
    std::string nextAttempt(Work work);
    /** A stream that broke off, as far as the caller has it. */
    struct BrokenStream {
        std::string firstAttempt;
        std::string version;
        uint64_t lastEvent = 0;
    };
    CallerResult classify(
        const std::string& attempt, Work work, const Response& response, bool isPlannedOnly);
    /** @return what the caller has of a stream with this response; the earlier part counts too. */
    BrokenStream streamAfter(const std::string& attempt, const Response& response) const;

    std::string m_name;
    RunHistory& m_history;
    uint64_t m_requests = 0;
    int m_descriptor = -1;
    fleet::Address m_gateway;
    std::optional<BrokenStream> m_brokenStream;
};

} // namespace citronspoke::soak

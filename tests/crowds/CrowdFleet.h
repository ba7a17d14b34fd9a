#pragma once

#include "Crowd.h"
#include "FakeDocuments.h"
#include "FakeFleetStore.h"
#include "PortPicker.h"
#include "ProcessUnderTest.h"

namespace citronspoke::crowds {

/** Limits of the process under test. */
inline constexpr ProcessLimits TestLimits { 48, 256 };
/** The declaration's limits on requests. The time limit exceeds the duration of the tests, so that
 * only memory and descriptors bound what a crowd keeps open. */
inline constexpr size_t MaxHeadBytes = size_t { 64 } << 10;
inline constexpr size_t MaxBodyBytes = size_t { 1 } << 20;
inline constexpr Milliseconds RequestReadLimit { 60000 };

/** Streams whose targets a test scripts, beside the application's requests. */
struct ScriptedStreams {
    /** Of the route "/s/"; its service is "app" or "llm". */
    fakes::RouteOptions route;
    /** Serves all requests to its targets but those on the application's route. */
    fakes::FakeHttpServer::Handler serve;
};

/** A gateway process with a fake store and two fake targets of one application. */
class CrowdFleet {
public:
    /** @param answer what the targets respond, after @p workTime. */
    explicit CrowdFleet(std::string answer = "ok", Milliseconds workTime = Milliseconds(0));
    /** Also has a prefill and two decode engines, when the streams' service is "llm". */
    explicit CrowdFleet(ScriptedStreams streams);

    const fleet::Address& callers() const noexcept { return m_callers; }
    const fleet::Address& readiness() const noexcept { return m_readiness; }
    const fleet::Address& operators() const noexcept { return m_operators; }
    ProcessUnderTest& gateway() { return *m_gateway; }
    /** @return how many requests have reached targets. */
    size_t runs() const noexcept { return m_runs; }
    /** Sends one request on a connection of its own. @return the status; 0 without a response. */
    uint32_t statusOf(std::string_view request) const;
    /**
     * The test fails unless the gateway has lived within its limits, serves an ordinary request,
     * and has given each of these replies only promises that hold.
     */
    void expectSound(std::span<const CrowdReply> replies);

private:
    void addTarget(const std::string& id, fakes::EntryOptions options);
    void start();
    void answerRequest(const fakes::FakeRequest& request, fakes::FakeConnection& connection);

    ScriptedStreams m_streams;
    std::string m_answer;
    Milliseconds m_workTime;
    std::atomic<size_t> m_runs { 0 };
    fakes::FakeFleetStore m_store;
    std::vector<std::unique_ptr<fakes::FakeHttpServer>> m_targets;
    localfleet::PortPicker m_ports;
    fleet::Address m_callers;
    fleet::Address m_readiness;
    fleet::Address m_operators;
    std::optional<ProcessUnderTest> m_gateway;
};

/** @return the head of a request to the fleet's application; extra lines end with CRLF. */
std::string requestHead(
    std::string_view method, std::string_view extraLines, std::string_view path = "/a/x");
/** @return the status of the response to a request on a connection of its own; 0 without one. */
uint32_t exchangeStatus(const fleet::Address& address, std::string_view request);

} // namespace citronspoke::crowds

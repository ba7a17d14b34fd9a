#pragma once

#include "GatewayFixture.h"

namespace citronspoke::gateway::tests {

using Counts = std::map<std::string, uint64_t>;

/** A call that the platform's API received. */
struct DutyCall {
    SteadyTime at;
    int64_t unixMs = 0;
    std::string holder;
    int64_t number = 0;
    int64_t window = 0;
    std::string body;
    bool isAccepted = false;
};

/** A fake of the platform's API that records the calls of duties. */
class FakeDutyApi {
public:
    FakeDutyApi();

    fleet::Address address() const { return m_server.address(); }
    std::vector<DutyCall> calls() const;
    /** @return accepted calls so far. */
    size_t accepted() const;
    /** Answers each call with this status; 0 for never. */
    void answerWith(uint32_t status) { m_status = status; }
    /** Delays each response. */
    void slowDown(Milliseconds delay) { m_delay = delay; }

private:
    void handle(const fakes::FakeRequest& request, fakes::FakeConnection& connection);

    mutable std::mutex m_mutex;
    std::vector<DutyCall> m_calls;
    std::atomic<uint32_t> m_status { 200 };
    std::atomic<Milliseconds> m_delay { Milliseconds(0) };
    fakes::FakeHttpServer m_server;
};

/** Gateways that report usage to a fake of the platform's API. */
class DutyFixture : public GatewayFixture {
public:
    static constexpr Milliseconds Window { 3000 };
    static constexpr Milliseconds Delay { 10000 };
    static constexpr Milliseconds LeaseTime { 3000 };

    explicit DutyFixture(size_t gateways = 4);

    FakeDutyApi& api() { return m_api; }
    /** Counts requests at all running gateways for some time. */
    void run(Milliseconds duration);
    /** Counts requests until a condition holds. */
    void runUntil(const std::function<bool()>& condition);
    /** @return the gateway that the store has as holder; none when there is none. */
    std::optional<size_t> holder() const;
    size_t waitForHolder();
    void kill(size_t gateway);
    void startAnew(size_t gateway);
    /** The gateway's thread stands still for some time. */
    void suspend(size_t gateway, Milliseconds duration);
    /** Lets all begun windows be reported. */
    void settle();
    /** Checks the requirements that hold always. */
    void expectRules() const;
    /**
     * Checks that each window from the first to the last reported one, and at least some, was
     * reported in time and within the tolerance.
     * @param lateWindows windows that may be late or missing, because of the platform itself.
     */
    void expectReports(size_t least, const std::set<int64_t>& lateWindows = {}) const;
    static int64_t windowNow() { return unixNow().value() / Window.count(); }

private:
    struct Truth {
        std::mutex mutex;
        std::map<int64_t, Counts> byWindow;
    };
    void countOnce();

    FakeDutyApi m_api;
    std::shared_ptr<Truth> m_truth = std::make_shared<Truth>();
    std::set<size_t> m_running;
};

/** @return the counts of a report. */
Counts countsOf(const std::string& body);

} // namespace citronspoke::gateway::tests

#include "DutyFixture.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

namespace citronspoke::gateway::tests {

FakeDutyApi::FakeDutyApi()
    : m_server([this](const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
        handle(request, connection);
    })
{
}

void FakeDutyApi::handle(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const uint32_t status = m_status;
    DutyCall call { steadyNow(), unixNow().value(), request.field("X-Duty-Holder"),
        std::stoll(request.field("X-Fencing-Token")),
        nlohmann::json::parse(request.body)["windowId"].get<int64_t>(), request.body,
        status == 200 };
    {
        std::lock_guard lock(m_mutex);
        m_calls.push_back(std::move(call));
    }
    std::this_thread::sleep_for(m_delay.load());
    if (status == 0)
        connection.waitForClose();
    else
        connection.answer(status, {}, "");
}

std::vector<DutyCall> FakeDutyApi::calls() const
{
    std::lock_guard lock(m_mutex);
    return m_calls;
}

size_t FakeDutyApi::accepted() const
{
    size_t count = 0;
    for (const DutyCall& call : calls())
        count += call.isAccepted ? 1 : 0;
    return count;
}

Counts countsOf(const std::string& body)
{
    return nlohmann::json::parse(body)["counts"].get<Counts>();
}

DutyFixture::DutyFixture(size_t gateways)
{
    addRoute("/a/", Repeatable);
    declare(1);
    addTarget("one", "app", answerOk);
    adjustSettings = [this](size_t, settings::GatewaySettings& settings) {
        settings.duties.platformApi = m_api.address().text();
        settings.duties.duties = { "usage_reporting" };
        settings.duties.leaseTime = LeaseTime;
        settings.duties.usageWindow = Window;
        settings.duties.usageDelay = Delay;
    };
    for (size_t number = 0; number < gateways; ++number)
        m_running.insert(number);
}

void DutyFixture::countOnce()
{
    for (const size_t gateway : m_running) {
        post(gateway, [truth = m_truth](Gateway& running) {
            const int64_t window = unixNow().value() / Window.count();
            std::lock_guard lock(truth->mutex);
            for (const std::string name : { "large", "large", "large", "small" }) {
                running.context().noteRunBegun(OrganisationId(name));
                truth->byWindow[window][name] += 1;
            }
            running.context().noteRunBegun(OrganisationId());
        });
    }
}

void DutyFixture::run(Milliseconds duration)
{
    const SteadyTime end = steadyNow() + duration;
    runUntil([end] { return steadyNow() >= end; });
}

void DutyFixture::runUntil(const std::function<bool()>& condition)
{
    constexpr Milliseconds CountInterval { 10 };
    waitUntil([&] {
        countOnce();
        std::this_thread::sleep_for(CountInterval);
        return condition();
    });
}

std::optional<size_t> DutyFixture::holder() const
{
    const std::map<std::string, std::string> contents
        = const_cast<DutyFixture*>(this)->store().contents();
    const auto found = contents.find("citronspoke/duties/holder");
    if (found == contents.end() || found->second.empty())
        return std::nullopt;
    const std::string name = found->second.substr(0, found->second.find(' '));
    return std::stoul(name.substr(name.rfind('-') + 1)) - 1;
}

size_t DutyFixture::waitForHolder()
{
    runUntil([this] { return holder() && m_running.contains(*holder()); });
    return *holder();
}

void DutyFixture::kill(size_t gateway)
{
    m_running.erase(gateway);
    killGateway(gateway);
}

void DutyFixture::startAnew(size_t gateway)
{
    restartGateway(gateway);
    m_running.insert(gateway);
}

void DutyFixture::suspend(size_t gateway, Milliseconds duration)
{
    post(gateway, [duration](Gateway&) { std::this_thread::sleep_for(duration); });
}

void DutyFixture::settle()
{
    constexpr Milliseconds Slack { 300 };
    std::this_thread::sleep_for(Window + Delay + Slack);
}

void DutyFixture::expectRules() const
{
    std::map<int64_t, std::string> bodies;
    std::map<std::string, SteadyTime> lastCalls;
    std::map<int64_t, std::string> holders;
    int64_t lastNumber = 0;
    std::string lastHolder;
    for (const DutyCall& call : m_api.calls()) {
        cr_assert_eq(bodies.try_emplace(call.window, call.body).first->second, call.body,
            "window %ld has two reports", call.window);
        cr_assert_geq(call.number, lastNumber, "a lower fencing token follows a higher one");
        cr_assert_eq(holders.try_emplace(call.number, call.holder).first->second, call.holder,
            "two holders have one fencing token");
        const auto before = lastCalls.find(call.holder);
        cr_assert(call.holder == lastHolder || before == lastCalls.end()
                || call.at - before->second >= LeaseTime,
            "calls in the order A, B, A within the lease time");
        lastCalls[call.holder] = call.at;
        lastNumber = call.number;
        lastHolder = call.holder;
    }
}

void DutyFixture::expectReports(size_t least, const std::set<int64_t>& lateWindows) const
{
    constexpr double Tolerance = 0.05;
    std::map<int64_t, DutyCall> reports;
    for (const DutyCall& call : m_api.calls()) {
        if (call.isAccepted)
            reports.try_emplace(call.window, call);
    }
    std::lock_guard lock(m_truth->mutex);
    const int64_t first = m_truth->byWindow.begin()->first;
    const int64_t last = m_truth->byWindow.rbegin()->first;
    cr_assert_geq(reports.size(), least);
    for (int64_t window = first; window <= last; ++window) {
        const auto report = reports.find(window);
        if (report == reports.end()) {
            cr_assert(lateWindows.contains(window), "window %ld of %ld..%ld is missing", window,
                first, last);
            continue;
        }
        const int64_t delay = report->second.unixMs - (window + 1) * Window.count();
        cr_assert(delay >= 0 && (delay <= Delay.count() || lateWindows.contains(window)),
            "window %ld was reported %ld ms after its end", window, delay);
        const Counts counts = countsOf(report->second.body);
        cr_assert(!counts.contains(""));
        for (const auto& [organisation, expected] : m_truth->byWindow[window]) {
            const auto found = counts.find(organisation);
            const double counted = found == counts.end() ? 0 : static_cast<double>(found->second);
            const double wanted = static_cast<double>(expected);
            cr_assert(std::abs(counted - wanted) <= Tolerance * wanted + 1,
                "window %ld has %f instead of %f for %s", window, counted, wanted,
                organisation.c_str());
        }
    }
}

} // namespace citronspoke::gateway::tests

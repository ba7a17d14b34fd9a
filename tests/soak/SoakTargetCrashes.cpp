// Engines that crash on a part of a prompt.
#include "SoakTarget.h"

namespace citronspoke::soak {

namespace {

    constexpr Milliseconds RestartTime { 1500 };
    constexpr Milliseconds PollInterval { 50 };

} // namespace

std::optional<std::string> SoakTarget::crashingPartOf(const fakes::FakeRequest& request)
{
    const std::string parts = request.field("X-Prefix-Hash");
    const size_t start = parts.find(CrashingPartPrefix);
    if (start == std::string::npos)
        return std::nullopt;
    std::string part = parts.substr(start, parts.find(':', start) - start);
    const std::string attempt = request.field("X-Attempt-Id");
    const std::optional<RunHistory::SentAttempt> sent = m_context.history.sent(attempt);
    const std::optional<SteadyTime> runningSince
        = sent ? m_context.gatewayRunningSince(sent->gateway) : std::nullopt;
    m_context.history.recordCrashingArrival(
        part, attempt, runningSince && sent->sentAt - *runningSince > RunHistory::ContactTime);
    return part;
}

void SoakTarget::crash(const std::string& part)
{
    if (m_isCrashed.exchange(true))
        return;
    m_crashes += 1;
    m_context.history.recordPartCrash(part);
    m_context.history.recordServing(m_id, {});
    m_context.handles.dropEngine(m_id);
    m_restarter = std::jthread([this](const std::stop_token& stop) { restart(stop); });
}

void SoakTarget::restart(const std::stop_token& stop)
{
    const SteadyTime end = steadyNow() + RestartTime;
    while (!stop.stop_requested() && steadyNow() < end)
        std::this_thread::sleep_for(PollInterval);
    if (stop.stop_requested())
        return;
    {
        std::lock_guard lock(m_mutex);
        m_startedAt = unixNow();
        m_orders = 0;
        m_lastFence = 0;
        m_orderOwner.clear();
        m_lastOrder = {};
        m_isCrashed = false;
    }
    publish();
}

} // namespace citronspoke::soak

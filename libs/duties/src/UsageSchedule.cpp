#include "duties/Duties.h"

#include <algorithm>

namespace citronspoke::duties {

namespace {

    constexpr double MsPerSecond = 1000;
    /** Part of the platform's limit that usage reports may take. */
    constexpr double ShareOfCalls = 0.5;
    constexpr Milliseconds FirstBackOff { 100 };
    /** A window recorded when its time has come is due 7 s later, so it gets several attempts. */
    constexpr Milliseconds MaxBackOff { 1000 };
    constexpr uint32_t MaxDoublings = 4;

    void raise(std::optional<WindowNumber>& value, WindowNumber window)
    {
        value = std::max(value.value_or(window), window);
    }

} // namespace

UnixMillis UsageSchedule::endOf(WindowNumber window) const
{
    return UnixMillis((window.value() + 1) * m_options.window.count());
}

void UsageSchedule::begin(WindowNumber first)
{
    if (!m_doneThrough)
        m_doneThrough = WindowNumber(first.value() - 1);
}

void UsageSchedule::noteRecord(WindowNumber window, std::string body)
{
    noteRecordedThrough(window);
    if (!m_doneThrough || window > *m_doneThrough)
        m_records[window] = std::move(body);
}

void UsageSchedule::noteRecordedThrough(WindowNumber window) { raise(m_recordedThrough, window); }

void UsageSchedule::noteDoneThrough(WindowNumber window)
{
    raise(m_doneThrough, window);
    m_records.erase(m_records.begin(), m_records.upper_bound(*m_doneThrough));
}

std::optional<WindowNumber> UsageSchedule::windowToGiveUp(UnixMillis trueTime) const
{
    const WindowNumber newest(
        windowAt(UnixMillis(trueTime.value() - m_options.lifetime.count()), m_options.window)
            .value()
        - 1);
    if (!m_doneThrough || newest <= *m_doneThrough)
        return std::nullopt;
    return newest;
}

std::optional<WindowNumber> UsageSchedule::windowToRecord(UnixMillis trueTime) const
{
    if (!m_doneThrough)
        return std::nullopt;
    // A recorded window is never recorded again: its counts might differ.
    const WindowNumber window
        = std::max(*m_doneThrough, m_recordedThrough.value_or(*m_doneThrough)).next();
    const int64_t end = endOf(window).value();
    const bool isComplete = end - m_options.window.count() >= m_completeSince.value();
    const Milliseconds wait
        = isComplete ? m_options.settleTime : m_options.delay - m_options.reserve;
    if (trueTime.value() < end + wait.count())
        return std::nullopt;
    return window;
}

std::optional<WindowNumber> UsageSchedule::windowToPost(BootTime now) const
{
    if (m_records.empty() || now < m_nextCallAt)
        return std::nullopt;
    return m_records.begin()->first;
}

const std::string& UsageSchedule::recordOf(WindowNumber window) const
{
    return m_records.at(window);
}

bool UsageSchedule::isLate(WindowNumber window, UnixMillis trueTime) const
{
    return trueTime.value() > endOf(window).value() + m_options.delay.count();
}

void UsageSchedule::notePostSent(BootTime now)
{
    const double interval = MsPerSecond / (m_options.callsPerSecond * ShareOfCalls);
    m_nextCallAt = now + Milliseconds(static_cast<int64_t>(interval) + 1);
}

void UsageSchedule::notePostFailed(BootTime now)
{
    const Milliseconds backOff
        = std::min(MaxBackOff, FirstBackOff * (1 << std::min(m_failures, MaxDoublings)));
    m_failures += 1;
    m_nextCallAt = std::max(m_nextCallAt, now + backOff);
}

void UsageSchedule::notePosted(WindowNumber window)
{
    m_failures = 0;
    m_records.erase(window);
    // Windows below that have no record are recorded by others, or not at all.
    noteDoneThrough(window);
}

} // namespace citronspoke::duties

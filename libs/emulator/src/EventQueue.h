#pragma once

#include "model/Model.h"

#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>

namespace citronspoke::emulator {

using Micros = std::chrono::microseconds;

inline Micros fromMs(double milliseconds)
{
    constexpr double MicrosPerMs = 1000;
    return Micros(static_cast<int64_t>(milliseconds * MicrosPerMs));
}

/** The simulated clock and the tasks scheduled on it. */
class EventQueue {
public:
    using Task = std::function<void()>;

    Micros now() const noexcept { return m_now; }
    SteadyTime steadyNow() const { return SteadyTime(m_now); }
    /** Schedules a task. */
    void after(Micros delay, Task task)
    {
        m_events.push({ m_now + delay, ++m_lastNumber, std::move(task) });
    }
    /** Runs all tasks that are due until a time, inclusive, in the order of their times. */
    void runUntil(Micros end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.task();
        }
    }

private:
    struct Event {
        Micros at;
        /** Events with the same time run in the order in which they were scheduled. */
        uint64_t number;
        Task task;

        bool operator<(const Event& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    Micros m_now { 0 };
    uint64_t m_lastNumber = 0;
    std::priority_queue<Event> m_events;
};

} // namespace citronspoke::emulator

#include "balance/Balance.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::balance {

namespace {

    constexpr double MeterMemoryMs = 1000;
    constexpr double RequestWeight = 0.05;
    /** Periods after which the measured rate counts as much as the pool's mean. */
    constexpr double HalfConfidence = 2;

    double decay(SteadyTime from, SteadyTime to)
    {
        const std::chrono::duration<double, std::milli> elapsed
            = std::max(to - from, SteadyTime::duration::zero());
        return std::exp(-elapsed.count() / MeterMemoryMs);
    }

} // namespace

void ArrivalMeter::note(double workMs, SteadyTime now)
{
    m_work = m_work * decay(m_updatedAt, now) + workMs;
    m_updatedAt = now;
    m_requestMs = m_requestMs == 0 ? workMs : m_requestMs + RequestWeight * (workMs - m_requestMs);
}

double ArrivalMeter::workPerMs(SteadyTime now) const
{
    return m_work * decay(m_updatedAt, now) / MeterMemoryMs;
}

void RateEstimate::note(double rate, SteadyTime now)
{
    if (!(rate > 0))
        return;
    if (m_begun == 0 || now - m_periods[(m_begun - 1) % Periods].begin >= PeriodLength)
        m_periods[m_begun++ % Periods] = { now, 0, 0 };
    Period& current = m_periods[(m_begun - 1) % Periods];
    current.sum += rate;
    current.samples += 1;
    std::array<double, Periods> means {};
    const size_t used = usedPeriods();
    for (size_t index = 0; index < used; ++index)
        means[index] = m_periods[index].sum / m_periods[index].samples;
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(used / 2);
    std::nth_element(means.begin(), middle, means.begin() + static_cast<std::ptrdiff_t>(used));
    m_median = *middle;
}

double RateEstimate::confidence() const
{
    const double used = static_cast<double>(usedPeriods());
    return used / (used + HalfConfidence);
}

double RateEstimate::estimate(double poolMean) const
{
    if (m_begun == 0)
        return poolMean;
    return poolMean > 0 ? poolMean + confidence() * (m_median - poolMean) : m_median;
}

} // namespace citronspoke::balance

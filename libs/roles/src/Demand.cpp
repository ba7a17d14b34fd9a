#include "roles/Roles.h"

#include <algorithm>

namespace citronspoke::roles {

namespace {

    constexpr Milliseconds MeasuredTime { 4000 };
    constexpr Milliseconds BucketLength { 500 };
    /** The response of an engine with more work waits for other requests. */
    constexpr uint32_t LittleWork = 16;
    /** The estimate moves by these fractions towards lower and higher samples, so that it settles
     * at their lower quintile. */
    constexpr double LowerSampleStep = 0.08;
    constexpr double HigherSampleStep = 0.02;
    /** Part of the time until a decode engine begins its response in which no other transfer to it
     * can run; the rest is network delay and the first step. */
    constexpr double TransferShare = 0.5;

} // namespace

Demand& Demand::operator+=(const Demand& other)
{
    decodeEngines += other.decodeEngines;
    prefillEngines += other.prefillEngines;
    prompts += other.prompts;
    return *this;
}

DemandMeter::Bucket& DemandMeter::currentBucket(SteadyTime now)
{
    while (!m_buckets.empty() && now - m_buckets.front().start > MeasuredTime)
        m_buckets.pop_front();
    if (m_buckets.empty() || now - m_buckets.back().start >= BucketLength)
        m_buckets.push_back({ now });
    return m_buckets.back();
}

void DemandMeter::noteArrival(SteadyTime now) { currentBucket(now).arrivals += 1; }

void DemandMeter::notePrompt(Milliseconds prefillTime, SteadyTime now)
{
    Bucket& bucket = currentBucket(now);
    bucket.prompts += 1;
    bucket.prefillMs += static_cast<double>(prefillTime.count());
}

void DemandMeter::noteDecodeBegun(Milliseconds took, uint32_t requestsAtEngine)
{
    if (requestsAtEngine > LittleWork)
        return;
    const double sample = static_cast<double>(took.count());
    if (m_decodeStartMs == 0)
        m_decodeStartMs = sample;
    else if (sample < m_decodeStartMs)
        m_decodeStartMs *= 1 - LowerSampleStep;
    else
        m_decodeStartMs *= 1 + HigherSampleStep;
}

void DemandMeter::noteDecodeFinished(
    Milliseconds took, uint64_t cacheTokens, const fleet::EngineTraits& engine, SteadyTime now)
{
    Bucket& bucket = currentBucket(now);
    const double ms = static_cast<double>(took.count());
    bucket.slotsMs += ms / std::max(1U, engine.slots);
    bucket.cacheMs += ms * static_cast<double>(cacheTokens)
        / static_cast<double>(std::max<uint64_t>(1, engine.cacheTokens));
}

Demand DemandMeter::demand(SteadyTime now) const
{
    double arrivals = 0;
    double prompts = 0;
    double prefillMs = 0;
    double slotsMs = 0;
    double cacheMs = 0;
    for (const Bucket& bucket : m_buckets) {
        if (now - bucket.start > MeasuredTime)
            continue;
        arrivals += bucket.arrivals;
        prompts += bucket.prompts;
        prefillMs += bucket.prefillMs;
        slotsMs += bucket.slotsMs;
        cacheMs += bucket.cacheMs;
    }
    const double measuredMs = static_cast<double>(MeasuredTime.count());
    // Transfers, slots and memory limit an engine independently; the scarcest one counts.
    const double decodeMs
        = std::max({ prompts * TransferShare * m_decodeStartMs, slotsMs, cacheMs });
    const double measuredS = std::chrono::duration<double>(MeasuredTime).count();
    return { decodeMs / measuredMs, prefillMs / measuredMs, arrivals / measuredS };
}

} // namespace citronspoke::roles

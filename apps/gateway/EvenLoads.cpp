#include "EvenLoads.h"

#include "telemetry/Telemetry.h"

#include <algorithm>
#include <array>

namespace citronspoke::gateway {

namespace {

    constexpr std::array AgeBounds { Milliseconds(10), Milliseconds(50), Milliseconds(200),
        Milliseconds(1000) };

    std::string ageLabel(Milliseconds age)
    {
        const auto bound = std::lower_bound(AgeBounds.begin(), AgeBounds.end(), age);
        return bound == AgeBounds.end() ? "more" : std::to_string(bound->count());
    }

} // namespace

void EvenLoads::updateGateways(std::span<const EntryId> gateways)
{
    const auto own = std::find(gateways.begin(), gateways.end(), m_id);
    m_gateway = static_cast<uint32_t>(own - gateways.begin());
    m_gateways = static_cast<uint32_t>(gateways.size());
}

const dispatch::EvenLoad* EvenLoads::next(const PoolId& pool, ChoiceKind kind,
    const dispatch::TargetDirectory& directory, double draw, SteadyTime now)
{
    if (!m_isEnabled)
        return nullptr;
    dispatch::EvenLoad& load = m_loads[{ pool, kind }];
    load.gateway = m_gateway;
    load.gateways = m_gateways;
    load.reportAgeMs = directory.reportAges().meanMs(m_gateways, now);
    load.draw = draw;
    return &load;
}

void EvenLoads::noteSent(const PoolId& pool, ChoiceKind kind, double work, SteadyTime now)
{
    if (m_isEnabled)
        m_loads[{ pool, kind }].own.note(work, now);
}

void EvenLoads::noteDecoded(
    const PoolId& pool, dispatch::TargetState* engine, double stepMs, SteadyTime now)
{
    constexpr double SampleWeight = 0.1;
    if (!m_isEnabled || stepMs <= 0)
        return;
    double& mean = m_loads[{ pool, ChoiceKind::DecodeEngine }].decodeStepMs;
    mean = mean == 0 ? stepMs : mean + SampleWeight * (stepMs - mean);
    if (engine)
        engine->speeds.decodeStep.note(stepMs, now);
}

void EvenLoads::observePrefill(Milliseconds expected, Milliseconds measured, Milliseconds reportAge)
{
    telemetry::observe("prefill_expected", expected, { { "report_age_ms", ageLabel(reportAge) } });
    telemetry::observe("prefill_measured", measured, { { "report_age_ms", ageLabel(reportAge) } });
}

} // namespace citronspoke::gateway

#include "PlatformWatch.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::entry {

namespace {

    /** Entries poll, so that a configuration is in force within 9 s without a watch for each. */
    constexpr Milliseconds ConfigInterval { 3000 };
    constexpr Milliseconds VmInterval { 1000 };
    constexpr Milliseconds VmLimit { 1000 };

} // namespace

PlatformWatch::PlatformWatch(const settings::EntrySettings& settings, const platform::Store& store,
    control::ConfigHolder& config, Router& router)
    : m_settings(settings)
    , m_store(store)
    , m_config(config)
    , m_router(router)
{
}

void PlatformWatch::start()
{
    m_configDuty.emplace(
        "config", [this](const std::stop_token& token) { readConfiguration(token); });
    m_vmDuty.emplace("vm-list", [this](const std::stop_token& token) { readVms(token); });
}

void PlatformWatch::stop()
{
    m_configDuty->requestStop();
    m_vmDuty->requestStop();
    m_configDuty.reset();
    m_vmDuty.reset();
}

void PlatformWatch::readConfiguration(const std::stop_token& token)
{
    bool isAway = false;
    do {
        try {
            control::refreshConfig(m_store, m_config);
            if (isAway)
                telemetry::logInfo("config", "The store is back.");
            isAway = false;
        } catch (const Error& error) {
            if (!isAway)
                telemetry::logWarning("config", error.describe());
            isAway = true;
        }
    } while (sleepUnlessStopped(token, jittered(ConfigInterval)));
}

void PlatformWatch::readVms(const std::stop_token& token)
{
    do {
        try {
            m_router.post(
                VmStatesRead { platform::readVmList(m_settings.process.vmList, VmLimit) });
        } catch (const platform::StoreUnavailable&) {
            telemetry::count("vm_list_reads_failed");
        }
    } while (sleepUnlessStopped(token, jittered(VmInterval)));
}

} // namespace citronspoke::entry

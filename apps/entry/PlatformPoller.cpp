#include "PlatformPoller.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::entry {

namespace {

    /** Polling applies a new configuration within 9 s without a store watch for every entry. */
    constexpr Milliseconds ConfigPollInterval { 3000 };
    constexpr Milliseconds VmListPollInterval { 1000 };
    constexpr Milliseconds VmListTimeout { 1000 };

} // namespace

PlatformPoller::PlatformPoller(const settings::EntrySettings& settings,
    const platform::Store& store, control::ConfigHolder& config, Router& router)
    : m_settings(settings)
    , m_store(store)
    , m_config(config)
    , m_router(router)
{
}

void PlatformPoller::start()
{
    m_configWorker.emplace(
        "config", [this](const std::stop_token& token) { pollConfiguration(token); });
    m_vmListWorker.emplace("vm-list", [this](const std::stop_token& token) { pollVmList(token); });
}

void PlatformPoller::stop()
{
    m_configWorker->requestStop();
    m_vmListWorker->requestStop();
    m_configWorker.reset();
    m_vmListWorker.reset();
}

void PlatformPoller::pollConfiguration(const std::stop_token& token)
{
    bool isStoreUnreachable = false;
    do {
        try {
            control::refreshConfig(m_store, m_config);
            if (isStoreUnreachable)
                telemetry::logInfo("config", "The store is reachable again.");
            isStoreUnreachable = false;
        } catch (const Error& error) {
            if (!isStoreUnreachable)
                telemetry::logWarning("config", error.describe());
            isStoreUnreachable = true;
        }
    } while (sleepUnlessStopped(token, jittered(ConfigPollInterval)));
}

void PlatformPoller::pollVmList(const std::stop_token& token)
{
    do {
        try {
            m_router.post(
                VmStatesUpdate { platform::readVmList(m_settings.process.vmList, VmListTimeout) });
        } catch (const platform::StoreUnavailable&) {
            telemetry::count("vm_list_reads_failed");
        }
    } while (sleepUnlessStopped(token, jittered(VmListPollInterval)));
}

} // namespace citronspoke::entry

#pragma once

#include "Router.h"

namespace citronspoke::entry {

/** Polls the configuration in the store and the platform's list of VMs, each on its own worker
 * thread. */
class PlatformPoller final : public Service {
public:
    PlatformPoller(const settings::EntrySettings& settings, const platform::Store& store,
        control::ConfigHolder& config, Router& router);

    std::string_view name() const noexcept override { return "platform-watch"; }
    void start() override;
    void stop() override;

private:
    void pollConfiguration(const std::stop_token& token);
    void pollVmList(const std::stop_token& token);

    const settings::EntrySettings& m_settings;
    const platform::Store& m_store;
    control::ConfigHolder& m_config;
    Router& m_router;
    std::optional<WorkerThread> m_configWorker;
    std::optional<WorkerThread> m_vmListWorker;
};

} // namespace citronspoke::entry

#pragma once

#include "Router.h"

namespace citronspoke::entry {

/** Reads the configuration's head and the list of VMs, each on a duty of its own. */
class PlatformWatch final : public Service {
public:
    PlatformWatch(const settings::EntrySettings& settings, const platform::Store& store,
        control::ConfigHolder& config, Router& router);

    std::string_view name() const noexcept override { return "platform-watch"; }
    void start() override;
    void stop() override;

private:
    void readConfiguration(const std::stop_token& token);
    void readVms(const std::stop_token& token);

    const settings::EntrySettings& m_settings;
    const platform::Store& m_store;
    control::ConfigHolder& m_config;
    Router& m_router;
    std::optional<Duty> m_configDuty;
    std::optional<Duty> m_vmDuty;
};

} // namespace citronspoke::entry

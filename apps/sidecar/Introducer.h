#pragma once

#include "peers/Peers.h"
#include "settings/Settings.h"
#include "storefeed/StoreFeed.h"

namespace citronspoke::sidecar {

/**
 * Introduces the engine on this VM to the gateways when it has just started: engines answer some
 * seconds before the store lists them. The store decides as soon as it has listed the engine.
 */
class Introducer {
public:
    Introducer(channels::EventLoop& loop, const settings::SidecarSettings& settings);
    void start();

private:
    void onDeclaration(std::span<const adapter::StoreItem> items);
    void onGateways(std::span<const adapter::StoreItem> items);
    void askForReport();
    void onReport(const std::optional<channels::CallAnswer>& answer);
    void askForHealth();
    void onHealth(const std::optional<channels::CallAnswer>& answer);
    void introduce();
    void callEngine(const adapter::Call& call,
        void (Introducer::*handler)(const std::optional<channels::CallAnswer>&));

    channels::EventLoop& m_loop;
    const settings::SidecarSettings& m_settings;
    fleet::Address m_engine;
    channels::ConnectionPool m_pool;
    storefeed::StoreFeed m_declarations;
    storefeed::StoreFeed m_gatewayFeed;
    channels::DatagramPort m_port;
    channels::Timer m_timer;
    std::shared_ptr<void> m_call;
    std::vector<fleet::Address> m_gateways;
    std::optional<fleet::PoolTraits> m_traits;
    fleet::EngineReport m_report;
    /** The engine's id, once its health check has named it in this life of the engine. */
    std::optional<TargetId> m_id;
    SteadyTime m_introducedSince;
    UnixMillis m_startedAt;
    uint64_t m_datagrams = 0;
};

} // namespace citronspoke::sidecar

#pragma once

#include "GatewayContext.h"

namespace citronspoke::gateway {

/**
 * Queries the engines' caches when the gateway starts. Its prefix cache index is empty then;
 * without the inventory, shared prompt parts that engines still have cached would be prefilled
 * again. Used by the event loop's thread only.
 */
class CacheInventory {
public:
    explicit CacheInventory(GatewayContext& context);
    /**
     * Queries the engines that are known now, one after the other. Later calls do nothing, and
     * neither does any call when the settings say that the system starts for the first time.
     */
    void start();

private:
    void queryNext();
    void onResponse(
        const fleet::TargetRecord& engine, const std::optional<channels::CallResponse>& response);

    GatewayContext& m_context;
    bool m_isStarted = false;
    std::vector<fleet::TargetRecord> m_engines;
    std::shared_ptr<void> m_call;
};

} // namespace citronspoke::gateway

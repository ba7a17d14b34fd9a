#pragma once

#include "GatewayContext.h"

namespace citronspoke::gateway {

/**
 * Asks engines which parts of prompts they keep. A gateway that has just started does not know what
 * was read before, and would have shared parts read again that engines still have.
 */
class CacheInventory {
public:
    explicit CacheInventory(GatewayContext& context);
    /** Asks the engines known now, one after the other; later calls do nothing, and neither does
     * one in a system that starts for the first time. */
    void start();

private:
    void queryNext();
    void onResponse(
        const fleet::TargetEntry& engine, const std::optional<channels::CallAnswer>& answer);

    GatewayContext& m_context;
    bool m_isStarted = false;
    std::vector<fleet::TargetEntry> m_engines;
    std::shared_ptr<void> m_call;
};

} // namespace citronspoke::gateway

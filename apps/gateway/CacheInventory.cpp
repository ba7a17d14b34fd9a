#include "CacheInventory.h"

#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** A busy engine responds late; its cached parts soon become known from its work anyway. */
    constexpr Milliseconds CallTimeout { 500 };
    constexpr size_t MaxInventoryBytes = size_t { 8 } << 20;
    /** Each call delays an engine's work, so large fleets are queried only in part. */
    constexpr size_t MaxEngines = 48;
    constexpr uint32_t Ok = 200;

} // namespace

CacheInventory::CacheInventory(GatewayContext& context)
    : m_context(context)
{
}

void CacheInventory::start()
{
    if (std::exchange(m_isStarted, true) || m_context.settings.isFirstStart)
        return;
    for (const auto& [id, state] : m_context.directory.targets()) {
        if (state.record.role)
            m_engines.push_back(state.record);
    }
    // Each gateway queries in its own order, so that no engine is queried by all of them at once.
    const auto rank = [this](const fleet::TargetRecord& engine) {
        return stableHash(m_context.settings.id + "/" + engine.id.text());
    };
    std::sort(m_engines.begin(), m_engines.end(),
        [&rank](const fleet::TargetRecord& left, const fleet::TargetRecord& right) {
            return rank(left) < rank(right);
        });
    m_engines.resize(std::min(m_engines.size(), MaxEngines));
    queryNext();
}

void CacheInventory::queryNext()
{
    if (m_engines.empty())
        return;
    const fleet::TargetRecord engine = m_engines.back();
    m_engines.pop_back();
    if (m_context.isPaused(engine, steadyNow())) {
        queryNext();
        return;
    }
    m_call = channels::call(m_context.loop, m_context.targetConnections,
        { engine.address, engine.id.text() },
        adapter::composeCall(adapter::cacheInventoryCall(), engine.address),
        { CallTimeout, MaxInventoryBytes },
        [this, engine](const std::optional<channels::CallResponse>& response) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            if (response)
                m_context.noteNotice(
                    engine, adapter::decodeTargetNotice(response->status, response->headers));
            onResponse(engine, response);
            queryNext();
        });
}

void CacheInventory::onResponse(
    const fleet::TargetRecord& engine, const std::optional<channels::CallResponse>& response)
{
    std::string cause = "no response";
    try {
        if (response && response->status == Ok) {
            const std::vector<fleet::PromptPart> parts
                = adapter::decodeCacheInventory(response->body);
            m_context.noteCachedParts(engine.id, parts);
            telemetry::logInfo("caches", "An engine said what it keeps.",
                { { "target", engine.id.text() }, { "parts", std::to_string(parts.size()) } });
            return;
        }
        if (response)
            cause = "status " + std::to_string(response->status);
    } catch (const adapter::DocumentUnreadable& unreadable) {
        cause = unreadable.describe();
    }
    telemetry::logWarning("caches", "An engine did not report its cached prompt parts.",
        { { "target", engine.id.text() }, { "cause", cause } });
}

} // namespace citronspoke::gateway

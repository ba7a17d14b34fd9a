#include "storefeed/StoreFeed.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::storefeed {

namespace {

    constexpr Milliseconds ConnectTimeout { 500 };
    /** A page of items has about 1 MB. */
    constexpr size_t MaxResponseBytes = size_t { 8 } << 20;

    channels::ConnectionPool::Options poolOptions()
    {
        channels::ConnectionPool::Options options;
        options.connectTimeout = ConnectTimeout;
        return options;
    }

    std::optional<adapter::StoreEra> statedEra(const http1::Headers& headers)
    {
        try {
            return adapter::decodeStoreEra(headers);
        } catch (const adapter::DocumentUnreadable& unreadable) {
            telemetry::logWarning(
                "store", "Ignored an unreadable era.", { { "cause", unreadable.describe() } });
            return std::nullopt;
        }
    }

} // namespace

struct StoreClient::PendingCall {
    StoreHandler handler;
    std::shared_ptr<void> exchange;
    bool isCancelled = false;
};

StoreClient::StoreClient(channels::EventLoop& loop, const fleet::Address& store)
    : m_loop(loop)
    , m_pool(loop, poolOptions())
    , m_store(store)
{
}

std::shared_ptr<void> StoreClient::call(
    const adapter::Call& call, Milliseconds timeout, StoreHandler handler)
{
    const std::shared_ptr<PendingCall> pending = std::make_shared<PendingCall>();
    pending->handler = std::move(handler);
    pending->exchange = channels::call(m_loop, m_pool, { m_store, {} },
        adapter::composeCall(call, m_store), { timeout, MaxResponseBytes },
        [this, call = std::weak_ptr<PendingCall>(pending)](
            const std::optional<channels::CallResponse>& response) { onResponse(call, response); });
    return { pending.get(), [pending](PendingCall*) { pending->isCancelled = true; } };
}

void StoreClient::onResponse(
    const std::weak_ptr<PendingCall>& call, const std::optional<channels::CallResponse>& response)
{
    const std::shared_ptr<PendingCall> pending = call.lock();
    if (!pending)
        return;
    std::optional<StoreResponse> result;
    if (response && noteEra(response->headers))
        result = { m_eras.newest(), response->status, response->body };
    if (!pending->isCancelled)
        pending->handler(result);
}

bool StoreClient::noteEra(const http1::Headers& headers)
{
    const adapter::StoreEra before = m_eras.newest();
    const EraOrder order = m_eras.note(statedEra(headers));
    if (order == EraOrder::Superseded) {
        telemetry::logWarning("store", "Dropped a response of an earlier era of the store.",
            { { "newest", std::to_string(before.value()) } });
        return false;
    }
    telemetry::gauge("store_era", static_cast<double>(m_eras.newest().value()));
    if (order != EraOrder::Restored)
        return true;
    telemetry::count("store_restores");
    telemetry::logWarning("store", "The store was restored from an older copy.",
        { { "era", std::to_string(m_eras.newest().value()) },
            { "before", std::to_string(before.value()) } });
    for (const std::function<void()>& listener : m_listeners)
        listener();
    return true;
}

void StoreClient::onRestored(std::function<void()> listener)
{
    m_listeners.push_back(std::move(listener));
}

} // namespace citronspoke::storefeed

#pragma once

#include "adapter/Adapter.h"
#include "channels/Channels.h"

/** Follows key ranges of the platform's store. */
namespace citronspoke::storefeed {

/** Key prefix under which each gateway registers itself, by its id. */
inline constexpr std::string_view GatewayPrefix = "citronspoke/gateways/";
/** Key prefix under which gateways keep the software versions of each pool, by its name. */
inline constexpr std::string_view VersionPrefix = "citronspoke/versions/";

/**
 * Follows all keys under a prefix: reads the range once and then watches it.
 * Failed requests are retried with exponential backoff. While the store is unreachable, the data
 * last read stays in use and becomes stale. Runs on the thread of its event loop, as do the
 * handlers.
 */
class StoreFeed {
public:
    struct Handlers {
        /**
         * Called with the complete range. @param mayReturnUntil end of the grace period after a
         * store outage, in which a key may be missing only because its lease expired during the
         * outage and its owner has not written it again yet; in the past when there was no such
         * outage.
         */
        std::function<void(std::span<const adapter::StoreItem>, SteadyTime mayReturnUntil)> onRange;
        /** Called for each later change. */
        std::function<void(const adapter::KeyChange&, SteadyTime mayReturnUntil)> onChange;
    };
    struct Options {
        /** Empty for all keys. */
        std::string prefix;
        /** How long the store holds a watch request open while nothing changes. */
        Milliseconds longPollTimeout { 0 };
        /** Delay after a change before the next watch request, so that further changes are batched;
         * each response costs another store call. */
        Milliseconds coalesceDelay { 0 };
    };

    StoreFeed(channels::EventLoop& loop, channels::ConnectionPool& pool,
        const fleet::Address& store, const Options& options, Handlers handlers);

    /** Sends the first request. */
    void start();
    /** @return when the store last responded; none before the first response. */
    std::optional<SteadyTime> lastResponse() const noexcept { return m_lastResponse; }
    /** @return whether the last request got a valid response. */
    bool isConnected() const noexcept
    {
        return m_consecutiveFailures == 0 && m_lastResponse.has_value();
    }

private:
    void readPage(std::string_view after);
    void onPage(const std::optional<channels::CallResponse>& response);
    void watch();
    void onWatch(const std::optional<channels::CallResponse>& response);
    void recordResponse();
    void scheduleRetry(std::string_view cause);
    SteadyTime mayReturnUntil() const;
    void send(const adapter::Call& call, Milliseconds timeout,
        void (StoreFeed::*handler)(const std::optional<channels::CallResponse>&));

    channels::EventLoop& m_loop;
    channels::ConnectionPool& m_pool;
    fleet::Address m_store;
    Options m_options;
    Handlers m_handlers;
    channels::Timer m_timer;
    std::shared_ptr<void> m_call;
    std::vector<adapter::StoreItem> m_pageItems;
    adapter::StoreRevision m_rangeRevision;
    adapter::StoreRevision m_watchRevision;
    bool m_hasRange = false;
    uint32_t m_consecutiveFailures = 0;
    std::optional<SteadyTime> m_lastResponse;
    /** When the store responded again after an outage long enough for leases to expire. */
    std::optional<SteadyTime> m_recoveredAt;
};

} // namespace citronspoke::storefeed

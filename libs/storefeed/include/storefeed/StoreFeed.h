#pragma once

#include "adapter/Adapter.h"
#include "channels/Channels.h"

/** Calls the platform's store, follows key ranges in it and keeps own keys there. */
namespace citronspoke::storefeed {

/** Key prefix under which each gateway registers itself, by its id. */
inline constexpr std::string_view GatewayPrefix = "citronspoke/gateways/";
/** Key prefix under which gateways keep the software versions of each pool, by its name. */
inline constexpr std::string_view VersionPrefix = "citronspoke/versions/";
/** Key under which gateways keep the quarantined prompt parts. */
inline constexpr std::string_view QuarantineKey = "citronspoke/quarantine/parts";
/** Key prefix under which gateways keep the holder of the duties and the usage reports. */
inline constexpr std::string_view DutyPrefix = "citronspoke/duties/";

/** How the era of a response relates to the newest one known. */
enum class EraOrder : uint8_t {
    Current,
    /** The first response after the store was restored from an older copy. */
    Restored,
    /** The response is of an earlier era; nothing in it is true any longer. */
    Superseded,
};

/** Follows the era of the store through the responses to all calls of a process. */
class EraTracker {
public:
    /** @param era none when the response does not state it, which counts as the newest one. */
    EraOrder note(std::optional<adapter::StoreEra> era);
    /** @return 0 until a response has stated one. */
    adapter::StoreEra newest() const noexcept { return m_newest.value_or(adapter::StoreEra()); }

private:
    std::optional<adapter::StoreEra> m_newest;
};

/** A response of the store and the era in which it was given. */
struct StoreResponse {
    adapter::StoreEra era;
    uint32_t status = 0;
    std::string body;
};
/** Receives the response of a call, or none when the call failed or its response is superseded. */
using StoreHandler = std::function<void(const std::optional<StoreResponse>&)>;

/** Sends the calls of a process to the store. Used by the event loop's thread only. */
class StoreClient {
public:
    StoreClient(channels::EventLoop& loop, const fleet::Address& store);

    /**
     * @param timeout longest time, in milliseconds, until the response is complete.
     * @param handler called at most once.
     * @return owner of the call; destroying it cancels the call.
     */
    std::shared_ptr<void> call(
        const adapter::Call& call, Milliseconds timeout, StoreHandler handler);
    /**
     * Adds a listener that is called when the store was restored from an older copy: leases,
     * revisions and writes of the earlier era no longer hold. The response that shows it is
     * delivered afterwards, unless the listener cancels its call.
     */
    void onRestored(std::function<void()> listener);
    /** @return the newest era known. */
    adapter::StoreEra era() const noexcept { return m_eras.newest(); }

private:
    struct PendingCall;

    void onResponse(const std::weak_ptr<PendingCall>& call,
        const std::optional<channels::CallResponse>& response);
    /** @return whether the response is of the newest era. */
    bool noteEra(const http1::Headers& headers);

    channels::EventLoop& m_loop;
    channels::ConnectionPool m_pool;
    fleet::Address m_store;
    EraTracker m_eras;
    std::vector<std::function<void()>> m_listeners;
};

class RangeFollower;
class ResponseDecoder;

/**
 * Follows all keys under a prefix: reads the range once and then watches it.
 * Failed requests are retried with exponential backoff. While the store is unreachable, the data
 * last read stays in use and becomes stale. After a restore of the store the range is read again.
 * Runs on the thread of its event loop, as do the handlers.
 */
class StoreFeed {
public:
    struct Handlers {
        /** Called with the complete range. */
        std::function<void(std::span<const adapter::StoreItem>, const fleet::StoreRecovery&)>
            onRange;
        /** Called for each later change. */
        std::function<void(const adapter::KeyChange&, const fleet::StoreRecovery&)> onChange;
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

    StoreFeed(
        channels::EventLoop& loop, StoreClient& client, const Options& options, Handlers handlers);
    ~StoreFeed();
    StoreFeed(const StoreFeed&) = delete;
    StoreFeed& operator=(const StoreFeed&) = delete;

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
    void sendRequest();
    void onResponse(bool isRange, const StoreResponse& response);
    void onPage(adapter::RangePage page);
    void onWatch(adapter::WatchResult result, adapter::StoreEra era);
    void onRestored();
    void recordResponse();
    void scheduleRetry(std::string_view cause);
    void send(const adapter::Call& call, Milliseconds timeout, bool isRange);

    StoreClient& m_client;
    Options m_options;
    Handlers m_handlers;
    std::unique_ptr<ResponseDecoder> m_decoder;
    channels::Timer m_timer;
    std::shared_ptr<void> m_call;
    std::unique_ptr<RangeFollower> m_follower;
    uint32_t m_consecutiveFailures = 0;
    std::optional<SteadyTime> m_lastResponse;
    fleet::StoreRecovery m_recovery;
};

/**
 * Keeps one key in the store under a lease of its own, and writes it again when the lease has
 * expired, the key is missing or the store was restored. Used by the event loop's thread only.
 */
class LeasedKey {
public:
    struct Options {
        std::string key;
        std::string value;
        /** After which the store drops the key when it is no longer renewed. */
        Milliseconds leaseDuration { 0 };
        Milliseconds renewInterval { 0 };
    };

    LeasedKey(channels::EventLoop& loop, StoreClient& client, Options options);

    /** Writes the key for the first time. */
    void start();
    /**
     * States how many processes keep such a key; after a restore, which all of them notice at
     * about the same time, they spread their writes.
     */
    void updateOwners(size_t owners) noexcept { m_owners = owners; }
    /** The key was found missing from the store, or with another value. */
    void noteLost();

private:
    void grant();
    /** Writes the key under a new lease, after a delay. */
    void grantAgain();
    void renew();
    void renewLater(Milliseconds delay);
    void onRestored();
    void call(const adapter::Call& call, void (LeasedKey::*handler)(const StoreResponse&));
    void onGranted(const StoreResponse& response);
    void onWritten(const StoreResponse& response);
    void onRenewed(const StoreResponse& response);

    StoreClient& m_client;
    Options m_options;
    size_t m_owners = 1;
    /** The lease that was granted last; the key is written under it. */
    adapter::StoreLease m_grantedLease;
    /** None while the key is not known to be in the store. */
    std::optional<adapter::StoreLease> m_lease;
    std::shared_ptr<void> m_call;
    channels::Timer m_timer;
};

} // namespace citronspoke::storefeed

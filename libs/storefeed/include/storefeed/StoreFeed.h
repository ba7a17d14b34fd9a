#pragma once

#include "adapter/Adapter.h"
#include "channels/Channels.h"

/** Follows keys of the platform's store. */
namespace citronspoke::storefeed {

/** Where gateways announce themselves in the store, each under its id. */
inline constexpr std::string_view GatewayPrefix = "citronspoke/gateways/";
/** Where the sidecars write which role their engine was ordered to take, under the engine's id. */
inline constexpr std::string_view RolePrefix = "citronspoke/roles/";

/** Changes are reported as they come; each answer costs a call. */
struct Watching {
    /** How long the store holds back a watch that has nothing to say. */
    Milliseconds wait { 0 };
    /** A pause after changes, in which further ones gather. */
    Milliseconds gather { 0 };
};
/** The range is read again and again; answers may be seconds old and cost little. */
struct Polling {
    Milliseconds interval { 3000 };
    /** Used in the first seconds of the process. */
    Milliseconds intervalAtStart { 1000 };
};

/**
 * Follows all keys below a prefix: reads the range once, then watches, or reads it repeatedly.
 * While the store cannot be reached, what was read last stays valid and grows old.
 */
class StoreFeed {
public:
    struct Handlers {
        /**
         * The whole range. @param mayReturnUntil until then keys may be missing only since the
         * store was away; the past when it was not.
         */
        std::function<void(std::span<const adapter::StoreItem>, SteadyTime mayReturnUntil)> onRange;
        std::function<void(const adapter::KeyChange&, SteadyTime mayReturnUntil)> onChange;
    };
    struct Options {
        std::string prefix;
        std::variant<Watching, Polling> mode;
    };

    StoreFeed(channels::EventLoop& loop, channels::ConnectionPool& pool,
        const fleet::Address& store, const Options& options, Handlers handlers);

    void start();
    /** @return the time of the last answer; none before the first. */
    std::optional<SteadyTime> lastAnswer() const noexcept { return m_lastAnswer; }
    /** @return whether the last call was answered. */
    bool isConnected() const noexcept { return m_failures == 0 && m_lastAnswer.has_value(); }

private:
    void readPage(std::string_view after);
    void onPage(const std::optional<channels::CallAnswer>& answer);
    void goOn();
    void watch(const Watching& watching);
    void readAgainLater(const Polling& polling);
    void onWatch(const std::optional<channels::CallAnswer>& answer);
    void noteAnswer();
    void retryLater(std::string_view cause);
    SteadyTime mayReturnUntil() const;
    void send(const adapter::Call& call, Milliseconds limit,
        void (StoreFeed::*handler)(const std::optional<channels::CallAnswer>&));

    channels::EventLoop& m_loop;
    channels::ConnectionPool& m_pool;
    fleet::Address m_store;
    Options m_options;
    Handlers m_handlers;
    channels::Timer m_timer;
    SteadyTime m_startedAt;
    std::shared_ptr<void> m_call;
    std::vector<adapter::StoreItem> m_items;
    adapter::StoreRevision m_rangeRevision;
    adapter::StoreRevision m_revision;
    bool m_hasRange = false;
    uint32_t m_failures = 0;
    std::optional<SteadyTime> m_lastAnswer;
    /** When the store answered again after it had been away. */
    std::optional<SteadyTime> m_returnedAt;
};

} // namespace citronspoke::storefeed

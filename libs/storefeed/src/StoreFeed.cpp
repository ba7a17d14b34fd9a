#include "storefeed/StoreFeed.h"

#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::storefeed {

namespace {

    /** Not counting the long poll. The store responds within milliseconds, or 250 ms when slow. */
    constexpr Milliseconds RequestTimeout { 1000 };
    constexpr Milliseconds FirstRetryDelay { 50 };
    constexpr Milliseconds MaxRetryDelay { 800 };
    /**
     * After a store outage, expired keys are written again within this time, as the platform's
     * documentation states.
     */
    constexpr Milliseconds ReregistrationGrace { 2000 };
    /** During a shorter store outage no target record expires. */
    constexpr Milliseconds MinExpiringOutage { 1500 };

} // namespace

StoreFeed::StoreFeed(channels::EventLoop& loop, channels::ConnectionPool& pool,
    const fleet::Address& store, const Options& options, Handlers handlers)
    : m_loop(loop)
    , m_pool(pool)
    , m_store(store)
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_timer(loop)
{
}

void StoreFeed::start() { readPage({}); }

void StoreFeed::send(const adapter::Call& call, Milliseconds timeout,
    void (StoreFeed::*handler)(const std::optional<channels::CallResponse>&))
{
    m_call = channels::call(m_loop, m_pool, { m_store, {} }, adapter::composeCall(call, m_store),
        timeout, [this, handler](const std::optional<channels::CallResponse>& response) {
            // The finished call lives until the handler returns, which may start the next call.
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            try {
                (this->*handler)(response);
            } catch (const Error& error) {
                scheduleRetry(error.describe());
            }
        });
}

void StoreFeed::readPage(std::string_view after)
{
    if (after.empty())
        m_pageItems.clear();
    send(adapter::rangeCall(m_options.prefix, after), RequestTimeout, &StoreFeed::onPage);
}

void StoreFeed::onPage(const std::optional<channels::CallResponse>& response)
{
    if (!response) {
        scheduleRetry("No response.");
        return;
    }
    adapter::RangePage page = adapter::decodeRange(response->status, response->body);
    recordResponse();
    // The pages are not one snapshot: the watch starts at the revision of the first page, so that
    // changes made while the others were read are delivered too.
    if (m_pageItems.empty())
        m_rangeRevision = page.revision;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_pageItems));
    if (page.hasMore && !m_pageItems.empty()) {
        readPage(m_pageItems.back().key);
        return;
    }
    m_watchRevision = m_rangeRevision;
    m_hasRange = true;
    m_handlers.onRange(m_pageItems, mayReturnUntil());
    m_pageItems.clear();
    watch();
}

void StoreFeed::watch()
{
    send(adapter::watchCall(m_options.prefix, m_watchRevision, m_options.longPollTimeout),
        m_options.longPollTimeout + RequestTimeout, &StoreFeed::onWatch);
}

void StoreFeed::onWatch(const std::optional<channels::CallResponse>& response)
{
    if (!response) {
        scheduleRetry("No response.");
        return;
    }
    const adapter::WatchResult decoded = adapter::decodeWatch(response->status, response->body);
    recordResponse();
    if (std::holds_alternative<adapter::HistoryLost>(decoded)) {
        telemetry::logWarning("store",
            "The store no longer has the change history; reading the range again.",
            { { "prefix", m_options.prefix },
                { "revision", std::to_string(m_watchRevision.value()) } });
        m_hasRange = false;
        readPage({});
        return;
    }
    const adapter::Changes& changes = std::get<adapter::Changes>(decoded);
    for (const adapter::KeyChange& change : changes.changes)
        m_handlers.onChange(change, mayReturnUntil());
    m_watchRevision = std::max(m_watchRevision, changes.revision);
    if (changes.changes.empty() || m_options.coalesceDelay == Milliseconds(0))
        watch();
    else
        m_timer.arm(m_options.coalesceDelay, [this] { watch(); });
}

void StoreFeed::recordResponse()
{
    const SteadyTime now = steadyNow();
    if (m_consecutiveFailures > 0 || !m_lastResponse) {
        telemetry::logInfo("store", "The store is reachable.",
            { { "prefix", m_options.prefix },
                { "failures", std::to_string(m_consecutiveFailures) } });
        if (m_lastResponse
            && now - *m_lastResponse
                >= MinExpiringOutage + m_options.longPollTimeout + m_options.coalesceDelay)
            m_recoveredAt = now;
    }
    m_consecutiveFailures = 0;
    m_lastResponse = now;
}

void StoreFeed::scheduleRetry(std::string_view cause)
{
    if (m_consecutiveFailures == 0)
        telemetry::logWarning("store", "A store request failed; retrying.",
            { { "prefix", m_options.prefix }, { "cause", std::string(cause) } });
    telemetry::count("store_failures", { { "prefix", m_options.prefix } });
    m_consecutiveFailures += 1;
    const uint32_t doublings = std::min(m_consecutiveFailures - 1, 5U);
    const Milliseconds delay = std::min(MaxRetryDelay, FirstRetryDelay * (1 << doublings));
    m_timer.arm(jittered(delay), [this] {
        if (m_hasRange)
            watch();
        else
            readPage({});
    });
}

SteadyTime StoreFeed::mayReturnUntil() const
{
    return m_recoveredAt ? *m_recoveredAt + ReregistrationGrace : SteadyTime {};
}

} // namespace citronspoke::storefeed

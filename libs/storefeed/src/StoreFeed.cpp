#include "RangeFollower.h"
#include "ResponseDecoder.h"

#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::storefeed {

namespace {

    /** Not counting the long poll. The store responds within milliseconds, or 250 ms when slow. */
    constexpr Milliseconds RequestTimeout { 1000 };
    constexpr Milliseconds FirstRetryDelay { 50 };
    constexpr Milliseconds MaxRetryDelay { 800 };
    /** So that processes that notice a restore at the same time do not all read at once. */
    constexpr Milliseconds RestoreReadDelay { 100 };
    /**
     * After a store outage or a restore, lost keys are written again within this time, as the
     * platform's documentation states.
     */
    constexpr Milliseconds ReregistrationGrace { 2000 };
    /** Longer than three heartbeats of a target, after which the store drops a copied record whose
     * owner is gone. */
    constexpr Milliseconds OutdatedItemLifetime { 5000 };
    /** During a shorter store outage no target record expires. */
    constexpr Milliseconds MinExpiringOutage { 1500 };

} // namespace

StoreFeed::StoreFeed(
    channels::EventLoop& loop, StoreClient& client, const Options& options, Handlers handlers)
    : m_client(client)
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_decoder(std::make_unique<ResponseDecoder>(loop))
    , m_timer(loop)
    , m_follower(std::make_unique<RangeFollower>())
{
    m_client.onRestored([this] { onRestored(); });
}

StoreFeed::~StoreFeed() = default;

void StoreFeed::start() { sendRequest(); }

void StoreFeed::send(const adapter::Call& call, Milliseconds timeout, bool isRange)
{
    m_call = m_client.call(
        call, timeout, [this, isRange](const std::optional<StoreResponse>& response) {
            // The finished call lives until the handler returns, which may start the next call.
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            if (response)
                onResponse(isRange, *response);
            else
                scheduleRetry("No response.");
        });
}

void StoreFeed::onResponse(bool isRange, const StoreResponse& response)
{
    const ResponseDecoder::Kind kind
        = isRange ? ResponseDecoder::Kind::Range : ResponseDecoder::Kind::Watch;
    m_decoder->decode(kind, response, [this](ResponseDecoder::Result result) {
        if (!result.value) {
            scheduleRetry(result.problem);
            return;
        }
        try {
            if (adapter::RangePage* page = std::get_if<adapter::RangePage>(&*result.value))
                onPage(std::move(*page));
            else
                onWatch(std::get<adapter::WatchResult>(std::move(*result.value)), result.era);
        } catch (const Error& error) {
            scheduleRetry(error.describe());
        } catch (const std::exception& exception) {
            telemetry::reportUnexpected("store response", exception);
            scheduleRetry(exception.what());
        }
    });
}

void StoreFeed::sendRequest()
{
    const RangeFollower::Request request = m_follower->nextRequest();
    if (const RangeFollower::ReadPage* page = std::get_if<RangeFollower::ReadPage>(&request))
        send(adapter::rangeCall(m_options.prefix, page->after), RequestTimeout, true);
    else
        send(adapter::watchCall(m_options.prefix, std::get<RangeFollower::Watch>(request).after,
                 m_options.longPollTimeout),
            m_options.longPollTimeout + RequestTimeout, false);
}

void StoreFeed::onPage(adapter::RangePage page)
{
    recordResponse();
    const std::optional<std::vector<adapter::StoreItem>> range
        = m_follower->onPage(std::move(page));
    if (range)
        m_handlers.onRange(*range, m_recovery);
    sendRequest();
}

void StoreFeed::onWatch(adapter::WatchResult result, adapter::StoreEra era)
{
    recordResponse();
    const std::optional<std::vector<adapter::KeyChange>> changes
        = m_follower->onWatch(std::move(result));
    if (!changes) {
        telemetry::logWarning("store",
            "The store no longer has the change history; reading the range again.",
            { { "prefix", m_options.prefix }, { "era", std::to_string(era.value()) } });
        sendRequest();
        return;
    }
    for (const adapter::KeyChange& change : *changes)
        m_handlers.onChange(change, m_recovery);
    if (changes->empty() || m_options.coalesceDelay == Milliseconds(0))
        sendRequest();
    else
        m_timer.arm(m_options.coalesceDelay, [this] { sendRequest(); });
}

void StoreFeed::onRestored()
{
    m_call.reset();
    m_decoder->cancel();
    m_follower->startOver();
    const SteadyTime now = steadyNow();
    m_recovery = { now + ReregistrationGrace, now + OutdatedItemLifetime };
    m_timer.arm(jittered(RestoreReadDelay), [this] { sendRequest(); });
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
            m_recovery.mayReturnUntil = now + ReregistrationGrace;
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
    m_timer.arm(jittered(delay), [this] { sendRequest(); });
}

} // namespace citronspoke::storefeed

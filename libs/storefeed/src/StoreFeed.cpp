#include "storefeed/StoreFeed.h"

#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::storefeed {

namespace {

    /** The store answers in milliseconds, and in a quarter of a second when it is slow. */
    constexpr Milliseconds AnswerLimit { 1000 };
    constexpr Milliseconds FirstPause { 50 };
    constexpr Milliseconds LongestPause { 800 };
    /** How long lapsed keys may take to come back after the store has; from the users' pages. */
    constexpr Milliseconds LapseGrace { 2000 };
    /** A shorter absence of the store lets no target's entry lapse. */
    constexpr Milliseconds ShortestLapse { 1500 };
    constexpr Milliseconds StartPeriod { 10000 };

    struct LongestSilence {
        Milliseconds operator()(const Watching& watching) const
        {
            return watching.wait + watching.gather;
        }
        Milliseconds operator()(const Polling& polling) const { return polling.interval; }
    };

} // namespace

StoreFeed::StoreFeed(channels::EventLoop& loop, channels::ConnectionPool& pool,
    const fleet::Address& store, const Options& options, Handlers handlers)
    : m_loop(loop)
    , m_pool(pool)
    , m_store(store)
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_timer(loop)
    , m_startedAt(steadyNow())
{
}

void StoreFeed::start() { readPage({}); }

void StoreFeed::send(const adapter::Call& call, Milliseconds limit,
    void (StoreFeed::*handler)(const std::optional<channels::CallAnswer>&))
{
    m_call = channels::call(m_loop, m_pool, { m_store, {} }, adapter::composeCall(call, m_store),
        limit, [this, handler](const std::optional<channels::CallAnswer>& answer) {
            // The finished call is released after this handler, which may start the next one.
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            try {
                (this->*handler)(answer);
            } catch (const Error& error) {
                retryLater(error.describe());
            }
        });
}

void StoreFeed::readPage(std::string_view after)
{
    if (after.empty())
        m_items.clear();
    const adapter::Freshness freshness = std::holds_alternative<Polling>(m_options.mode)
        ? adapter::Freshness::MayBeOld
        : adapter::Freshness::Newest;
    send(adapter::rangeCall(m_options.prefix, after, freshness), AnswerLimit, &StoreFeed::onPage);
}

void StoreFeed::onPage(const std::optional<channels::CallAnswer>& answer)
{
    if (!answer) {
        retryLater("No answer.");
        return;
    }
    adapter::RangePage page = adapter::decodeRange(answer->status, answer->body);
    noteAnswer();
    // Pages are not a snapshot; changes since the first one are seen again by the watch.
    if (m_items.empty())
        m_rangeRevision = page.revision;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_items));
    if (page.hasMore && !m_items.empty()) {
        readPage(m_items.back().key);
        return;
    }
    m_revision = m_rangeRevision;
    m_hasRange = true;
    m_handlers.onRange(m_items, mayReturnUntil());
    m_items.clear();
    goOn();
}

void StoreFeed::goOn()
{
    if (const Watching* watching = std::get_if<Watching>(&m_options.mode))
        watch(*watching);
    else
        readAgainLater(std::get<Polling>(m_options.mode));
}

void StoreFeed::watch(const Watching& watching)
{
    send(adapter::watchCall(m_options.prefix, m_revision, watching.wait),
        watching.wait + AnswerLimit, &StoreFeed::onWatch);
}

void StoreFeed::readAgainLater(const Polling& polling)
{
    const bool isAtStart = steadyNow() - m_startedAt < StartPeriod;
    const Milliseconds interval = isAtStart ? polling.intervalAtStart : polling.interval;
    m_timer.arm(jittered(interval), [this] { readPage({}); });
}

void StoreFeed::onWatch(const std::optional<channels::CallAnswer>& answer)
{
    if (!answer) {
        retryLater("No answer.");
        return;
    }
    const adapter::WatchAnswer decoded = adapter::decodeWatch(answer->status, answer->body);
    noteAnswer();
    if (std::holds_alternative<adapter::HistoryLost>(decoded)) {
        telemetry::logWarning("store", "History is gone; reading the range again.",
            { { "prefix", m_options.prefix }, { "revision", std::to_string(m_revision.value()) } });
        m_hasRange = false;
        readPage({});
        return;
    }
    const adapter::Changes& changes = std::get<adapter::Changes>(decoded);
    for (const adapter::KeyChange& change : changes.changes)
        m_handlers.onChange(change, mayReturnUntil());
    m_revision = std::max(m_revision, changes.revision);
    const Milliseconds gather = std::get<Watching>(m_options.mode).gather;
    if (changes.changes.empty() || gather == Milliseconds(0))
        goOn();
    else
        m_timer.arm(gather, [this] { goOn(); });
}

void StoreFeed::noteAnswer()
{
    const SteadyTime now = steadyNow();
    if (m_failures > 0 || !m_lastAnswer) {
        telemetry::logInfo("store", "The store answers.",
            { { "prefix", m_options.prefix }, { "failures", std::to_string(m_failures) } });
        if (m_lastAnswer
            && now - *m_lastAnswer >= ShortestLapse + std::visit(LongestSilence {}, m_options.mode))
            m_returnedAt = now;
    }
    m_failures = 0;
    m_lastAnswer = now;
}

void StoreFeed::retryLater(std::string_view cause)
{
    if (m_failures == 0)
        telemetry::logWarning("store", "The store does not answer.",
            { { "prefix", m_options.prefix }, { "cause", std::string(cause) } });
    telemetry::count("store_failures", { { "prefix", m_options.prefix } });
    m_failures += 1;
    const uint32_t doublings = std::min(m_failures - 1, 5U);
    const Milliseconds pause = std::min(LongestPause, FirstPause * (1 << doublings));
    m_timer.arm(jittered(pause), [this] {
        if (m_hasRange)
            goOn();
        else
            readPage({});
    });
}

SteadyTime StoreFeed::mayReturnUntil() const
{
    return m_returnedAt ? *m_returnedAt + LapseGrace : SteadyTime {};
}

} // namespace citronspoke::storefeed

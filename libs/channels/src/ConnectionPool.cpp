#include "channels/Channels.h"

#include "telemetry/Telemetry.h"

#include <list>

namespace citronspoke::channels {

namespace {

    /**
     * Share of the peer's announced keep-alive timeout for which an idle connection is reused. The
     * rest is a margin, so that the peer does not close the connection while a request is in
     * flight.
     */
    constexpr double KeepAliveTimeoutShare = 0.8;

    /** Connection to a peer and the time for which it may be reused. */
    struct PooledConnection {
        ConnectionPointer connection;
        http1::ResponseParser parser;
        SteadyTime idleSince;
        Milliseconds idleLifetime { 0 };
        bool isReused = false;
    };
    using PooledPointer = std::shared_ptr<PooledConnection>;

    std::optional<Milliseconds> keepAliveTimeout(const http1::ResponseHead& head)
    {
        constexpr std::string_view Parameter = "timeout=";
        const std::string_view field = head.headers.find("Keep-Alive").value_or("");
        const size_t start = field.find(Parameter);
        if (start == std::string_view::npos)
            return std::nullopt;
        int64_t seconds = 0;
        for (const char digit : field.substr(start + Parameter.size())) {
            if (digit < '0' || digit > '9')
                break;
            seconds = seconds * 10 + (digit - '0');
        }
        return std::chrono::seconds(seconds);
    }

} // namespace

struct ConnectionPool::Implementation : std::enable_shared_from_this<Implementation> {
    Implementation(EventLoop& eventLoop, const Options& poolOptions)
        : loop(eventLoop)
        , options(poolOptions)
    {
    }

    PooledPointer takeIdle(const PeerKey& peer, Milliseconds maxIdleAge);
    void addIdle(const PeerKey& peer, const PooledPointer& pooled);
    void removeIdle(const PeerKey& peer, const PooledConnection* pooled);

    EventLoop& loop;
    Options options;
    std::map<PeerKey, std::list<PooledPointer>> idle;
    size_t idleCount = 0;
    uint64_t openedCount = 0;
};

namespace {

    class PooledExchange final : public Exchange,
                                 public std::enable_shared_from_this<PooledExchange> {
    public:
        PooledExchange(
            std::shared_ptr<ConnectionPool::Implementation> pool, PeerKey peer, Handlers handlers)
            : m_pool(std::move(pool))
            , m_peer(std::move(peer))
            , m_handlers(std::move(handlers))
        {
        }

        ~PooledExchange() override { cancel(); }

        void begin(
            PooledPointer pooled, std::string request, std::shared_ptr<const http1::Body> body)
        {
            m_pooled = std::move(pooled);
            m_isReused = m_pooled->isReused;
            m_isConnected = m_isReused;
            const std::weak_ptr<PooledExchange> weak = weak_from_this();
            Connection::Handlers handlers;
            handlers.onConnected = [weak] {
                if (const std::shared_ptr<PooledExchange> self = weak.lock())
                    self->m_isConnected = true;
            };
            handlers.onBytes = [weak](std::string_view bytes) {
                if (const std::shared_ptr<PooledExchange> self = weak.lock())
                    self->onBytes(bytes);
            };
            handlers.onEnd = [weak](ConnectionEnd end) {
                if (const std::shared_ptr<PooledExchange> self = weak.lock())
                    self->onConnectionEnd(end);
            };
            m_pooled->connection->start(std::move(handlers));
            m_pooled->connection->write(std::move(request), std::move(body));
        }

        void cancel() override
        {
            m_isFinished = true;
            if (m_pooled)
                std::exchange(m_pooled, nullptr)->connection->close();
        }

        void setReading(bool isReading) override
        {
            if (m_pooled)
                m_pooled->connection->setReading(isReading);
        }

        bool isSent() const noexcept override { return m_isConnected; }
        bool isReused() const noexcept override { return m_isReused; }

    private:
        void onBytes(std::string_view bytes)
        {
            const std::shared_ptr<PooledExchange> self = shared_from_this();
            while (!bytes.empty() && !m_isFinished) {
                std::vector<http1::ResponseEvent> events;
                size_t used = 0;
                try {
                    used = m_pooled->parser.feed(bytes, events);
                } catch (const http1::MessageRejected&) {
                    // Delivers what precedes the invalid bytes; the response stays incomplete.
                    deliver(events, false);
                    finish(ExchangeEnd::Broken);
                    return;
                }
                bytes.remove_prefix(used);
                deliver(events, bytes.empty());
                if (!m_isFinished && !m_hasHead)
                    skip(used);
            }
        }

        /** Counts bytes that belong to no response to this request. */
        void skip(size_t size)
        {
            m_skipped += size;
            if (m_skipped > m_pool->options.skippedBytes)
                finish(ExchangeEnd::Broken);
        }

        void onConnectionEnd(ConnectionEnd end)
        {
            const std::shared_ptr<PooledExchange> self = shared_from_this();
            if (m_isFinished)
                return;
            if (end == ConnectionEnd::ConnectFailed) {
                finish(ExchangeEnd::NotSent);
                return;
            }
            std::vector<http1::ResponseEvent> events;
            if (end == ConnectionEnd::ClosedByPeer && m_pooled->parser.finish(events))
                deliver(events, false);
            if (!m_isFinished)
                finish(ExchangeEnd::Broken);
        }

        void deliver(std::vector<http1::ResponseEvent>& events, bool isReusable)
        {
            for (http1::ResponseEvent& event : events) {
                if (m_isFinished)
                    return;
                if (http1::ResponseHead* head = std::get_if<http1::ResponseHead>(&event))
                    onHead(*head);
                else if (const http1::BodyPart* part = std::get_if<http1::BodyPart>(&event))
                    onBody(part->bytes);
                else
                    onMessageEnd(isReusable);
            }
        }

        void onHead(const http1::ResponseHead& head)
        {
            m_isSkipping = m_handlers.matchesRequest && !m_handlers.matchesRequest(head);
            m_hasHead = !m_isSkipping;
            m_isPersistent = head.isPersistent && head.framing != http1::BodyFraming::UntilClose;
            m_keepAliveTimeout = keepAliveTimeout(head);
            if (!m_isSkipping && m_handlers.onHead)
                m_handlers.onHead(head);
        }

        void onBody(std::string_view bytes)
        {
            if (!m_isSkipping && m_handlers.onBody)
                m_handlers.onBody(bytes);
        }

        void onMessageEnd(bool isReusable)
        {
            if (m_isSkipping) {
                m_isSkipping = false;
                if (!m_isPersistent)
                    finish(ExchangeEnd::Broken);
                return;
            }
            // Extra bytes after the response, or a request not fully sent, prevent reuse.
            if (isReusable && m_isPersistent && m_pooled->connection->unsentBytes() == 0) {
                m_pooled->idleLifetime = m_pool->options.idleLifetime;
                if (m_keepAliveTimeout) {
                    const Milliseconds safeLifetime(static_cast<int64_t>(
                        KeepAliveTimeoutShare * static_cast<double>(m_keepAliveTimeout->count())));
                    m_pooled->idleLifetime = std::min(m_pooled->idleLifetime, safeLifetime);
                }
                m_pooled->connection->setReading(true);
                m_pool->addIdle(m_peer, std::exchange(m_pooled, nullptr));
            }
            finish(ExchangeEnd::Complete);
        }

        void finish(ExchangeEnd end)
        {
            m_isFinished = true;
            if (m_pooled)
                std::exchange(m_pooled, nullptr)->connection->close();
            const Handlers handlers = std::move(m_handlers);
            if (handlers.onEnd)
                handlers.onEnd(end);
        }

        std::shared_ptr<ConnectionPool::Implementation> m_pool;
        PeerKey m_peer;
        Handlers m_handlers;
        PooledPointer m_pooled;
        std::optional<Milliseconds> m_keepAliveTimeout;
        size_t m_skipped = 0;
        bool m_isReused = false;
        bool m_isConnected = false;
        /** The head of the response to this request was received. */
        bool m_hasHead = false;
        bool m_isSkipping = false;
        bool m_isPersistent = false;
        bool m_isFinished = false;
    };

} // namespace

PooledPointer ConnectionPool::Implementation::takeIdle(const PeerKey& peer, Milliseconds maxIdleAge)
{
    const auto found = idle.find(peer);
    if (found == idle.end())
        return nullptr;
    std::list<PooledPointer>& connections = found->second;
    const SteadyTime now = steadyNow();
    // The most recently used connection is the least likely to have been closed by the peer.
    while (!connections.empty()) {
        PooledPointer pooled = connections.back();
        const SteadyTime::duration age = now - pooled->idleSince;
        // Other requests, with a larger maxIdleAge, may still use it.
        if (age < pooled->idleLifetime && age >= maxIdleAge)
            return nullptr;
        connections.pop_back();
        idleCount -= 1;
        if (age < pooled->idleLifetime)
            return pooled;
        pooled->connection->close();
    }
    return nullptr;
}

void ConnectionPool::Implementation::addIdle(const PeerKey& peer, const PooledPointer& pooled)
{
    if (idleCount >= options.idleTotal) {
        pooled->connection->close();
        return;
    }
    std::list<PooledPointer>& connections = idle[peer];
    pooled->idleSince = steadyNow();
    pooled->isReused = true;
    const std::weak_ptr<Implementation> weak = weak_from_this();
    const PooledConnection* raw = pooled.get();
    Connection::Handlers handlers;
    // Bytes received on an idle connection belong to no request, so the connection is closed.
    handlers.onBytes = [weak, peer, raw](std::string_view) {
        if (const std::shared_ptr<Implementation> self = weak.lock())
            self->removeIdle(peer, raw);
    };
    handlers.onEnd = [weak, peer, raw](ConnectionEnd) {
        if (const std::shared_ptr<Implementation> self = weak.lock())
            self->removeIdle(peer, raw);
    };
    pooled->connection->start(std::move(handlers));
    connections.push_back(pooled);
    idleCount += 1;
    const SteadyTime now = steadyNow();
    while (!connections.empty()
        && (connections.size() > options.idlePerPeer
            || now - connections.front()->idleSince > connections.front()->idleLifetime)) {
        connections.front()->connection->close();
        connections.pop_front();
        idleCount -= 1;
    }
}

void ConnectionPool::Implementation::removeIdle(const PeerKey& peer, const PooledConnection* pooled)
{
    const auto found = idle.find(peer);
    if (found == idle.end())
        return;
    for (const PooledPointer& candidate : found->second) {
        if (candidate.get() != pooled)
            continue;
        const PooledPointer removed = candidate;
        found->second.remove(removed);
        idleCount -= 1;
        removed->connection->close();
        break;
    }
    if (found->second.empty())
        idle.erase(found);
}

ConnectionPool::ConnectionPool(EventLoop& loop, const Options& options)
    : m_implementation(std::make_shared<Implementation>(loop, options))
{
}

ConnectionPool::~ConnectionPool() = default;

ExchangePointer ConnectionPool::start(const PeerKey& peer, std::string request,
    std::shared_ptr<const http1::Body> body, Milliseconds maxIdleAge, Exchange::Handlers handlers)
{
    const std::shared_ptr<PooledExchange> exchange
        = std::make_shared<PooledExchange>(m_implementation, peer, std::move(handlers));
    PooledPointer pooled = m_implementation->takeIdle(peer, maxIdleAge);
    if (!pooled) {
        pooled = std::make_shared<PooledConnection>();
        pooled->connection = connect(
            m_implementation->loop, peer.address, m_implementation->options.connectTimeout);
        m_implementation->openedCount += 1;
    }
    exchange->begin(std::move(pooled), std::move(request), std::move(body));
    return exchange;
}

bool ConnectionPool::hasIdle(const PeerKey& peer) const
{
    const auto found = m_implementation->idle.find(peer);
    if (found == m_implementation->idle.end() || found->second.empty())
        return false;
    const PooledConnection& newest = *found->second.back();
    return steadyNow() - newest.idleSince < newest.idleLifetime;
}

void ConnectionPool::closeIdle(const PeerKey& peer)
{
    const auto found = m_implementation->idle.find(peer);
    if (found == m_implementation->idle.end())
        return;
    for (const PooledPointer& pooled : found->second)
        pooled->connection->close();
    m_implementation->idleCount -= found->second.size();
    m_implementation->idle.erase(found);
}

uint64_t ConnectionPool::connectionsOpened() const noexcept
{
    return m_implementation->openedCount;
}

} // namespace citronspoke::channels

#include "channels/Channels.h"

#include <algorithm>
#include <set>

namespace citronspoke::channels {

namespace {

    constexpr uint32_t NoContent = 204;
    /** Requests for pages have no bodies; those that come are dropped. */
    constexpr http1::MessageLimits PageLimits { 16384, 65536 };

    /** Parses the requests of one connection and responds to them, one after the other. */
    class PageConnection final : public std::enable_shared_from_this<PageConnection> {
    public:
        PageConnection(ConnectionPointer connection, const StatusServer::Handler& handler)
            : m_connection(std::move(connection))
            , m_handler(handler)
            , m_parser(PageLimits)
        {
        }

        /** @param onEnd called when the connection has ended. */
        void start(const std::function<void()>& onEnd)
        {
            const std::weak_ptr<PageConnection> weak = weak_from_this();
            Connection::Handlers handlers;
            handlers.onBytes = [weak, onEnd](std::string_view bytes) {
                const std::shared_ptr<PageConnection> self = weak.lock();
                if (!self)
                    return;
                self->m_pending.append(bytes);
                if (!self->serve())
                    self->closeAndReport(onEnd);
            };
            handlers.onWritten = [weak, onEnd] {
                const std::shared_ptr<PageConnection> self = weak.lock();
                if (self && !self->serve())
                    self->closeAndReport(onEnd);
            };
            handlers.onEnd = [onEnd](ConnectionEnd) { onEnd(); };
            m_connection->start(std::move(handlers));
        }

        void close() { m_connection->close(); }
        SteadyTime activeAt() const noexcept { return m_activeAt; }

    private:
        /**
         * Responds to what was received, as long as the peer reads the responses.
         * @return false when the connection must be closed.
         */
        bool serve()
        {
            while (!m_pending.empty() && m_connection->unsentBytes() == 0) {
                std::vector<http1::RequestEvent> events;
                try {
                    m_pending.erase(0, m_parser.feed(m_pending, events));
                } catch (const http1::MessageRejected&) {
                    return false;
                }
                for (const http1::RequestEvent& event : events) {
                    if (const http1::RequestHead* head = std::get_if<http1::RequestHead>(&event))
                        m_path = head->target;
                    else if (std::holds_alternative<http1::MessageEnd>(event))
                        respond();
                }
            }
            m_connection->setReading(m_pending.empty());
            return true;
        }

        void respond()
        {
            m_activeAt = steadyNow();
            const StatusServer::Page page = m_handler(m_path);
            http1::Headers headers = page.headers;
            if (page.status != NoContent) {
                headers.add("Content-Type", page.contentType);
                headers.add("Content-Length", std::to_string(page.body.size()));
            }
            std::string_view reason = page.status == 200 ? "OK" : "Service Unavailable";
            if (page.status == NoContent)
                reason = "No Content";
            m_connection->write(http1::composeResponse(page.status, reason, headers) + page.body);
        }

        void closeAndReport(const std::function<void()>& onEnd)
        {
            m_connection->close();
            onEnd();
        }

        ConnectionPointer m_connection;
        const StatusServer::Handler& m_handler;
        http1::RequestParser m_parser;
        /** Received and not yet parsed, because a response is still being sent. */
        std::string m_pending;
        std::string m_path;
        SteadyTime m_activeAt = steadyNow();
    };

} // namespace

struct StatusServer::Implementation {
    Implementation(
        EventLoop& loop, const fleet::Address& address, size_t maxConnections, Handler pageHandler)
        : handler(std::move(pageHandler))
        , listener(loop, address, { maxConnections, [this] { return closeLongestInactive(); } },
              [this](const ConnectionPointer& connection) { accept(connection); })
    {
    }

    ~Implementation()
    {
        for (const std::shared_ptr<PageConnection>& page : connections)
            page->close();
    }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    void accept(const ConnectionPointer& connection)
    {
        const std::shared_ptr<PageConnection> page
            = std::make_shared<PageConnection>(connection, handler);
        connections.insert(page);
        // Does not own the page, whose connection owns the callback.
        page->start([this, weak = std::weak_ptr(page)] { connections.erase(weak.lock()); });
    }

    bool closeLongestInactive()
    {
        const auto isEarlier = [](const std::shared_ptr<PageConnection>& left,
                                   const std::shared_ptr<PageConnection>& right) {
            return left->activeAt() < right->activeAt();
        };
        const auto found = std::min_element(connections.begin(), connections.end(), isEarlier);
        if (found == connections.end())
            return false;
        (*found)->close();
        connections.erase(found);
        return true;
    }

    Handler handler;
    std::set<std::shared_ptr<PageConnection>> connections;
    Listener listener;
};

StatusServer::StatusServer(
    EventLoop& loop, const fleet::Address& address, size_t maxConnections, Handler handler)
    : m_implementation(
        std::make_unique<Implementation>(loop, address, maxConnections, std::move(handler)))
{
}

StatusServer::~StatusServer() = default;

} // namespace citronspoke::channels

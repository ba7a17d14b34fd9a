#include "channels/Channels.h"

#include <set>

namespace citronspoke::channels {

namespace {

    constexpr uint32_t NoContent = 204;
    constexpr size_t MaxConnections = 1024;

    /** Parses the requests of one connection and responds to them. */
    class PageConnection final {
    public:
        PageConnection(ConnectionPointer connection, const StatusServer::Handler& handler)
            : m_connection(std::move(connection))
            , m_handler(handler)
            , m_parser(http1::MessageLimits {})
        {
        }

        Connection& connection() { return *m_connection; }

        /** @return false when the connection must be closed. */
        bool onBytes(std::string_view bytes)
        {
            while (!bytes.empty()) {
                std::vector<http1::RequestEvent> events;
                try {
                    bytes.remove_prefix(m_parser.feed(bytes, events));
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
            return true;
        }

    private:
        void respond()
        {
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

        ConnectionPointer m_connection;
        const StatusServer::Handler& m_handler;
        http1::RequestParser m_parser;
        std::string m_path;
    };

} // namespace

struct StatusServer::Implementation {
    Implementation(EventLoop& loop, const fleet::Address& address, Handler pageHandler)
        : handler(std::move(pageHandler))
        , listener(loop, address, { MaxConnections, {} },
              [this](const ConnectionPointer& connection) { accept(connection); })
    {
    }

    void accept(const ConnectionPointer& connection)
    {
        const std::shared_ptr<PageConnection> page
            = std::make_shared<PageConnection>(connection, handler);
        connections.insert(page);
        Connection::Handlers handlers;
        handlers.onBytes = [this, page](std::string_view bytes) {
            if (!page->onBytes(bytes)) {
                page->connection().close();
                connections.erase(page);
            }
        };
        handlers.onEnd = [this, page](ConnectionEnd) { connections.erase(page); };
        connection->start(std::move(handlers));
    }

    Handler handler;
    std::set<std::shared_ptr<PageConnection>> connections;
    Listener listener;
};

StatusServer::StatusServer(EventLoop& loop, const fleet::Address& address, Handler handler)
    : m_implementation(std::make_unique<Implementation>(loop, address, std::move(handler)))
{
}

StatusServer::~StatusServer() = default;

} // namespace citronspoke::channels

#include "transport/Transport.h"

#include <algorithm>
#include <restinio/all.hpp>

namespace citronspoke::transport {

namespace {

    constexpr std::chrono::minutes IdleConnectionLifetime { 5 };
    constexpr std::chrono::hours MaxExchangeDuration { 2 };
    constexpr size_t MaxPipelinedRequests = 16;
    constexpr size_t MaxBodyBytes = 16 << 20;

    /** Notifies exchanges when their connection is closed. */
    class ConnectionWatcher {
    public:
        // RESTinio requires this name.
        // NOLINTNEXTLINE(readability-identifier-naming)
        void state_changed(const restinio::connection_state::notice_t& notice) noexcept
        {
            if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
                return;
            for (const std::function<void()>& callback : takeCallbacks(notice.connection_id()))
                callback();
        }

        /** @return id with which unwatch removes the callback. */
        uint64_t watch(restinio::connection_id_t connection, std::function<void()> callback)
        {
            std::lock_guard lock(m_mutex);
            m_lastWatchId += 1;
            m_callbacks.emplace(std::pair(connection, m_lastWatchId), std::move(callback));
            return m_lastWatchId;
        }

        void unwatch(restinio::connection_id_t connection, uint64_t watch)
        {
            std::lock_guard lock(m_mutex);
            m_callbacks.erase(std::pair(connection, watch));
        }

    private:
        std::vector<std::function<void()>> takeCallbacks(restinio::connection_id_t connection)
        {
            std::lock_guard lock(m_mutex);
            std::vector<std::function<void()>> callbacks;
            auto position = m_callbacks.lower_bound(std::pair(connection, uint64_t { 0 }));
            while (position != m_callbacks.end() && position->first.first == connection) {
                callbacks.push_back(std::move(position->second));
                position = m_callbacks.erase(position);
            }
            return callbacks;
        }

        std::mutex m_mutex;
        uint64_t m_lastWatchId = 0;
        std::map<std::pair<restinio::connection_id_t, uint64_t>, std::function<void()>> m_callbacks;
    };

    struct Traits : restinio::default_traits_t {
        using connection_state_listener_t = ConnectionWatcher;
    };

    using ChunkedResponse = restinio::response_builder_t<restinio::chunked_output_t>;

    class RestinioExchange final : public HttpExchange {
    public:
        RestinioExchange(
            restinio::request_handle_t handle, std::shared_ptr<ConnectionWatcher> watcher)
            : m_handle(std::move(handle))
            , m_watcher(std::move(watcher))
        {
            const restinio::http_request_header_t& header = m_handle->header();
            m_request.method = header.method().c_str();
            m_request.target = std::string(header.path());
            m_request.query = std::string(header.query());
            m_request.body = m_handle->body();
            header.for_each_field([this](const restinio::http_header_field_t& field) {
                std::string name = field.name();
                std::transform(name.begin(), name.end(), name.begin(),
                    [](unsigned char character) { return std::tolower(character); });
                m_request.headers[name] = field.value();
            });
        }

        ~RestinioExchange() override
        {
            if (m_watchId != 0)
                m_watcher->unwatch(m_handle->connection_id(), m_watchId);
        }
        RestinioExchange(const RestinioExchange&) = delete;
        RestinioExchange& operator=(const RestinioExchange&) = delete;

        const HttpRequest& request() const noexcept override { return m_request; }

        void respond(const HttpResponse& response) override
        {
            auto builder = m_handle->create_response(statusLine(response.status));
            for (const auto& [name, value] : response.headers)
                builder.append_header(name, value);
            builder.set_body(response.body);
            builder.done();
        }

        void beginStream(const HttpResponse& head) override
        {
            m_stream.emplace(
                m_handle->create_response<restinio::chunked_output_t>(statusLine(head.status)));
            for (const auto& [name, value] : head.headers)
                m_stream->append_header(name, value);
            m_stream->flush();
        }

        void write(std::string text) override
        {
            m_stream->append_chunk(std::move(text));
            m_stream->flush();
        }

        void endStream() override { m_stream->done(); }

        void abort() override
        {
            // The response announces one byte and sends none, so the caller sees it truncated when
            // the connection closes.
            auto builder = m_handle->create_response<restinio::user_controlled_output_t>();
            builder.set_content_length(1);
            builder.connection_close();
            builder.done();
        }

        void onGone(std::function<void()> callback) override
        {
            m_watchId = m_watcher->watch(m_handle->connection_id(), std::move(callback));
        }

    private:
        static restinio::http_status_line_t statusLine(uint32_t status)
        {
            const auto code = restinio::http_status_code_t(static_cast<uint16_t>(status));
            return { code, status < 400 ? "OK" : "Error" };
        }

        restinio::request_handle_t m_handle;
        std::shared_ptr<ConnectionWatcher> m_watcher;
        HttpRequest m_request;
        std::optional<ChunkedResponse> m_stream;
        uint64_t m_watchId = 0;
    };

    using Server = restinio::http_server_t<Traits>;

    std::pair<std::string, uint16_t> splitAddress(std::string_view address)
    {
        const size_t colon = address.rfind(':');
        require(colon != std::string_view::npos, "HTTP address has the form IP:PORT");
        const int port = std::stoi(std::string(address.substr(colon + 1)));
        return { std::string(address.substr(0, colon)), static_cast<uint16_t>(port) };
    }

} // namespace

struct HttpServer::Implementation {
    std::shared_ptr<ConnectionWatcher> watcher = std::make_shared<ConnectionWatcher>();
    std::unique_ptr<Server> server;
    std::unique_ptr<restinio::on_pool_runner_t<Server>> runner;
};

HttpServer::HttpServer(std::string_view address, size_t threads, Handler handler)
    : m_implementation(std::make_unique<Implementation>())
{
    const auto [host, port] = splitAddress(address);
    std::shared_ptr<ConnectionWatcher> watcher = m_implementation->watcher;
    m_implementation->server = std::make_unique<Server>(restinio::own_io_context(),
        restinio::server_settings_t<Traits> {}
            .address(host)
            .port(port)
            .max_pipelined_requests(MaxPipelinedRequests)
            .read_next_http_message_timelimit(IdleConnectionLifetime)
            .handle_request_timeout(MaxExchangeDuration)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t {}.max_body_size(MaxBodyBytes))
            .connection_state_listener(watcher)
            .request_handler(
                [handler = std::move(handler), watcher](restinio::request_handle_t request) {
                    handler(std::make_shared<RestinioExchange>(std::move(request), watcher));
                    return restinio::request_accepted();
                }));
    m_implementation->runner
        = std::make_unique<restinio::on_pool_runner_t<Server>>(threads, *m_implementation->server);
    try {
        m_implementation->runner->start();
    } catch (const std::exception& error) {
        throw ListenFailed(address, error.what());
    }
}

HttpServer::~HttpServer()
{
    if (m_implementation->runner->started()) {
        m_implementation->runner->stop();
        m_implementation->runner->wait();
    }
}

std::string_view HttpRequest::header(std::string_view name) const
{
    auto found = headers.find(name);
    return found == headers.end() ? std::string_view {} : std::string_view(found->second);
}

HttpResponse jsonResponse(uint32_t status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = std::move(body);
    return response;
}

std::string queryValue(std::string_view query, std::string_view name)
{
    try {
        const auto parameters = restinio::parse_query(query);
        return std::string(parameters.has(name) ? parameters[name] : restinio::string_view_t {});
    } catch (const std::exception&) {
        return {};
    }
}

} // namespace citronspoke::transport

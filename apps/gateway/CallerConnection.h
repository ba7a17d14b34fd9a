#pragma once

#include "RequestHandler.h"

namespace citronspoke::gateway {

/**
 * One connection of a caller: parses its requests, serves them one after the other and writes the
 * responses. Used by the event loop's thread only.
 */
class CallerConnection final : public ResponseWriter,
                               public std::enable_shared_from_this<CallerConnection> {
public:
    /** @param onClosed called once, when the connection has ended. */
    CallerConnection(GatewayContext& context, channels::ConnectionPointer connection,
        std::function<void()> onClosed);

    void start();
    /** Ends the connection as soon as no request is being served. */
    void closeWhenIdle();
    /** Ends the request that is being served, if any, with a response: the process stops. */
    void endRequest();
    bool isIdle() const noexcept { return !m_handler && m_parser.isBetweenMessages(); }

    void respond(uint32_t status, std::string_view reason, const http1::Headers& headers,
        std::string_view body) override;
    void beginBody(
        uint32_t status, std::string_view reason, const http1::Headers& headers) override;
    void writeBody(std::string_view bytes) override;
    bool isFull() const override;
    void endBody() override;
    void abort() override;

private:
    void onBytes(std::string_view bytes);
    void parsePending();
    void onEvent(http1::RequestEvent& event);
    void startHandler();
    void finishResponse();
    void onWritten();
    /** Counts the bytes that are held for this caller. */
    void updateBuffers() { countUnsent(m_context, m_connection, weak_from_this()); }
    /** Static, because the end of a response may be sent after its caller's object is gone. */
    static void countUnsent(GatewayContext& context, const channels::ConnectionPointer& connection,
        const std::weak_ptr<CallerConnection>& caller);
    void reject(http1::ParseFault fault);
    void armTimer();
    void onTimeout();
    void close();
    void addConnectionField(http1::Headers& headers);

    GatewayContext& m_context;
    channels::ConnectionPointer m_connection;
    std::function<void()> m_onClosed;
    http1::RequestParser m_parser;
    channels::Timer m_timer;
    std::string m_pending;
    ReceivedRequest m_request;
    bool m_isRequestComplete = false;
    std::shared_ptr<RequestHandler> m_handler;
    bool m_closesAfterResponse = false;
    bool m_isClosed = false;
};

} // namespace citronspoke::gateway

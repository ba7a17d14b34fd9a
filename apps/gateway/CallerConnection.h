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
    /** @return whether a request is being served or answered. */
    bool isServing() const noexcept { return m_handler || m_hasStoppedReceiving; }
    /** @return since when the connection is idle or, if it is not, a request is being received. */
    SteadyTime waitingSince() const noexcept { return m_waitingSince; }
    /** Closes a connection that serves no request: another caller needs it. */
    void closeForRoom();
    /** Adjusts the time for which the connection waits; the limits of the declaration changed. */
    void followLimits();

    void respond(uint32_t status, std::string_view reason, const http1::Headers& headers,
        std::shared_ptr<const http1::Body> body) override;
    void beginBody(
        uint32_t status, std::string_view reason, const http1::Headers& headers) override;
    void writeBody(std::string_view bytes) override;
    bool isFull() const override;
    void endBody() override;
    void abort() override;

private:
    void onBytes(std::string_view bytes);
    /** @return number of bytes consumed; the others are for after the current request. */
    size_t parse(std::string_view bytes);
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
    /** Counts what is held of a request that is being received, and of those that follow it. */
    void countHeld();
    /** @return whether there is memory for what is held. */
    bool holdMemory();
    /** @return what is held of requests that are not being served yet. */
    size_t heldBytes() const noexcept;
    /** Refuses what has not been received as a whole: its memory is needed. */
    void giveWay();
    /** Drops what was received and has not been served, and what is still to come. */
    void stopReceiving();
    Milliseconds retryAfter();
    void reject(http1::ParseFault fault);
    /** @return whether a newer declaration may allow larger requests. */
    bool mayLimitsBeStale() const;
    /**
     * @return the limits on the request that is being received, or on the next one: those of the
     *         newest declaration or, where they are wider, those in force when the request began.
     */
    fleet::CallerLimits messageLimits() const;
    /** Applies the limits to what is received from now on. */
    void applyLimits();
    /** @return how long the connection may be idle, or a request may take to arrive. */
    Milliseconds waitLimit() const;
    /** Begins to wait for the next bytes that matter: a request, or the rest of one. */
    void armTimer();
    void armTimer(Milliseconds delay);
    void onTimeout();
    void close();
    void addConnectionField(http1::Headers& headers);

    GatewayContext& m_context;
    channels::ConnectionPointer m_connection;
    std::function<void()> m_onClosed;
    http1::RequestParser m_parser;
    channels::Timer m_timer;
    SteadyTime m_waitingSince;
    /** From m_waitingSince on. */
    Milliseconds m_waitLimit { 0 };
    /** Of the request that is being received; none when no declaration was known yet. */
    std::optional<fleet::CallerLimits> m_limitsAtBegin;
    /** Received while another request is served. */
    std::string m_pending;
    ReceivedRequest m_request;
    /** Null while no request is being received. */
    std::unique_ptr<capacity::HeldMemory> m_held;
    bool m_isRequestComplete = false;
    std::shared_ptr<RequestHandler> m_handler;
    /** Nothing more that is received is a request. */
    bool m_hasStoppedReceiving = false;
    bool m_closesAfterResponse = false;
    bool m_isClosed = false;
};

} // namespace citronspoke::gateway

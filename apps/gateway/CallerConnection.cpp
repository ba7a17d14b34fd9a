#include "CallerConnection.h"

#include "Durations.h"
#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

namespace {

    constexpr size_t MaxPendingBytes = size_t { 64 } * 1024;
    /** Bytes of a stream that are held for a caller before the target's response is read on;
     * streams of tokens have a few kilobytes. */
    constexpr size_t MaxRelayedBytes = size_t { 256 } << 10;

} // namespace

CallerConnection::CallerConnection(
    GatewayContext& context, channels::ConnectionPointer connection, std::function<void()> onClosed)
    : m_context(context)
    , m_connection(std::move(connection))
    , m_onClosed(std::move(onClosed))
    , m_parser(http1::MessageLimits {})
    , m_timer(context.loop)
{
}

void CallerConnection::start()
{
    const std::weak_ptr<CallerConnection> weak = weak_from_this();
    channels::Connection::Handlers handlers;
    handlers.onBytes = [weak](std::string_view bytes) {
        if (const std::shared_ptr<CallerConnection> self = weak.lock())
            self->onBytes(bytes);
    };
    const std::weak_ptr<channels::Connection> connection = m_connection;
    const channels::Connection* key = m_connection.get();
    handlers.onEnd = [weak, key, &context = m_context](channels::ConnectionEnd) {
        context.callerBuffers.remove(key);
        if (const std::shared_ptr<CallerConnection> self = weak.lock())
            self->close();
    };
    handlers.onWritten = [weak, connection, &context = m_context] {
        if (const channels::ConnectionPointer open = connection.lock())
            countUnsent(context, open, weak);
        if (const std::shared_ptr<CallerConnection> self = weak.lock())
            self->onWritten();
    };
    m_connection->start(std::move(handlers));
    armTimer();
}

void CallerConnection::closeWhenIdle()
{
    m_closesAfterResponse = true;
    if (isIdle())
        close();
}

void CallerConnection::closeForRoom()
{
    // Its owner releases it when it is closed.
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    telemetry::logWarning("caller", "Closed a connection: another caller needs it.",
        { { "idle", isIdle() ? "yes" : "no" },
            { "waited_ms", millisecondsText(since(m_waitingSince)) } });
    telemetry::count("closed_for_room", { { "state", isIdle() ? "idle" : "receiving" } });
    close();
}

void CallerConnection::endRequest()
{
    if (m_handler)
        m_handler->endForStop();
}

void CallerConnection::onBytes(std::string_view bytes)
{
    if (m_hasStoppedReceiving)
        return;
    const std::shared_ptr<CallerConnection> self = shared_from_this();
    if (m_pending.empty())
        bytes.remove_prefix(parse(bytes));
    if (m_hasStoppedReceiving || m_isClosed)
        return;
    // Pipelined requests wait; their size is bounded.
    m_pending.append(bytes);
    if (m_pending.size() > MaxPendingBytes)
        close();
    else
        countHeld();
}

void CallerConnection::parsePending()
{
    const std::string pending = std::exchange(m_pending, {});
    const size_t used = parse(pending);
    if (m_hasStoppedReceiving || m_isClosed)
        return;
    m_pending = pending.substr(used);
    countHeld();
}

size_t CallerConnection::parse(std::string_view bytes)
{
    size_t used = 0;
    while (used < bytes.size() && !m_handler && !m_hasStoppedReceiving && !m_isClosed) {
        const bool wasBetweenMessages = m_parser.isBetweenMessages();
        applyLimits();
        std::vector<http1::RequestEvent> events;
        try {
            used += m_parser.feed(bytes.substr(used), events);
        } catch (const http1::MessageRejected& rejected) {
            reject(rejected.fault());
            return used;
        }
        for (http1::RequestEvent& event : events)
            onEvent(event);
        if (m_isRequestComplete)
            startHandler();
        else if (wasBetweenMessages != m_parser.isBetweenMessages())
            armTimer();
    }
    return used;
}

void CallerConnection::onEvent(http1::RequestEvent& event)
{
    if (http1::RequestHead* head = std::get_if<http1::RequestHead>(&event)) {
        m_request.head = std::move(*head);
        m_request.body.reset();
        if (m_request.head.expectsContinue)
            m_connection->write("HTTP/1.1 100 Continue\r\n\r\n");
    } else if (const http1::BodyPart* part = std::get_if<http1::BodyPart>(&event)) {
        if (!m_request.body)
            m_request.body = std::make_shared<http1::Body>();
        m_request.body->append(part->bytes);
    } else {
        m_isRequestComplete = true;
    }
}

void CallerConnection::startHandler()
{
    m_isRequestComplete = false;
    if (!holdMemory()) {
        giveWay();
        return;
    }
    m_request.held = std::move(m_held);
    m_timer.cancel();
    m_request.receivedAt = steadyNow();
    if (!m_request.head.isPersistent)
        m_closesAfterResponse = true;
    const std::shared_ptr<RequestHandler> handler
        = std::make_shared<RequestHandler>(m_context, std::move(m_request), *this);
    m_request = {};
    m_handler = handler;
    try {
        handler->start();
    } catch (const std::exception& exception) {
        // The request may have been sent, so its caller must not get a promise about it.
        telemetry::reportUnexpected("request", exception);
        close();
    }
}

void CallerConnection::respond(uint32_t status, std::string_view reason,
    const http1::Headers& headers, std::shared_ptr<const http1::Body> body)
{
    http1::Headers whole = headers;
    whole.add("Content-Length", std::to_string(body ? body->size() : 0));
    addConnectionField(whole);
    m_connection->write(http1::composeResponse(status, reason, whole), std::move(body));
    updateBuffers();
    finishResponse();
}

void CallerConnection::beginBody(
    uint32_t status, std::string_view reason, const http1::Headers& headers)
{
    http1::Headers chunked = headers;
    chunked.add("Transfer-Encoding", "chunked");
    addConnectionField(chunked);
    m_connection->write(http1::composeResponse(status, reason, chunked));
}

void CallerConnection::writeBody(std::string_view bytes)
{
    m_connection->write(http1::composeChunk(bytes));
    updateBuffers();
}

bool CallerConnection::isFull() const
{
    const size_t unsent = m_connection->unsentBytes();
    return unsent > MaxRelayedBytes || (unsent > 0 && m_context.callerBuffers.isFull());
}

void CallerConnection::onWritten()
{
    if (m_handler && !m_isClosed && !isFull())
        m_handler->continueRelay();
}

void CallerConnection::countUnsent(GatewayContext& context,
    const channels::ConnectionPointer& connection, const std::weak_ptr<CallerConnection>& caller)
{
    // The handler may be on the call stack.
    const std::weak_ptr<channels::Connection> weakConnection = connection;
    context.callerBuffers.update(
        connection.get(), connection->unsentBytes(),
        [caller, weakConnection, &loop = context.loop] {
            loop.post([caller, weakConnection] {
                if (const std::shared_ptr<CallerConnection> self = caller.lock())
                    self->close();
                if (const channels::ConnectionPointer connection = weakConnection.lock())
                    connection->close();
            });
        },
        steadyNow());
}

void CallerConnection::endBody()
{
    m_connection->write(std::string(http1::LastChunk));
    finishResponse();
}

void CallerConnection::abort() { close(); }

void CallerConnection::finishResponse()
{
    // The handler is still on the call stack; the event loop releases it later and only then
    // goes on with the next request.
    m_context.loop.post([self = shared_from_this()] {
        if (self->m_isClosed)
            return;
        self->m_handler.reset();
        if (self->m_closesAfterResponse) {
            // The most that a caller may still send of a request that was refused.
            const fleet::CallerLimits limits = self->messageLimits();
            self->m_connection->closeAfterWrites(limits.headBytes + limits.bodyBytes);
            self->m_isClosed = true;
            self->m_timer.cancel();
            self->m_onClosed();
            return;
        }
        self->armTimer();
        self->parsePending();
    });
}

void CallerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    stopReceiving();
    m_timer.cancel();
    m_connection->close();
    m_context.callerBuffers.remove(m_connection.get());
    if (m_handler) {
        m_handler->callerLeft();
        // The handler may still be on the call stack, so the event loop releases it later.
        m_context.loop.post([handler = std::move(m_handler)] {});
    }
    m_onClosed();
}

void CallerConnection::addConnectionField(http1::Headers& headers)
{
    if (m_context.stop)
        m_closesAfterResponse = true;
    if (m_closesAfterResponse)
        headers.add("Connection", "close");
}

} // namespace citronspoke::gateway

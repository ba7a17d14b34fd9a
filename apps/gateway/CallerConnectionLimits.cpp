// The limits of the declaration, which may change while a connection is open.
#include "CallerConnection.h"

#include "Durations.h"
#include "Statuses.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** @return none before the first declaration. */
    std::optional<fleet::CallerLimits> declaredLimits(const GatewayContext& context)
    {
        if (!context.routes)
            return std::nullopt;
        return context.routes->declaration().limits;
    }

} // namespace

fleet::CallerLimits CallerConnection::messageLimits() const
{
    const std::optional<fleet::CallerLimits> declared = declaredLimits(m_context);
    if (!declared)
        return {};
    // What a caller had begun to send before the limits fell was allowed then.
    return m_limitsAtBegin ? fleet::widest(*declared, *m_limitsAtBegin) : *declared;
}

void CallerConnection::applyLimits()
{
    if (m_parser.isBetweenMessages())
        m_limitsAtBegin = declaredLimits(m_context);
    const fleet::CallerLimits limits = messageLimits();
    m_parser.setLimits({ limits.headBytes, limits.bodyBytes });
}

Milliseconds CallerConnection::waitLimit() const
{
    if (m_parser.isBetweenMessages())
        return declaredLimits(m_context).value_or(fleet::CallerLimits()).idleTimeout;
    return messageLimits().headTimeout;
}

void CallerConnection::armTimer()
{
    m_waitingSince = steadyNow();
    m_waitLimit = waitLimit();
    armTimer(m_waitLimit);
}

void CallerConnection::armTimer(Milliseconds delay)
{
    const std::weak_ptr<CallerConnection> weak = weak_from_this();
    m_timer.arm(delay, [weak] {
        if (const std::shared_ptr<CallerConnection> self = weak.lock())
            self->onTimeout();
    });
}

void CallerConnection::followLimits()
{
    const Milliseconds limit = waitLimit();
    if (m_handler || m_hasStoppedReceiving || m_isClosed || limit == m_waitLimit)
        return;
    const Milliseconds waited = since(m_waitingSince);
    // A caller that is idle has all of a lowered limit from now on: it could not know it before.
    const Milliseconds left
        = limit < m_waitLimit ? std::min(limit, m_waitLimit - waited) : limit - waited;
    m_waitLimit = waited + left;
    armTimer(left);
}

void CallerConnection::onTimeout()
{
    if (m_handler || m_hasStoppedReceiving || m_isClosed)
        return;
    if (isIdle()) {
        close();
        return;
    }
    stopReceiving();
    respond(408, "Request Timeout", {}, {});
}

void CallerConnection::reject(http1::ParseFault fault)
{
    uint32_t status = 400;
    std::string_view reason = "Bad Request";
    if (fault != http1::ParseFault::Malformed && mayLimitsBeStale()) {
        status = Unavailable;
        reason = "Service Unavailable";
    } else if (fault == http1::ParseFault::HeadTooLarge) {
        status = 431;
        reason = "Request Header Fields Too Large";
    } else if (fault == http1::ParseFault::BodyTooLarge) {
        status = 413;
        reason = "Content Too Large";
    }
    const fleet::CallerLimits limits = messageLimits();
    telemetry::logWarning("caller", "Rejected a request that is malformed or too large.",
        { { "status", std::to_string(status) }, { "head_limit", std::to_string(limits.headBytes) },
            { "body_limit", std::to_string(limits.bodyBytes) },
            { "revision",
                m_context.routes ? std::to_string(m_context.routes->declaration().revision.value())
                                 : "" } });
    telemetry::count("rejected_messages", { { "status", std::to_string(status) } });
    http1::Headers headers;
    if (status == Unavailable)
        headers.add("Retry-After", secondsText(retryAfter()));
    stopReceiving();
    respond(status, reason, headers, {});
}

bool CallerConnection::mayLimitsBeStale() const
{
    return !m_context.routes || m_context.declarationAge() > m_context.settings.applyTime;
}

} // namespace citronspoke::gateway

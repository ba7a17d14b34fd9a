// The keys of callers and the organisations that they belong to.
#include "RequestHandler.h"
#include "Statuses.h"
#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

namespace {

    /** The gateway may be in contact with the store again by then. */
    constexpr Milliseconds UnconfirmedRetryAfter { 1000 };

} // namespace

bool RequestHandler::endWhenKeyRefused()
{
    const std::shared_ptr<const organisations::KeyDirectory> keys = m_context.keys;
    if (!keys) {
        m_organisation = {};
        m_organisationPriority.reset();
        return false;
    }
    if (!std::exchange(m_hidesKey, true)) {
        m_carriesKey = adapter::carriesKey(m_request.head.headers);
        m_keyDigest = adapter::callerKeyDigest(m_request.head.headers);
    }
    const Milliseconds declarationAge = m_context.declarationAge();
    if (m_context.settings.refusesUnconfirmedKeys && m_carriesKey
        && declarationAge > m_context.settings.revokeTime) {
        refuseKey("unconfirmed", "the declaration is not confirmed", Unavailable);
        return true;
    }
    const organisations::KeyOwner* owner = m_keyDigest ? keys->find(*m_keyDigest) : nullptr;
    if (owner || isPublic()) {
        m_organisation = owner ? owner->id : OrganisationId();
        m_organisationPriority = owner ? owner->priority : std::nullopt;
        return false;
    }
    const std::string_view reason = m_organisation.empty() ? "unknown" : "removed";
    // An older declaration may lack a key that the operators have added.
    if (declarationAge > m_context.settings.applyTime)
        refuseKey(reason, "the key is not known, but the declaration may be stale", Unavailable);
    else
        refuseKey(reason, "the key is not known", Unauthorized);
    return true;
}

bool RequestHandler::isPublic() const
{
    const fleet::Route* route = m_context.routes == m_routes
        ? m_route
        : m_context.routes->match(m_callerInfo.host, m_request.head.target);
    return route && route->isPublic;
}

void RequestHandler::refuseKey(std::string_view reason, std::string_view cause, uint32_t status)
{
    telemetry::logInfo("request", "Refused a key.",
        { { "id", m_callerInfo.attempt.text() },
            { "organisation", m_organisation.empty() ? "unknown" : m_organisation.text() },
            { "reason", std::string(reason) },
            { "revision", std::to_string(m_context.routes->declaration().revision.value()) } });
    telemetry::count("keys_refused", { { "reason", std::string(reason) } });
    // A 503 states that the request has not run, which is not known once a target may have run it.
    const bool mayHaveRun = status == Unavailable && !m_ranOn.empty();
    if (m_hasBegunResponse || mayHaveRun)
        fail(cause);
    else
        refuse(status, cause, UnconfirmedRetryAfter);
}

uint32_t RequestHandler::priority() const
{
    return m_organisationPriority.value_or(m_route->priority);
}

} // namespace citronspoke::gateway

#include "OriginHolder.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::sidecar {

namespace {

    /** About 7 MB. At 1900 streams a second and 840 engines, a sidecar gets 5 a second. */
    constexpr size_t MaxOrigins = 20000;
    /** Gateways look for streams for twice the longest timeout of a route, which a sidecar does not
     * know; timeouts are of seconds to a few minutes. */
    constexpr Milliseconds Retention { 600000 };
    /** Of versions and pools. */
    constexpr size_t MaxNameLength = 64;

} // namespace

OriginHolder::OriginHolder(channels::DatagramPort& port, const EntryId& id)
    : m_port(port)
    , m_id(id)
    , m_origins(MaxOrigins)
{
}

void OriginHolder::onBatch(const peers::OriginBatch& batch)
{
    const SteadyTime now = steadyNow();
    m_origins.expire(now, Retention);
    for (const streams::OriginNote& note : batch.notes) {
        if (note.attempt.text().size() <= streams::MaxAttemptLength
            && note.origin.version.text().size() <= MaxNameLength
            && note.origin.pool.text().size() <= MaxNameLength)
            m_origins.note(note, now);
    }
}

void OriginHolder::onQuery(const streams::OriginQuery& query)
{
    const std::optional<streams::OriginRecord> origin = m_origins.find(query.attempt);
    telemetry::count("origin_queries", { { "found", origin ? "yes" : "no" } });
    m_port.send(query.replyTo,
        peers::encode(streams::OriginReply { query.number, query.attempt, m_id, origin, {} }));
}

} // namespace citronspoke::sidecar

// Streams that go on at another target, which must have the software version that began them.
#include "Durations.h"
#include "PeerGroup.h"
#include "RequestHandler.h"
#include "Statuses.h"
#include "StreamRegistry.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** Another gateway may know the stream when this one reaches it again. */
    constexpr Milliseconds UnknownOriginRetryAfter { 1000 };
    /** Callers accept a wait of at most this fraction (1/n) of their remaining time. */
    constexpr int RetryAfterDivisor = 3;
    /** Some round trips between zones; engines reply at once. */
    constexpr Milliseconds ReportTimeout { 250 };

} // namespace

void RequestHandler::resumeStream()
{
    std::vector<PoolId> pools;
    for (const fleet::PoolShare& share : m_route->pools)
        pools.push_back(share.pool);
    const std::weak_ptr<RequestHandler> weak = weak_from_this();
    m_originSearch = m_context.streams->findOrigin(
        { m_callerInfo.attempt, m_callerInfo.resumedAttempt, std::move(pools) },
        [weak](const streams::Origin& origin) {
            const std::shared_ptr<RequestHandler> self = weak.lock();
            if (self && !self->m_isOver)
                self->goOnFrom(origin);
        });
}

void RequestHandler::goOnFrom(const streams::Origin& origin)
{
    if (origin.basis == streams::Origin::Basis::Unknown) {
        refuse(Unavailable, "it is not known at which version the stream began",
            std::min(UnknownOriginRetryAfter, timeLeft() / RetryAfterDivisor));
        return;
    }
    m_streamVersion = origin.version;
    // No pool is known without a record, and the route may have been moved away from the one that
    // began the stream; the version is required in any case.
    if (enterPool(dispatch::leadsTo(*m_route, origin.pool) ? origin.pool : drawPool()))
        sendNext();
}

void RequestHandler::keepStreamVersion(TargetStates& states) const
{
    if (!m_streamVersion)
        return;
    // The events that two versions write do not fit together, and targets do not check this.
    // Targets without a version count as one version only where no target of the pool has one.
    const bool isUsable = !m_streamVersion->empty() || isWithoutVersions(*m_pool);
    std::erase_if(states, [this, isUsable](const dispatch::TargetState* state) {
        return !isUsable || state->record.version != *m_streamVersion;
    });
}

bool RequestHandler::isWithoutVersions(const fleet::PoolTraits& pool) const
{
    const TargetStates states = m_context.directory.allInPool(pool.id, steadyNow());
    return std::all_of(states.begin(), states.end(),
        [](const dispatch::TargetState* state) { return state->record.version.empty(); });
}

RequestHandler::TargetStates RequestHandler::decodeEngines() const
{
    TargetStates states = m_context.enginesInRole(m_pool->id, EngineRole::Decode);
    keepStreamVersion(states);
    return states;
}

bool RequestHandler::hasTargetToGoOn() const
{
    if (m_pool->engine)
        return !decodeEngines().empty();
    TargetStates states = m_context.directory.usable(m_pool->id, steadyNow());
    keepStreamVersion(states);
    return std::any_of(states.begin(), states.end(), [this](const dispatch::TargetState* state) {
        return !m_excludedTargets.contains(state->record.id);
    });
}

bool RequestHandler::confirmIncarnation(const fleet::TargetRecord& target)
{
    // Without a start time in the record, each incarnation has an id of its own.
    const bool isResume = m_streamVersion && m_lastEventId;
    const fleet::Incarnation incarnation = target.incarnation();
    if (!isResume || target.startedAt.value() == 0 || m_confirmed == incarnation)
        return false;
    const std::weak_ptr<RequestHandler> weak = weak_from_this();
    m_reportCall = channels::call(m_context.loop, m_context.targetConnections,
        { target.address, target.id.text() },
        adapter::composeCall(adapter::reportCall(), target.address),
        { ReportTimeout, MaxReportBytes },
        [weak, incarnation, target](const std::optional<channels::CallResponse>& response) {
            const std::shared_ptr<RequestHandler> self = weak.lock();
            if (!self || self->m_isOver)
                return;
            const std::shared_ptr<void> finished = std::exchange(self->m_reportCall, nullptr);
            if (response)
                self->m_context.noteNotice(target,
                    adapter::decodeTargetNotice(response->status, response->headers),
                    self->m_callerInfo.attempt);
            self->onReport(incarnation, response);
        });
    countHeld();
    return true;
}

void RequestHandler::onReport(
    const fleet::Incarnation& expected, const std::optional<channels::CallResponse>& response)
{
    constexpr uint32_t Ok = 200;
    std::string cause = "no response";
    try {
        if (response && response->status == Ok) {
            if (adapter::decodeReport(response->body).startedAt == expected.startedAt) {
                m_confirmed = expected;
                sendNext();
                return;
            }
            cause = "it has restarted";
            m_context.directory.noteResult(
                expected.target, dispatch::AttemptResult::Replaced, steadyNow());
            m_context.peers->noteReplaced(expected.target);
        }
    } catch (const adapter::DocumentUnreadable& unreadable) {
        cause = unreadable.describe();
    }
    telemetry::logWarning("request", "A target did not confirm its incarnation.",
        { { "id", m_callerInfo.attempt.text() }, { "target", expected.target.text() },
            { "cause", cause } });
    m_excludedTargets.insert(expected.target);
    sendNext();
}

void RequestHandler::countResume() const
{
    if (!m_hasBegunResponse && !m_lastEventId)
        return;
    std::string relation = "unknown";
    if (m_streamVersion && !m_streamVersion->empty())
        relation = *m_streamVersion == m_attempt->target.version ? "same" : "other";
    telemetry::count("streams_resumed",
        { { "by", m_hasBegunResponse ? "gateway" : "caller" }, { "version", relation } });
}

} // namespace citronspoke::gateway

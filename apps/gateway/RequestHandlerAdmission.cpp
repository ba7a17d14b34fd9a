// Shares of organisations and admission, only where the declaration has organisations.
#include "Durations.h"
#include "RequestHandler.h"
#include "Statuses.h"
#include "telemetry/Telemetry.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::gateway {

namespace {

    double millisecondsOf(Milliseconds duration) { return static_cast<double>(duration.count()); }

    /** @return the tokens of a prompt that no other prompt shares; the others are mostly cached. */
    uint64_t ownTokens(const fleet::Prompt& prompt)
    {
        return prompt.parts.empty() ? prompt.tokens : prompt.parts.back().tokens;
    }

} // namespace

PoolShares* RequestHandler::poolShares()
{
    PoolShares* poolShares = m_context.sharesOf(m_pool->id);
    if (poolShares)
        poolShares->refresh(m_context.directory.usable(m_pool->id, steadyNow()),
            m_context.prefillSpeeds[m_pool->id], steadyNow());
    return poolShares;
}

dispatch::PromptGoal RequestHandler::promptGoal()
{
    dispatch::PromptGoal goal { priority(), m_route->latencyObjective - age(), m_context.zone };
    PoolShares* shares = poolShares();
    if (!shares)
        return goal;
    const SteadyTime now = steadyNow();
    const double engineTime = millisecondsOf(
        m_context.prefillSpeeds[m_pool->id].estimate(ownTokens(*m_callerInfo.prompt)));
    goal.isDividedByShares = shares->fairShares.isShort(now);
    // A request that waits for a turn is placed more than once but counts once.
    if (!std::exchange(m_isClassified, true)) {
        shares->use.noteWanted(m_organisation, engineTime, now);
        m_isOverShare = shares->fairShares.classifyOver(m_organisation, engineTime, now);
    }
    goal.isOverShare = m_isOverShare;
    goal.isReturning = shares->admission.isReturning(fingerprint(), now);
    return goal;
}

bool RequestHandler::refuseUnmeetablePrompt(const dispatch::PromptPlacement& placement)
{
    const dispatch::PrefillSpeed& speed = m_context.prefillSpeeds[m_pool->id];
    PoolShares* shares = m_context.sharesOf(m_pool->id);
    return shares
        && refuseUnmeetable(*shares, speed.estimate(placement.tokensAhead),
            speed.estimate(placement.tokensToPrefill) + shares->runTime());
}

bool RequestHandler::refuseUnmeetableRun(const dispatch::TargetState& target)
{
    PoolShares* shares = poolShares();
    if (!shares)
        return false;
    const uint32_t requests = target.load().requests;
    const uint32_t slots = std::max(1U, target.record.slots);
    const uint32_t ahead = requests < slots ? 0 : requests - slots + 1;
    return refuseUnmeetable(*shares, shares->runTime() * ahead / slots, shares->runTime());
}

bool RequestHandler::refuseUnmeetable(PoolShares& shares, Milliseconds wait, Milliseconds duration)
{
    // A stream that has begun, here or elsewhere, goes on; what may have run cannot be refused.
    if (m_hasBegunResponse || m_lastEventId || !m_ranOn.empty())
        return false;
    // Its turn at the target would be lost for others.
    if (m_isTurnBooked)
        return false;
    const SteadyTime now = steadyNow();
    const shares::AdmissionRequest request { fingerprint(), priority(), wait, duration, timeLeft(),
        m_isOverShare };
    const std::optional<Milliseconds> retryAfter = shares.admission.refusal(
        request, shares.state(), shares.servers(), m_context.randomFraction(), now);
    if (!retryAfter)
        return false;
    shares.fairShares.noteRefused(now);
    const std::optional<double> share = shares.fairShares.share(m_organisation, now);
    telemetry::logInfo("request", "Refused: it could not be served in time.",
        { { "id", m_callerInfo.attempt.text() }, { "organisation", m_organisation.text() },
            { "share", share ? std::to_string(std::llround(*share)) : "" },
            { "use", std::to_string(std::llround(shares.fairShares.use(m_organisation).used)) },
            { "wait_ms", millisecondsText(wait) }, { "left_ms", millisecondsText(timeLeft()) },
            { "retry_ms", millisecondsText(*retryAfter) } });
    telemetry::count("refused_unmeetable");
    refuse(Unavailable, "it could not be served in time", *retryAfter);
    return true;
}

void RequestHandler::notePromptSent(const dispatch::PromptPlacement& placement)
{
    PoolShares* shares = m_context.sharesOf(m_pool->id);
    if (!shares)
        return;
    const dispatch::PrefillSpeed& speed = m_context.prefillSpeeds[m_pool->id];
    m_attempt->engineTime = millisecondsOf(speed.estimate(placement.tokensToPrefill));
    m_attempt->expectedWait = speed.estimate(placement.tokensAhead);
    shares->noteUsed(m_organisation, m_attempt->engineTime, steadyNow());
}

void RequestHandler::notePrefillEnded(bool hasRun)
{
    PoolShares* shares = m_context.sharesOf(m_pool->id);
    if (!shares || m_attempt->step != Step::Prefill)
        return;
    const Milliseconds own(static_cast<int64_t>(m_attempt->engineTime));
    const Milliseconds took = since(m_attempt->startedAt);
    shares->admission.noteWaited(priority(), m_isOverShare, m_attempt->expectedWait,
        std::max(Milliseconds(0), hasRun ? took - own : took));
    if (!hasRun)
        shares->noteNotRun(m_organisation, std::exchange(m_attempt->engineTime, 0), steadyNow());
}

void RequestHandler::noteRunFinished()
{
    PoolShares* shares = m_context.sharesOf(m_pool->id);
    if (!shares)
        return;
    const Milliseconds took = since(m_attempt->startedAt);
    shares->noteRun(took);
    // A run keeps one slot busy, the other slots of the target serve others at the same time.
    const uint32_t slots = std::max(1U, m_attempt->target.slots);
    const double engineTime = millisecondsOf(took) / slots;
    if (m_attempt->step == Step::RunWhole)
        shares->use.noteWanted(m_organisation, engineTime, steadyNow());
    shares->noteUsed(m_organisation, engineTime, steadyNow());
}

} // namespace citronspoke::gateway

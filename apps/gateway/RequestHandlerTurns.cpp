// Turns at targets that state a request limit or have requested a pause.
#include "Durations.h"
#include "PeerGroup.h"
#include "RequestHandler.h"
#include "Statuses.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** Longest wait for a turn of a request of the most urgent priority. Less urgent ones wait
     * less, so that the turns that are still free go to more urgent ones. */
    constexpr Milliseconds LongestTurnWait { 300 };
    /** A request that waits, or is slowed down, for more than this fraction (1/n) of the time until
     * its objective is probably late. */
    constexpr int TurnWaitDivisor = 2;
    /** A decode engine prefills a prompt this many times slower than a prefill engine. */
    constexpr int WholeRunSlowdown = 2;
    /** Callers accept a wait of at most this fraction (1/n) of their remaining time. */
    constexpr int RetryAfterDivisor = 3;
    /** Callers that are refused come back spread over this time: no more are served at once. */
    constexpr Milliseconds ReturnPeriod { 2000 };

} // namespace

RequestHandler::TargetStates RequestHandler::readyTargets(const TargetStates& states)
{
    const SteadyTime now = steadyNow();
    TargetStates ready;
    dispatch::TargetState* booked = nullptr;
    for (dispatch::TargetState* state : states) {
        if (m_excludedTargets.contains(state->record.id))
            continue;
        const bool isBooked = m_turn && m_turn->target == state->record.id;
        if (isBooked && isTurnValid(*m_turn, state->record))
            booked = state;
        else if (m_context.nextTurn(state->record, now) == now)
            ready.push_back(state);
    }
    const bool isAnyHealthy = std::any_of(ready.begin(), ready.end(),
        [now](const dispatch::TargetState* state) { return !state->isAvoided(now); });
    if (m_turn && (!booked || isAnyHealthy))
        cancelTurn(m_turn);
    if (m_turn) {
        ready.clear();
        if (m_turn->at <= now) {
            m_turn.reset();
            m_isTurnBooked = true;
            ready.push_back(booked);
        }
    } else if (!isAnyHealthy) {
        // A short wait for a healthy target is better than one that has just failed.
        const std::optional<Turn> turn = earliestTurn(states, now);
        if (turn && turn->at > now && isInTime(*turn))
            ready.clear();
    }
    return ready;
}

bool RequestHandler::isTurnValid(const Turn& turn, const fleet::TargetRecord& target) const
{
    // The target may have requested another pause since the turn was booked.
    return m_context.takesTurns(target) && !m_context.isPaused(target, turn.at);
}

std::optional<RequestHandler::Turn> RequestHandler::earliestTurn(
    const TargetStates& states, SteadyTime now)
{
    std::optional<Turn> earliest;
    std::pair<bool, SteadyTime> best;
    for (const dispatch::TargetState* state : states) {
        if (m_excludedTargets.contains(state->record.id))
            continue;
        const std::optional<SteadyTime> turn = m_context.nextTurn(state->record, now);
        if (!turn)
            continue;
        const std::pair<bool, SteadyTime> rank(state->isAvoided(now), *turn);
        if (earliest && rank >= best)
            continue;
        best = rank;
        earliest = Turn { state->record.id, *turn };
    }
    return earliest;
}

bool RequestHandler::isInTime(const Turn& turn) const
{
    // The caller of a stream that is resumed waits for the next event.
    const Milliseconds left
        = m_hasBegunResponse ? m_route->eventGapObjective : m_route->latencyObjective - age();
    const Milliseconds longest
        = std::clamp(left / TurnWaitDivisor, Milliseconds(0), LongestTurnWait);
    return turn.at - steadyNow() <= longest / (1 + priority());
}

bool RequestHandler::awaitTurn(const TargetStates& states)
{
    const bool hasTarget
        = std::any_of(states.begin(), states.end(), [this](const dispatch::TargetState* state) {
              return !m_excludedTargets.contains(state->record.id);
          });
    if (!hasTarget)
        return false;
    if (!m_turn) {
        const std::optional<Turn> turn = earliestTurn(states, steadyNow());
        if (!turn || !isInTime(*turn)) {
            refuseWithoutTurn(states, turn);
            return true;
        }
        m_context.pacer.book(turn->target, turn->at);
        m_turn = turn;
    }
    const Milliseconds wait
        = std::chrono::duration_cast<Milliseconds>(m_turn->at - steadyNow()) + Milliseconds(1);
    telemetry::logInfo("request", "Waiting for a turn.",
        { { "id", m_callerInfo.attempt.text() }, { "target", m_turn->target.text() },
            { "wait_ms", millisecondsText(wait) } });
    const std::weak_ptr<RequestHandler> weak = weak_from_this();
    m_turnTimer.arm(wait, [weak] {
        if (const std::shared_ptr<RequestHandler> self = weak.lock())
            self->sendNext();
    });
    return true;
}

bool RequestHandler::bookDecodeTurn(const TargetStates& decodeEngines)
{
    const bool needsNoTurn = std::any_of(
        decodeEngines.begin(), decodeEngines.end(), [this](const dispatch::TargetState* state) {
            return !m_context.takesTurns(state->record);
        });
    if (m_decodeTurn || needsNoTurn)
        return true;
    const std::optional<Turn> turn = earliestTurn(decodeEngines, steadyNow());
    if (!turn || !isInTime(*turn)) {
        refuseWithoutTurn(decodeEngines, turn);
        return false;
    }
    m_context.pacer.book(turn->target, turn->at);
    m_decodeTurn = turn;
    return true;
}

bool RequestHandler::mayRunWhole() const
{
    const Milliseconds prefillTime
        = m_context.prefillSpeeds[m_pool->id].estimate(m_callerInfo.prompt->tokens);
    return prefillTime * WholeRunSlowdown <= (m_route->latencyObjective - age()) / TurnWaitDivisor;
}

Milliseconds RequestHandler::timeToNextDecodeEngine() const
{
    if (!m_pool->engine)
        return Milliseconds(0);
    const SteadyTime now = steadyNow();
    std::optional<SteadyTime> earliest;
    TargetStates states = m_context.directory.usable(m_pool->id, now);
    keepStreamVersion(states);
    for (const dispatch::TargetState* state : states) {
        const std::optional<SteadyTime> since
            = m_context.reportedRoles.changingSince(state->record, now);
        if (!since
            || m_context.reportedRoles.withReportedRole(state->record, now).role
                != EngineRole::Decode)
            continue;
        const SteadyTime ready = *since + m_pool->engine->roleChangeTime;
        earliest = earliest ? std::min(*earliest, ready) : ready;
    }
    return earliest ? std::chrono::duration_cast<Milliseconds>(*earliest - now) : Milliseconds(0);
}

void RequestHandler::refuseWithoutTurn(const TargetStates& states, const std::optional<Turn>& turn)
{
    bool isNew = false;
    bool hasLimit = false;
    for (const dispatch::TargetState* state : states) {
        hasLimit = hasLimit || m_context.statedLimits.limit(state->record);
        isNew = m_context.statedLimits.noteShortage(state->record) || isNew;
    }
    if (isNew)
        m_context.peers->noteStatedLimits();
    const std::string_view cause = hasLimit
        ? "the targets that could serve it are at their request limits"
        : "the targets that could serve it have requested a pause";
    telemetry::count(hasLimit ? "refused_for_limits" : "refused_for_pauses");
    if (!m_ranOn.empty()) {
        fail(cause);
        return;
    }
    const Milliseconds longest
        = std::clamp(timeLeft() / RetryAfterDivisor, Milliseconds(0), ReturnPeriod);
    Milliseconds earliest = timeToNextDecodeEngine();
    if (turn)
        earliest
            = std::max(earliest, std::chrono::duration_cast<Milliseconds>(turn->at - steadyNow()));
    earliest = std::clamp(earliest, Milliseconds(0), longest);
    const Milliseconds spread(static_cast<int64_t>(
        m_context.randomFraction() * static_cast<double>((longest - earliest).count())));
    refuse(Unavailable, cause, earliest + spread);
}

void RequestHandler::cancelTurn(std::optional<Turn>& turn)
{
    if (turn)
        m_context.pacer.cancel(turn->target, turn->at);
    turn.reset();
}

} // namespace citronspoke::gateway

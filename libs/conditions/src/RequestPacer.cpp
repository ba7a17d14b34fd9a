#include "conditions/Conditions.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::conditions {

namespace {

    /** A limit is split into shares of this rate or more, and some more shares. Each gateway may
     * send one request at any moment, so that many small shares would add up to a burst. */
    constexpr RequestsPerSecond SmallestShare = 0.5;
    constexpr double ExtraShares = 2;
    /** A lower limit, or 0, still gets a request now and then, which shows when the limit ends. */
    constexpr RequestsPerSecond LowestRate = 0.25;
    /** Requests of one window beyond an even pace, as a factor; what was sent before the limit was
     * known counts in the first windows. */
    constexpr double WindowSlack = 1.25;

    /** Between the probes of a target after a pause. */
    constexpr Milliseconds ProbeInterval { 100 };

    /** Gateways that are running announce themselves again sooner. */
    constexpr Milliseconds GatewayRetention { 15000 };

    using Seconds = std::chrono::duration<double>;

} // namespace

RequestPacer::RequestPacer(EntryId self, Milliseconds noticeTime)
    : m_self(std::move(self))
    , m_noticeTime(noticeTime)
{
}

void RequestPacer::updateGateways(std::span<const EntryId> gateways, SteadyTime now)
{
    for (auto& [gateway, goneSince] : m_otherGateways) {
        if (std::find(gateways.begin(), gateways.end(), gateway) != gateways.end())
            goneSince.reset();
        else if (!goneSince)
            goneSince = now;
    }
    for (const EntryId& gateway : gateways) {
        if (gateway != m_self)
            m_otherGateways.try_emplace(gateway);
    }
    for (auto& [target, state] : m_targets)
        state.position.reset();
}

size_t RequestPacer::positionOf(const TargetId& target) const
{
    const uint64_t own = rendezvousRank(m_self.text(), target.text());
    const auto isBefore = [own, &target](const auto& gateway) {
        return rendezvousRank(gateway.first.text(), target.text()) < own;
    };
    return static_cast<size_t>(
        std::count_if(m_otherGateways.begin(), m_otherGateways.end(), isBefore));
}

std::optional<SteadyTime> RequestPacer::nextTurn(
    const TargetId& target, const std::optional<StatedLimits::Limit>& limit, SteadyTime now)
{
    if (!limit)
        return now;
    Target& state = m_targets[target];
    if (!state.position)
        state.position = positionOf(target);
    const double rate = std::max(limit->requestsPerSecond, LowestRate);
    const double gateways = static_cast<double>(m_otherGateways.size() + 1);
    const double shares = std::min(std::floor(rate / SmallestShare) + ExtraShares, gateways);
    if (static_cast<double>(*state.position) >= shares)
        return std::nullopt;
    if (state.turns.empty())
        return now;
    const Seconds interval(shares / rate);
    const SteadyTime paced
        = *state.turns.rbegin() + std::chrono::duration_cast<SteadyTime::duration>(interval);
    // Requests that leave every window before the limit has to be kept do not count.
    const SteadyTime countedAfter
        = std::max(now - Window, limit->firstStatedAt + m_noticeTime - Window);
    const auto counted = state.turns.upper_bound(countedAfter);
    const size_t inWindow = static_cast<size_t>(std::distance(counted, state.turns.end()));
    const double most = std::ceil(WindowSlack * (Seconds(Window) / interval));
    SteadyTime free = now;
    if (static_cast<double>(inWindow) >= most)
        free = *std::prev(state.turns.end(), static_cast<ptrdiff_t>(most)) + Window;
    return std::max({ now, paced, free });
}

SteadyTime RequestPacer::nextTurnAfterPause(
    const TargetId& target, SteadyTime pausedUntil, SteadyTime now) const
{
    const SteadyTime earliest = std::max(now, pausedUntil);
    const auto known = m_targets.find(target);
    if (known == m_targets.end() || known->second.turns.empty())
        return earliest;
    const SteadyTime last = *known->second.turns.rbegin();
    return last < pausedUntil ? earliest : std::max(earliest, last + ProbeInterval);
}

void RequestPacer::book(const TargetId& target, SteadyTime turn)
{
    std::multiset<SteadyTime>& turns = m_targets[target].turns;
    turns.insert(turn);
    // A turn may be booked some time ahead.
    turns.erase(turns.begin(), turns.lower_bound(turn - 2 * Window));
}

void RequestPacer::expire(SteadyTime now)
{
    // Two shares of the lowest rate are the longest pause between two turns.
    static_assert(Seconds(2 * Window).count() >= ExtraShares / LowestRate);
    std::erase_if(m_targets, [now](const auto& item) {
        const std::multiset<SteadyTime>& turns = item.second.turns;
        return turns.empty() || now - *turns.rbegin() > 2 * Window;
    });
    const size_t removed = std::erase_if(m_otherGateways, [now](const auto& gateway) {
        return gateway.second && now - *gateway.second > GatewayRetention;
    });
    if (removed == 0)
        return;
    for (auto& [target, state] : m_targets)
        state.position.reset();
}

void RequestPacer::cancel(const TargetId& target, SteadyTime turn)
{
    std::multiset<SteadyTime>& turns = m_targets[target].turns;
    const auto booked = turns.find(turn);
    if (booked != turns.end())
        turns.erase(booked);
}

} // namespace citronspoke::conditions

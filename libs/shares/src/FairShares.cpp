#include "shares/Shares.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::shares {

namespace {

    /** A backlog of this length is more than the usual variation of arrivals. */
    constexpr Milliseconds ShortageBacklog { 100 };
    /** Part of the capacity that is divided in advance. Were it all of it, the requests within the
     * shares would wait as long as the others; what is left goes to those that are over. */
    constexpr double GuaranteedPart = 0.96;
    /** Credit for this many requests at most, so that an idle organisation saves up no burst. */
    constexpr double MaxCreditRequests = 2;

} // namespace

std::optional<EngineMilliseconds> maxMinLevel(
    std::vector<EngineMilliseconds> wanted, EngineMilliseconds capacity)
{
    std::sort(wanted.begin(), wanted.end());
    EngineMilliseconds left = capacity;
    size_t remaining = wanted.size();
    for (const EngineMilliseconds amount : wanted) {
        if (amount * static_cast<double>(remaining) > left)
            return std::max(left, EngineMilliseconds { 0 }) / static_cast<double>(remaining);
        left -= amount;
        remaining -= 1;
    }
    return std::nullopt;
}

void FairShares::noteState(const PoolState& state, SteadyTime now)
{
    const bool isFull = state.slots > 0 && state.usedSlots >= state.slots;
    if (isFull || state.backlog >= ShortageBacklog)
        m_shortUntil = now + ShortageHold;
}

void FairShares::update(const UseSummary& use, uint32_t engines, SteadyTime now)
{
    const double passed = std::chrono::duration<double>(now - m_updatedAt) / UseWindow;
    m_updatedAt = now;
    // What was used outside the window no longer counts.
    for (auto& [organisation, credit] : m_credits)
        credit *= std::exp(-passed);
    m_use = use.heaviest;
    EngineMilliseconds capacity = 0;
    std::vector<EngineMilliseconds> wanted;
    wanted.reserve(m_use.size());
    for (const auto& [organisation, time] : m_use) {
        capacity += time.used;
        wanted.push_back(std::max(time.wanted, time.used));
    }
    // The organisations that are only known as a sum are the lightest; they get what they want
    // before the others, as far as the capacity allows.
    capacity += use.others.used;
    capacity = GuaranteedPart
        * std::min(capacity, engines * static_cast<EngineMilliseconds>(UseWindow.count()));
    capacity -= std::max(use.others.wanted, use.others.used);
    m_level = maxMinLevel(std::move(wanted), capacity);
    std::erase_if(m_credits, [this](const auto& item) { return !m_use.contains(item.first); });
}

std::optional<EngineMilliseconds> FairShares::share(
    const OrganisationId& /*organisation*/, SteadyTime now) const
{
    return isShort(now) ? m_level : std::nullopt;
}

EngineTime FairShares::use(const OrganisationId& organisation) const
{
    const auto found = m_use.find(organisation);
    return found == m_use.end() ? EngineTime {} : found->second;
}

bool FairShares::isOverShare(const OrganisationId& organisation, SteadyTime now) const
{
    const std::optional<EngineMilliseconds> limit = share(organisation, now);
    return limit && use(organisation).wanted > *limit;
}

size_t FairShares::organisationsOverShare(SteadyTime now) const
{
    return static_cast<size_t>(std::count_if(m_use.begin(), m_use.end(),
        [this, now](const auto& item) { return isOverShare(item.first, now); }));
}

double FairShares::fractionWithinShare(const OrganisationId& organisation) const
{
    const EngineTime time = use(organisation);
    if (*m_level <= 0 || time.wanted <= 0)
        return 0;
    return std::min(1.0, *m_level / time.wanted);
}

bool FairShares::classifyOver(
    const OrganisationId& organisation, EngineMilliseconds engineTime, SteadyTime now)
{
    if (!isOverShare(organisation, now))
        return false;
    EngineMilliseconds& credit = m_credits[organisation];
    credit = std::min(
        credit + engineTime * fractionWithinShare(organisation), engineTime * MaxCreditRequests);
    return credit < engineTime;
}

void FairShares::noteUsed(const OrganisationId& organisation, EngineMilliseconds engineTime)
{
    const auto found = m_credits.find(organisation);
    if (found != m_credits.end())
        found->second -= engineTime;
}

} // namespace citronspoke::shares

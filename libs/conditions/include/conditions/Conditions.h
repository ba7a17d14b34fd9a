#pragma once

#include "fleet/Fleet.h"

#include <map>

/**
 * Conditions under which targets take requests, as they state them in their responses. Pure code:
 * the caller passes state and time; no input or output, threads, locks or clock.
 */
namespace citronspoke::conditions {

/** A number of requests a second. */
using RequestsPerSecond = double;

/** The request limits that targets state: each takes so many from all gateways together. */
class StatedLimits {
public:
    /**
     * A response of a target was received.
     * @param target its record when the request was sent; another incarnation has no limit yet.
     * @param limit as the response states it; none when it states no limit.
     * @param sentAt when the request was sent. A response without a limit ends a limit only when
     *        its request was sent after the limit was last stated: responses may overtake others.
     * @return whether the limit of the target has begun, changed or ended.
     */
    bool noteResponse(const fleet::TargetRecord& target, std::optional<RequestsPerSecond> limit,
        SteadyTime sentAt, SteadyTime now);
    /** @return the limit that this incarnation of the target states; none without a limit. */
    std::optional<RequestsPerSecond> limit(const fleet::TargetRecord& target) const;
    /** The target is gone, or another incarnation of it has started. */
    void remove(const TargetId& target) { m_limits.erase(target); }

private:
    struct Limit {
        UnixMillis targetStartedAt;
        RequestsPerSecond requestsPerSecond = 0;
        /** When the target last stated it. */
        SteadyTime statedAt;
    };
    std::map<TargetId, Limit> m_limits;
};

} // namespace citronspoke::conditions

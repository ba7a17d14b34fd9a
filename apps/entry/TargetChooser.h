#pragma once

#include "InFlightCopies.h"
#include "PrefixCacheIndex.h"
#include "Request.h"
#include "TargetTable.h"

namespace citronspoke::entry {

/** Send the next attempt to this target. */
struct SendTo {
    TargetId target;
};
/** No target is eligible now; choose again after this delay. */
struct ChooseLater {
    Milliseconds delay { 0 };
};
using Choice = std::variant<SendTo, ChooseLater, decisions::Refuse>;

/**
 * Chooses the target for a request's next attempt from the state of the targets, the crash history
 * and the requests in flight. Used by the router's thread only.
 */
class TargetChooser {
public:
    TargetChooser(TargetTable& targets, const decisions::CrashHistory& crashHistory);

    void configure(const settings::RoutingSettings& routing);
    /** @return Refuse when the request is quarantined or cannot be served in time. */
    Choice choose(const Request& request);
    /** Records that an attempt was sent to request.target. */
    void noteSent(const Request& request);
    /** Records that the request has ended. */
    void noteEnded(const Request& request);

private:
    using Rank = std::function<uint64_t(const TargetId&)>;

    Choice chooseForNonIdempotentCall(const Request& request) const;
    Choice chooseByPolicy(const Request& request);
    std::optional<TargetId> highestRanked(const Request& request, const Rank& rank) const;
    std::optional<TargetId> targetOfInFlightCopy(const Request& request) const;

    TargetTable& m_targets;
    const decisions::CrashHistory& m_crashHistory;
    decisions::RoutingPolicy m_policy;
    PrefixCacheIndex m_prefixCacheIndex;
    InFlightCopies m_inFlightCopies;
};

} // namespace citronspoke::entry

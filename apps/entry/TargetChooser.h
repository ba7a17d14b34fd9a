#pragma once

#include "InFlightCopies.h"
#include "PrefixCacheIndex.h"
#include "Request.h"
#include "TargetTable.h"

namespace citronspoke::entry {

/** The next attempt goes to this target. */
struct SendTo {
    TargetId target;
};
/** No target is there now; choose again after this time. */
struct ChooseLater {
    Milliseconds delay { 0 };
};
using Choice = std::variant<SendTo, ChooseLater, decisions::Refuse>;

/** Chooses the target of a request's next attempt, from what this entry knows of the fleet. */
class TargetChooser {
public:
    TargetChooser(TargetTable& targets, const decisions::CrashLedger& crashHistory);

    void configure(const settings::RoutingSettings& routing);
    Choice choose(const Request& request);
    void noteSent(const Request& request);
    void noteEnded(const Request& request);

private:
    using Rank = std::function<uint64_t(const TargetId&)>;

    Choice chooseForNonIdempotentCall(const Request& request) const;
    Choice chooseByPolicy(const Request& request);
    std::optional<TargetId> highestRanked(const Request& request, const Rank& rank) const;
    std::optional<TargetId> targetOfInFlightCopy(const Request& request) const;

    TargetTable& m_targets;
    const decisions::CrashLedger& m_crashHistory;
    decisions::RoutingPolicy m_policy;
    PrefixCacheIndex m_prefixCacheIndex;
    InFlightCopies m_inFlightCopies;
};

} // namespace citronspoke::entry

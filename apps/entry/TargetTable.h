#pragma once

#include "decisions/Decisions.h"
#include "platform/Platform.h"
#include "protocol/Protocol.h"
#include "settings/Settings.h"

#include <array>
#include <set>

namespace citronspoke::entry {

/** What an entry knows of one target. */
struct TargetView {
    settings::Target settings;
    std::optional<protocol::Heartbeat> heartbeat;
    SteadyTime lastHeartbeatAt;
    bool isSuspected = false;
    bool isVmLeaving = false;
    /** Sent since the last heartbeat. */
    uint32_t sentPaying = 0;
    uint32_t sentTrial = 0;
    uint64_t sentPrefillTokens = 0;
    uint64_t sentDecodeTokens = 0;
    uint32_t outstanding = 0;

    bool isEligible() const noexcept
    {
        return heartbeat && heartbeat->state == ServingState::Serving && !isSuspected
            && !isVmLeaving && !settings.isDrained;
    }
};

/** The targets that an entry keeps an eye on, their loads and whether they are alive. */
class TargetTable {
public:
    TargetTable(EntryId self, ZoneId zone);

    /** Takes over targets of a configuration; keeps what is known of those that stay. */
    void configure(const settings::Deployment& deployment);
    /** Notes a heartbeat. @return true when the agent is another life than before. */
    bool noteHeartbeat(protocol::Heartbeat heartbeat, SteadyTime now);
    void noteVmStates(const std::map<TargetId, platform::VmState>& states);
    /** Marks targets that have been silent. @return those that became suspected. */
    std::vector<TargetId> suspectUnresponsiveTargets(SteadyTime now);
    /** This process stood still for so long; nobody was silent in that time. */
    void compensateForPause(std::chrono::nanoseconds pause);

    void noteSent(const TargetId& target, const protocol::Submit& submit);
    void noteEnded(const TargetId& target);
    /** Notes that a target refuses work, ahead of its next heartbeat. */
    void noteState(const TargetId& target, ServingState state);

    /**
     * Collects the targets of a pool that may be chosen.
     * @param avoided targets that already failed this request; used only when no other is left.
     * @param warm which target read the longest known prefix last, and how much of it.
     */
    std::span<const decisions::Candidate> candidates(const PoolId& pool,
        const std::set<TargetId>& excludedTargets, const TargetId& prefixTarget,
        uint32_t warmTokens);
    const TargetView* find(const TargetId& target) const;
    const std::map<TargetId, TargetView>& targets() const noexcept { return m_targets; }
    /** Entries that the targets hear, for sharing limits. */
    uint32_t entryCount() const;

private:
    /** The speeds of one role's engines, as their mean. */
    struct RoleSpeed {
        double prefillTokensPerSecond = 0;
        double decodeStepMs = 0;
        double engines = 0;
    };
    using RoleSpeeds = std::array<RoleSpeed, 3>;

    RoleSpeeds speedsOf(const PoolId& pool) const;
    decisions::Candidate candidateOf(const TargetView& view, const RoleSpeeds& speeds) const;

    EntryId m_self;
    ZoneId m_zone;
    std::map<TargetId, TargetView> m_targets;
    std::vector<decisions::Candidate> m_candidates;
};

} // namespace citronspoke::entry

#pragma once

#include "decisions/Decisions.h"
#include "platform/Platform.h"
#include "protocol/Protocol.h"
#include "settings/Settings.h"

#include <array>
#include <set>

namespace citronspoke::entry {

/** What an entry knows about one target, from the configuration, heartbeats and its own sends. */
struct TargetView {
    settings::Target settings;
    std::optional<protocol::Heartbeat> heartbeat;
    /** Moved forward by pauses of this process. */
    SteadyTime lastHeartbeatAt;
    /** No heartbeat arrived in time; cleared by the next one. */
    bool isSuspected = false;
    bool isVmLeaving = false;
    /** Sent by this entry since the last heartbeat, and so not included in its load. */
    uint32_t sentPaying = 0;
    uint32_t sentTrial = 0;
    uint64_t sentPrefillTokens = 0;
    uint64_t sentDecodeTokens = 0;
    /** Requests of this entry that have not ended at the target. */
    uint32_t outstanding = 0;

    /** @return whether new attempts may be sent to the target. */
    bool isEligible() const noexcept
    {
        return heartbeat && heartbeat->state == ServingState::Serving && !isSuspected
            && !isVmLeaving && !settings.isDrained;
    }
};

/**
 * The targets that an entry monitors, with their load and whether they are reachable. Used by the
 * router's thread only.
 */
class TargetTable {
public:
    TargetTable(EntryId self, ZoneId zone);

    /** Applies the targets of a configuration, keeping the state of targets that remain. */
    void configure(const settings::Deployment& deployment);
    /**
     * Updates a target from a heartbeat. A heartbeat of a target that is not monitored is ignored.
     * @return true when the agent's incarnation has changed since the last heartbeat.
     */
    bool noteHeartbeat(protocol::Heartbeat heartbeat, SteadyTime now);
    /** Targets whose VM is not listed count as staying. */
    void noteVmStates(const std::map<TargetId, platform::VmState>& states);
    /** Suspects targets whose heartbeats stopped. @return those that are newly suspected. */
    std::vector<TargetId> suspectUnresponsiveTargets(SteadyTime now);
    /** Leaves a pause of this process out of the time without heartbeats of every target. */
    void compensateForPause(std::chrono::nanoseconds pause);

    void noteSent(const TargetId& target, const protocol::Submit& submit);
    void noteEnded(const TargetId& target);
    /** Sets a target's state ahead of its next heartbeat. */
    void noteState(const TargetId& target, ServingState state);

    /**
     * Collects the eligible targets of a pool.
     * @param excludedTargets left out, unless no other target is eligible.
     * @param prefixTarget the target that has probably cached the longest prefix of the prompt.
     * @param cachedPromptTokens the length of that prefix in tokens.
     * @return the candidates, valid until the next call.
     */
    std::span<const decisions::Candidate> candidates(const PoolId& pool,
        const std::set<TargetId>& excludedTargets, const TargetId& prefixTarget,
        uint32_t cachedPromptTokens);
    /** @return null when the target is not monitored. */
    const TargetView* find(const TargetId& target) const;
    const std::map<TargetId, TargetView>& targets() const noexcept { return m_targets; }
    /**
     * @return how many entries share the limits: the highest number of entries that a target
     *         reports, at least 1.
     */
    uint32_t entryCount() const;

private:
    /** The mean speed of a pool's engines that have one role. */
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

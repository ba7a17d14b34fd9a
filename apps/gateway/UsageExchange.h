#pragma once

#include "GatewayContext.h"

namespace citronspoke::gateway {

/**
 * Counts the requests that begin to run here, by usage window and organisation, and sends the
 * counts to the collectors, which add up those of all gateways. The collectors respond with their
 * estimate of true time. Used by the event loop's thread only.
 */
class UsageExchange {
public:
    UsageExchange(GatewayContext& context, PeerGroup& peers);

    void start();
    /** A target has begun to run a request of an organisation. */
    void noteRunBegun(const OrganisationId& organisation);
    void onCounts(const duties::CountsMessage& message);
    void onStatus(const duties::DutyStatus& status);
    /** Sends what has changed. */
    void sendCounts();
    /** Sends all gateways what this one knows of the duties. */
    void sendStatus();
    /** The holder gets the counts too, when it is not a collector. */
    void updateHolder(const std::optional<EntryId>& holder);
    /** Forgets the counts of windows that are recorded or given up. */
    void dropThrough(duties::WindowNumber window) { m_counts.dropThrough(window); }

    /** Completes the status with what the duties' state adds. */
    std::function<void(duties::DutyStatus&)> fillStatus;
    /** Receives the status of other gateways. */
    std::function<void(const duties::DutyStatus&)> onOtherStatus;

    const duties::UsageCounts& counts() const noexcept { return m_counts; }
    /** @return the best estimate; this machine's clock while there is no other. */
    UnixMillis trueTime() const;
    /** @return when this gateway became a collector; none while it is not. */
    std::optional<UnixMillis> collectorSince() const;
    /** @return this gateway's place in the order in which gateways acquire the duties. */
    size_t place() const noexcept { return m_place; }

private:
    void tick();
    void updateCollectors();
    void assignEarlyRuns();
    void forgetOldWindows();
    void sendWindow(duties::WindowNumber window, const duties::Counts& counts);
    duties::DutyStatus status() const;

    GatewayContext& m_context;
    PeerGroup& m_peers;
    duties::CountSource m_self;
    duties::BootTime m_startedAt;
    duties::UsageCounts m_counts;
    /** How often the counts of a window are still to be sent; a repetition covers a lost one. */
    std::map<duties::WindowNumber, uint32_t> m_sendsLeft;
    duties::BootTime m_sentAt {};
    /** Requests that began to run before there was an estimate of true time. */
    std::vector<std::pair<duties::BootTime, OrganisationId>> m_earlyRuns;
    /** The clocks of all gateways; for a collector. */
    duties::TrueTime m_clocks;
    /** The estimates of the collectors. */
    duties::TrueTime m_estimates;
    std::vector<EntryId> m_collectors;
    std::optional<EntryId> m_holder;
    /** Incarnations that have responded, to notice a collector that was started anew. */
    std::map<EntryId, UnixMillis> m_incarnations;
    std::map<EntryId, duties::BootTime> m_repliedAt;
    std::optional<duties::BootTime> m_collectorSince;
    size_t m_place = 0;
    bool m_isUncertaintyLogged = false;
    channels::Timer m_timer;
};

} // namespace citronspoke::gateway

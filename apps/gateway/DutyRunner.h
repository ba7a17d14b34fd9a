#pragma once

#include "UsageExchange.h"

namespace citronspoke::gateway {

/**
 * Fulfils the duties of the platform while this gateway holds them: acquires and renews the lease
 * in the store, records the usage of each window there and posts the records to the platform's API.
 * Used by the event loop's thread only.
 */
class DutyRunner {
public:
    DutyRunner(GatewayContext& context, PeerGroup& peers, storefeed::StoreClient& store);

    void start();
    /** The store's keys of duties were read as a whole. */
    void onRecords(std::span<const adapter::StoreItem> items);
    void onRecordChange(const adapter::KeyChange& change);
    /** Ends the duties after the call that is under way, and lets another gateway acquire them. */
    void beginStop();
    /** Sends the last counts. */
    void endStop() { m_usage.sendCounts(); }

private:
    using Handler = void (DutyRunner::*)(const storefeed::StoreResponse&);

    duties::BootTime now() const { return m_context.clocks.boot(); }
    void tick();
    void noteItem(const adapter::StoreItem& item);
    void noteHolder(const std::optional<adapter::StoreItem>& item);
    void onRestored();
    void onOtherStatus(const duties::DutyStatus& status);

    void acquireWhenVacant();
    /** @return whether the store certainly names no holder, as far as its feed has shown. */
    bool isVacant() const;
    void onGranted(const storefeed::StoreResponse& response);
    void onAcquired(const storefeed::StoreResponse& response);
    void renew();
    void release();
    void lose(std::string_view cause);
    /** @return whether the lease and the store's records allow to act now. */
    bool mayAct() const;

    void work();
    void giveUp(duties::WindowNumber through);
    void record(duties::WindowNumber window);
    void grantRecordLease();
    void writeRecord(duties::WindowNumber window);
    void onRecorded(duties::WindowNumber window, const std::string& body,
        const storefeed::StoreResponse& response);
    void post(duties::WindowNumber window);
    void onPosted(
        duties::WindowNumber window, const std::optional<channels::CallResponse>& response);
    /** Sends a call to the store; the failure handler runs when it fails or is refused. */
    void callStore(std::shared_ptr<void>& owner, const adapter::Call& call, Milliseconds timeout,
        std::function<void(const storefeed::StoreResponse&)> handler,
        std::function<void()> onFailure);

    GatewayContext& m_context;
    PeerGroup& m_peers;
    storefeed::StoreClient& m_store;
    channels::ConnectionPool m_apiConnections;
    fleet::Address m_api;
    UsageExchange m_usage;
    duties::DutyLease m_lease;
    duties::UsageSchedule m_schedule;
    duties::BootTime m_startedAt;
    duties::BootTime m_tickedAt;

    /** Whether the store's keys were read in its newest era. */
    bool m_hasRead = false;
    /** The key of the holder; none while it is missing. */
    std::optional<adapter::StoreItem> m_holder;
    adapter::StoreRevision m_generationRevision;
    /** Since when this gateway may acquire the duties. */
    duties::BootTime m_eligibleSince {};
    duties::BootTime m_acquireAt {};
    duties::BootTime m_grantSentAt {};
    FencingNumber m_requestedNumber;
    adapter::StoreLease m_storeLease;
    /** Of this gateway's last acquisition. */
    adapter::StoreRevision m_holderRevision;
    duties::BootTime m_heldSince {};
    duties::BootTime m_renewAt {};
    /** Records expire with it; none until it is granted. */
    std::optional<adapter::StoreLease> m_recordLease;
    duties::BootTime m_recordLeaseAt {};
    duties::BootTime m_recordAt {};
    std::optional<duties::WindowNumber> m_storedDoneThrough;
    /** Windows that this gateway has recorded; other records may have been posted before. */
    std::set<duties::WindowNumber> m_ownRecords;
    bool m_isStopping = false;
    std::shared_ptr<void> m_leaseCall;
    std::shared_ptr<void> m_recordCall;
    std::shared_ptr<void> m_post;
    channels::Timer m_timer;
};

} // namespace citronspoke::gateway

#pragma once

#include "GatewayContext.h"
#include "streams/Streams.h"

namespace citronspoke::gateway {

/**
 * Follows which software versions the targets of each pool have, and keeps in the store which of
 * them callers may still come back to, so that a gateway that starts anew knows versions that have
 * left. One gateway writes the record of a pool; the next ones do so later if it does not. Used by
 * the event loop's thread only.
 */
class VersionRecords {
public:
    VersionRecords(GatewayContext& context, PeerGroup& peers, storefeed::StoreClient& store);

    void start();
    /** The store's records were read as a whole; pools without an item have no record. */
    void onRecords(std::span<const adapter::StoreItem> items);
    void onRecordChange(const adapter::KeyChange& change);

    /** The store has this record of a target; it may be replaced or removed at once. */
    void noteTarget(const fleet::TargetRecord& record);

    /** @return the versions of these pools to whose streams callers may come back. */
    streams::VersionView viewOf(std::span<const PoolId> pools);
    /** @return how long callers may come back to a stream. */
    Milliseconds window() const;

private:
    /** The record of a pool in the store. */
    struct Record {
        std::set<SoftwareVersion> versions;
        adapter::StoreRevision revision;
    };

    void onRestored();
    streams::TargetContact contact() const;
    void followTargets();
    void updateRecords();
    std::set<PoolId> poolsOfResumableStreams() const;
    /** @return what the record of a pool should name. */
    std::set<SoftwareVersion> versionsToRecord(const PoolId& pool);
    void write(const PoolId& pool, const std::set<SoftwareVersion>& versions);

    GatewayContext& m_context;
    PeerGroup& m_peers;
    storefeed::StoreClient& m_store;
    std::map<PoolId, streams::VersionHistory> m_histories;
    /** Those of the store's newest era. */
    std::map<PoolId, Record> m_records;
    /** Versions that were recorded before the store was restored and have not been since. */
    std::map<PoolId, std::set<SoftwareVersion>> m_lostVersions;
    /** Since when records differ from what they should be. */
    std::map<PoolId, SteadyTime> m_staleSince;
    /** When the store's keys were last read as a whole; changes before may have been missed. */
    std::optional<SteadyTime> m_readAt;
    /** Whether m_records were read in the store's newest era. */
    bool m_areRecordsCurrent = false;
    SteadyTime m_nextWriteAt {};
    std::shared_ptr<void> m_call;
    channels::Timer m_timer;
};

} // namespace citronspoke::gateway

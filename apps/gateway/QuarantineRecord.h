#pragma once

#include "GatewayContext.h"

namespace citronspoke::gateway {

/**
 * Keeps the quarantined prompt parts in the store, so that a gateway that starts anew knows them,
 * also when all were killed. One gateway writes the record; the next ones do so later if it does
 * not. An operator ends a quarantine by removing its line from the record, or the record. Used by
 * the event loop's thread only.
 */
class QuarantineRecord {
public:
    QuarantineRecord(GatewayContext& context, PeerGroup& peers, storefeed::StoreClient& store);

    void start();
    /** The store's keys were read as a whole. @param item none when there is no record. */
    void onRead(const std::optional<adapter::StoreItem>& item);
    void onChange(const adapter::KeyChange& change);

private:
    /** The crashes that each part is quarantined for. */
    using Parts = std::map<quarantine::PromptPartId, std::set<quarantine::CrashKey>>;

    void onRestored();
    /** Follows a new state of the record. */
    void adopt(Parts parts, adapter::StoreRevision revision);
    void update();
    /** @return what the record should state. */
    Parts partsToRecord() const;
    void write(const Parts& parts);
    static std::string encode(const Parts& parts);
    static Parts decode(std::string_view text);

    GatewayContext& m_context;
    PeerGroup& m_peers;
    storefeed::StoreClient& m_store;
    /** The record of the store's newest era. */
    Parts m_recorded;
    adapter::StoreRevision m_revision;
    /** Whether m_recorded was read in the store's newest era. */
    bool m_isCurrent = false;
    /** Since when the record differs from what it should be. */
    std::optional<SteadyTime> m_staleSince;
    SteadyTime m_nextWriteAt {};
    std::shared_ptr<void> m_call;
    channels::Timer m_timer;
};

} // namespace citronspoke::gateway

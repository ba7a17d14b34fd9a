// The records of a store that was away or was restored from an older copy.
#include "dispatch/Dispatch.h"

namespace citronspoke::dispatch {

namespace {

    /** The store is restored from copies that are some seconds old. */
    constexpr std::chrono::minutes RemovalLifetime { 1 };

    /** Orders the records that a target writes. */
    std::pair<UnixMillis, int64_t> recordOrder(const fleet::TargetRecord& record)
    {
        return { record.startedAt, record.sequence };
    }

} // namespace

std::vector<TargetId> TargetDirectory::replaceAll(std::span<const fleet::TargetRecord> records,
    const fleet::StoreRecovery& recovery, SteadyTime now)
{
    std::set<TargetId> present;
    std::vector<TargetId> heldBack;
    for (const fleet::TargetRecord& record : records) {
        present.insert(record.id);
        if (recovery.mayBeOutdatedUntil <= now)
            put(record);
        else if (!putUnconfirmed(record, recovery.mayBeOutdatedUntil))
            heldBack.push_back(record.id);
    }
    std::vector<TargetId> missing;
    for (const auto& [id, state] : m_targets) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const TargetId& id : missing)
        remove(id, recovery.mayReturnUntil, now);
    return heldBack;
}

bool TargetDirectory::putUnconfirmed(fleet::TargetRecord record, SteadyTime unconfirmedUntil)
{
    const TargetState* known = find(record.id);
    if (isOutdated(record)) {
        m_unconfirmed.insert_or_assign(record.id, UnconfirmedRecord { record, unconfirmedUntil });
        return false;
    }
    // The numbers of the copy do not order it among records that are known from before the restore.
    if (known && known->record.startedAt == record.startedAt)
        record.registration = known->record.registration;
    put(record);
    return true;
}

bool TargetDirectory::isOutdated(const fleet::TargetRecord& record) const
{
    const auto known = m_targets.find(record.id);
    if (known != m_targets.end()) {
        const fleet::TargetRecord& current = known->second.record;
        if (recordOrder(record) != recordOrder(current))
            return recordOrder(record) < recordOrder(current);
        return current.isLeaving && !record.isLeaving;
    }
    const auto removed = m_removed.find(record.id);
    return removed != m_removed.end() && recordOrder(record) <= recordOrder(removed->second.record);
}

void TargetDirectory::acceptUnconfirmed(SteadyTime now)
{
    std::vector<fleet::TargetRecord> due;
    for (const auto& [id, unconfirmed] : m_unconfirmed) {
        if (now >= unconfirmed.unconfirmedUntil)
            due.push_back(unconfirmed.record);
    }
    for (const fleet::TargetRecord& record : due)
        put(record);
}

void TargetDirectory::dropOldRemovals(SteadyTime now)
{
    std::erase_if(m_removed,
        [now](const auto& item) { return now - item.second.removedAt > RemovalLifetime; });
}

} // namespace citronspoke::dispatch

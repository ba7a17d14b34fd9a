#include "VersionRecords.h"

#include "PeerGroup.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** A caller's patience is not known; routes' timeouts are of a few seconds. */
    constexpr Milliseconds MinWindow { 15000 };
    constexpr int TimeoutsPerWindow = 2;
    constexpr Milliseconds UpdateInterval { 500 };
    constexpr Milliseconds CallTimeout { 1000 };
    /** Until the next call, also after one that failed. */
    constexpr Milliseconds WritePause { 2000 };
    constexpr char Separator = '\n';

    std::string encode(const std::set<SoftwareVersion>& versions)
    {
        std::string text;
        for (const SoftwareVersion& version : versions)
            text.append(version.text()).push_back(Separator);
        return text;
    }

    std::set<SoftwareVersion> decode(std::string_view text)
    {
        std::set<SoftwareVersion> versions;
        while (!text.empty()) {
            const size_t end = std::min(text.find(Separator), text.size());
            versions.insert(SoftwareVersion(std::string(text.substr(0, end))));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return versions;
    }

    PoolId poolOf(std::string_view key)
    {
        return PoolId(std::string(key.substr(storefeed::VersionPrefix.size())));
    }

} // namespace

VersionRecords::VersionRecords(
    GatewayContext& context, PeerGroup& peers, storefeed::StoreClient& store)
    : m_context(context)
    , m_peers(peers)
    , m_store(store)
    , m_timer(context.loop)
{
    m_store.onRestored([this] { onRestored(); });
}

void VersionRecords::start()
{
    m_timer.arm(jittered(UpdateInterval), [this] { start(); });
    followTargets();
    updateRecords();
}

void VersionRecords::onRecords(std::span<const adapter::StoreItem> items)
{
    m_readAt = steadyNow();
    m_areRecordsCurrent = true;
    m_records.clear();
    for (const adapter::StoreItem& item : items)
        onRecordChange(adapter::KeyWritten { item });
}

void VersionRecords::onRecordChange(const adapter::KeyChange& change)
{
    const adapter::KeyWritten* written = std::get_if<adapter::KeyWritten>(&change);
    if (!written) {
        m_records.erase(poolOf(std::get<adapter::KeyDeleted>(change).key));
        return;
    }
    const PoolId pool = poolOf(written->item.key);
    const Record record { decode(written->item.value), written->item.revision };
    m_records[pool] = record;
    m_histories[pool].noteRecorded(record.versions, steadyNow());
    std::erase_if(m_lostVersions[pool],
        [&record](const SoftwareVersion& version) { return record.versions.contains(version); });
}

void VersionRecords::noteTarget(const fleet::TargetRecord& record)
{
    m_histories[record.pool].noteSeen(record.version, steadyNow());
}

// A write with a revision of the earlier era could hit a revision that was given out again.
void VersionRecords::onRestored()
{
    m_call.reset();
    m_areRecordsCurrent = false;
    for (auto& [pool, record] : m_records)
        m_lostVersions[pool].merge(record.versions);
    m_records.clear();
}

void VersionRecords::followTargets()
{
    if (!m_readAt)
        return;
    const SteadyTime now = steadyNow();
    std::map<PoolId, std::set<SoftwareVersion>> present;
    for (const auto& [id, state] : m_context.directory.targets())
        present[state.record.pool].insert(state.record.version);
    for (const auto& [pool, versions] : present)
        m_histories[pool].note(versions, now);
    for (auto& [pool, history] : m_histories)
        history.expire(now, window());
}

void VersionRecords::updateRecords()
{
    if (!m_areRecordsCurrent)
        return;
    const SteadyTime now = steadyNow();
    for (const PoolId& pool : poolsOfResumableStreams()) {
        const std::set<SoftwareVersion> versions = versionsToRecord(pool);
        const auto record = m_records.find(pool);
        const bool isUpToDate = record != m_records.end() && record->second.versions == versions;
        if (versions.empty() || isUpToDate) {
            m_staleSince.erase(pool);
            continue;
        }
        const SteadyTime since = m_staleSince.try_emplace(pool, now).first->second;
        if (now >= m_nextWriteAt && m_peers.isOwnTurn(pool.text(), since)) {
            m_nextWriteAt = now + WritePause;
            write(pool, versions);
        }
    }
}

std::set<PoolId> VersionRecords::poolsOfResumableStreams() const
{
    std::set<PoolId> pools;
    if (!m_context.routes)
        return pools;
    for (const fleet::Route& route : m_context.routes->declaration().routes) {
        for (const fleet::PoolShare& share : route.pools) {
            if (route.isResumable)
                pools.insert(share.pool);
        }
    }
    return pools;
}

std::set<SoftwareVersion> VersionRecords::versionsToRecord(const PoolId& pool)
{
    const auto record = m_records.find(pool);
    const streams::VersionHistory& history = m_histories[pool];
    std::set<SoftwareVersion> versions;
    for (const SoftwareVersion& version : history.view(steadyNow(), window(), contact()).versions) {
        // A version that has left is not added again: the gateway that removed it has followed the
        // targets for longer.
        const bool isRecorded
            = (record != m_records.end() && record->second.versions.contains(version))
            || m_lostVersions[pool].contains(version);
        const bool isEncodable = version.text().find(Separator) == std::string::npos;
        if (isEncodable && (isRecorded || history.isPresent(version)))
            versions.insert(version);
    }
    return versions;
}

void VersionRecords::write(const PoolId& pool, const std::set<SoftwareVersion>& versions)
{
    const auto record = m_records.find(pool);
    const adapter::StoreWrite write { std::string(storefeed::VersionPrefix) + pool.text(),
        encode(versions), {},
        record == m_records.end() ? adapter::StoreRevision {} : record->second.revision };
    std::string text = encode(versions);
    std::replace(text.begin(), text.end(), Separator, ' ');
    telemetry::logInfo("versions", "Recording the versions of a pool.",
        { { "pool", pool.text() }, { "versions", text } });
    m_call = m_store.call(adapter::writeCall(std::span(&write, 1)), CallTimeout,
        [this, pool](const std::optional<storefeed::StoreResponse>& response) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            try {
                // The store's feed brings the new record, also after a conflict.
                if (response)
                    adapter::decodeWrite(response->status, response->body, response->era);
            } catch (const Error& error) {
                telemetry::logWarning("versions", "The store refused the record of a pool.",
                    { { "pool", pool.text() }, { "cause", error.describe() } });
            }
        });
}

Milliseconds VersionRecords::window() const
{
    Milliseconds longest = MinWindow;
    if (!m_context.routes)
        return longest;
    for (const fleet::Route& route : m_context.routes->declaration().routes) {
        if (route.isResumable)
            longest = std::max(longest, route.timeout * TimeoutsPerWindow);
    }
    return longest;
}

streams::TargetContact VersionRecords::contact() const
{
    // After a restore, changes are missed until all keys are read again.
    return { m_areRecordsCurrent ? m_readAt : std::nullopt,
        m_context.storeAge() <= m_context.settings.applyTime };
}

streams::VersionView VersionRecords::viewOf(std::span<const PoolId> pools)
{
    followTargets();
    std::vector<streams::VersionView> views;
    for (const PoolId& pool : pools)
        views.push_back(m_histories[pool].view(steadyNow(), window(), contact()));
    return streams::combine(views);
}

} // namespace citronspoke::gateway

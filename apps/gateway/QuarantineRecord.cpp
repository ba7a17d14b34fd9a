#include "QuarantineRecord.h"

#include "PeerGroup.h"
#include "telemetry/Telemetry.h"

#include <sstream>

namespace citronspoke::gateway {

namespace {

    using quarantine::CrashKey;
    using quarantine::PromptPartId;

    constexpr Milliseconds UpdateInterval { 500 };
    constexpr Milliseconds CallTimeout { 1000 };
    /** Until the next call, also after one that failed. */
    constexpr Milliseconds WritePause { 2000 };
    /** Time for other gateways to report that they have seen a part served. */
    constexpr Milliseconds ConfirmTime { 300 };

} // namespace

QuarantineRecord::QuarantineRecord(
    GatewayContext& context, PeerGroup& peers, storefeed::StoreClient& store)
    : m_context(context)
    , m_peers(peers)
    , m_store(store)
    , m_timer(context.loop)
{
    m_store.onRestored([this] { onRestored(); });
}

void QuarantineRecord::start()
{
    m_timer.arm(jittered(UpdateInterval), [this] { start(); });
    update();
}

void QuarantineRecord::onRead(const std::optional<adapter::StoreItem>& item)
{
    m_isCurrent = true;
    if (item)
        adopt(decode(item->value), item->revision);
    else
        adopt({}, {});
}

void QuarantineRecord::onChange(const adapter::KeyChange& change)
{
    if (const adapter::KeyWritten* written = std::get_if<adapter::KeyWritten>(&change))
        adopt(decode(written->item.value), written->item.revision);
    else
        adopt({}, {});
}

void QuarantineRecord::adopt(Parts parts, adapter::StoreRevision revision)
{
    m_revision = revision;
    const Parts before = std::exchange(m_recorded, std::move(parts));
    for (const auto& [part, crashes] : m_recorded)
        m_context.partQuarantine.merge(
            { part, { crashes.begin(), crashes.end() }, true, {} }, "store");
    for (const auto& [part, crashes] : before) {
        if (!m_recorded.contains(part))
            m_context.partQuarantine.release(part);
    }
}

// The older copy may lack parts that were recorded since, and these were not released.
void QuarantineRecord::onRestored()
{
    m_call.reset();
    m_isCurrent = false;
    m_recorded.clear();
}

QuarantineRecord::Parts QuarantineRecord::partsToRecord() const
{
    const SteadyTime now = steadyNow();
    Parts parts;
    for (const auto& [part, state] : m_context.partQuarantine.quarantined()) {
        if (m_recorded.contains(part) || now - state.since >= ConfirmTime)
            parts[part] = state.crashes;
    }
    return parts;
}

void QuarantineRecord::update()
{
    if (!m_isCurrent || m_call)
        return;
    const SteadyTime now = steadyNow();
    const Parts parts = partsToRecord();
    if (parts == m_recorded) {
        m_staleSince.reset();
        return;
    }
    if (!m_staleSince)
        m_staleSince = now;
    if (now < m_nextWriteAt || !m_peers.isOwnTurn(storefeed::QuarantineKey, *m_staleSince))
        return;
    m_nextWriteAt = now + WritePause;
    write(parts);
}

void QuarantineRecord::write(const Parts& parts)
{
    const adapter::StoreWrite write { std::string(storefeed::QuarantineKey), encode(parts), {},
        m_revision };
    telemetry::logInfo("crashes", "Recording the quarantined prompt parts.",
        { { "parts", std::to_string(parts.size()) },
            { "before", std::to_string(m_recorded.size()) } });
    m_call = m_store.call(adapter::writeCall(std::span(&write, 1)), CallTimeout,
        [this](const std::optional<storefeed::StoreResponse>& response) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            try {
                // The store's feed brings the new record, also after a conflict.
                if (response)
                    adapter::decodeWrite(response->status, response->body, response->era);
            } catch (const Error& error) {
                telemetry::logWarning("crashes", "The store refused the quarantined prompt parts.",
                    { { "cause", error.describe() } });
            }
        });
}

std::string QuarantineRecord::encode(const Parts& parts)
{
    std::string text;
    for (const auto& [part, crashes] : parts) {
        text.append(part.text());
        for (const CrashKey crash : crashes)
            text.append(" ").append(std::to_string(crash.value()));
        text.append("\n");
    }
    return text;
}

QuarantineRecord::Parts QuarantineRecord::decode(std::string_view text)
{
    Parts parts;
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string part;
        words >> part;
        std::set<CrashKey> crashes;
        for (int64_t crash = 0; words >> crash;)
            crashes.insert(CrashKey(crash));
        if (crashes.size() < quarantine::CrashingParts::CrashesToQuarantine)
            telemetry::logWarning("crashes", "Skipped an unreadable line of the quarantine record.",
                { { "line", line } });
        else
            parts[PromptPartId(part)] = std::move(crashes);
    }
    return parts;
}

} // namespace citronspoke::gateway

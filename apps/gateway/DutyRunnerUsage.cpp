// The duty of reporting usage: records in the store and posts to the platform's API.
#include "DutyRunner.h"

#include "Durations.h"
#include "PeerGroup.h"
#include "telemetry/Telemetry.h"

#include <charconv>

namespace citronspoke::gateway {

namespace {

    constexpr std::string_view HolderKey = "citronspoke/duties/holder";
    constexpr std::string_view GenerationKey = "citronspoke/duties/generation";
    constexpr std::string_view UsagePrefix = "citronspoke/duties/usage/";
    constexpr std::string_view DoneKey = "citronspoke/duties/usage/sent";

    constexpr Milliseconds CallTimeout { 1000 };
    /** The platform's API may be slow; a report is due some seconds after it was recorded. */
    constexpr Milliseconds PostTimeout { 4000 };
    /** Connecting, and the time for which the kernel sends lost packets again. */
    constexpr Milliseconds PostDeliveryTime { 900 };
    constexpr Milliseconds RetryInterval { 300 };
    constexpr size_t MaxResponseBytes = size_t { 64 } << 10;
    /** Several records share a lease, since each call is billed. */
    constexpr Milliseconds RecordLeaseUse { 60000 };
    /** Records written last under a lease live for longer than a window may be reported. */
    constexpr Milliseconds RecordLeaseTime { 150000 };

    std::optional<int64_t> numberIn(std::string_view text)
    {
        int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string textOf(duties::WindowNumber window) { return std::to_string(window.value()); }

} // namespace

void DutyRunner::onRecords(std::span<const adapter::StoreItem> items)
{
    m_hasRead = true;
    std::optional<adapter::StoreItem> holder;
    for (const adapter::StoreItem& item : items) {
        if (item.key == HolderKey)
            holder = item;
        else
            noteItem(item);
    }
    noteHolder(holder);
}

void DutyRunner::onRecordChange(const adapter::KeyChange& change)
{
    if (const adapter::KeyWritten* written = std::get_if<adapter::KeyWritten>(&change)) {
        if (written->item.key == HolderKey)
            noteHolder(written->item);
        else
            noteItem(written->item);
        return;
    }
    const adapter::KeyDeleted& deleted = std::get<adapter::KeyDeleted>(change);
    if (deleted.key == GenerationKey)
        m_generationRevision = {};
    // Its own older key may be deleted after this gateway has acquired the duties again.
    if (deleted.key == HolderKey
        && (!m_lease.isHeld() || deleted.revision.number > m_holderRevision.number))
        noteHolder(std::nullopt);
}

void DutyRunner::noteItem(const adapter::StoreItem& item)
{
    if (item.key == GenerationKey) {
        m_generationRevision = item.revision;
        m_lease.noteFencingNumber(FencingNumber(numberIn(item.value).value_or(0)));
    } else if (item.key == DoneKey) {
        if (const std::optional<int64_t> window = numberIn(item.value))
            m_schedule.noteDoneThrough(duties::WindowNumber(*window));
    } else if (item.key.starts_with(UsagePrefix)) {
        const std::string_view suffix = std::string_view(item.key).substr(UsagePrefix.size());
        if (const std::optional<int64_t> window = numberIn(suffix))
            m_schedule.noteRecord(duties::WindowNumber(*window), item.value);
    }
}

void DutyRunner::noteHolder(const std::optional<adapter::StoreItem>& item)
{
    if (m_lease.isHeld()) {
        const bool isNewer = item && item->revision.number > m_holderRevision.number;
        if (isNewer)
            lose("another gateway has acquired them");
        else if (!item)
            m_lease.noteGap(now());
    }
    m_holder = item;
    std::optional<EntryId> name;
    if (item && !item->value.empty())
        name = EntryId(m_holder->value.substr(0, m_holder->value.rfind(' ')));
    m_usage.updateHolder(name);
}

void DutyRunner::work()
{
    const UnixMillis trueTime = m_usage.trueTime();
    if (const std::optional<duties::WindowNumber> old = m_schedule.windowToGiveUp(trueTime))
        giveUp(*old);
    if (m_schedule.recordedThrough())
        m_usage.dropThrough(*m_schedule.recordedThrough());
    if (m_isStopping) {
        if (m_lease.isHeld() && !m_post && !m_recordCall)
            release();
        return;
    }
    if (!mayAct()) {
        // The request may not have been sent yet, and the duties may be another gateway's by then.
        m_post.reset();
        return;
    }
    if (!m_schedule.doneThrough()) {
        const UnixMillis startedAt(trueTime.value() - (now() - m_startedAt).count());
        const duties::WindowNumber own
            = duties::windowAt(startedAt, m_context.settings.duties.usageWindow);
        m_schedule.begin(std::min(own, m_usage.counts().first().value_or(own)));
    }
    if (const std::optional<UnixMillis> since = m_usage.collectorSince())
        m_schedule.noteCompleteSince(*since);
    const std::optional<duties::WindowNumber> toRecord = m_schedule.windowToRecord(trueTime);
    if (toRecord && !m_recordCall && now() >= m_recordAt)
        record(*toRecord);
    const std::optional<duties::WindowNumber> toPost = m_schedule.windowToPost(now());
    if (toPost && !m_post && m_lease.mayAct(now() + PostDeliveryTime))
        post(*toPost);
}

void DutyRunner::giveUp(duties::WindowNumber through)
{
    const duties::WindowNumber first = m_schedule.doneThrough()->next();
    m_schedule.noteDoneThrough(through);
    if (!m_lease.isHeld())
        return;
    telemetry::logError("duties", "Gave up usage windows.",
        { { "from", textOf(first) }, { "to", textOf(through) } });
    telemetry::count("usage_windows", { { "outcome", "given_up" } });
}

void DutyRunner::record(duties::WindowNumber window)
{
    // Of a window that ended before this process started and of which no gateway has counts, the
    // report may have been sent and its record lost; a second one might differ.
    const int64_t startedAt = m_usage.trueTime().value() - (now() - m_startedAt).count();
    if (m_schedule.endOf(window).value() < startedAt && m_usage.counts().total(window).empty()) {
        giveUp(window);
        return;
    }
    if (m_recordLease && now() - m_recordLeaseAt < RecordLeaseUse)
        writeRecord(window);
    else
        grantRecordLease();
}

void DutyRunner::grantRecordLease()
{
    m_recordLeaseAt = now();
    callStore(
        m_recordCall, adapter::grantLeaseCall(RecordLeaseTime), CallTimeout,
        [this](const storefeed::StoreResponse& response) {
            m_recordLease = adapter::decodeLease(response.status, response.body, response.era);
        },
        [this] { m_recordAt = now() + RetryInterval; });
}

void DutyRunner::writeRecord(duties::WindowNumber window)
{
    const std::string body = adapter::encodeUsage(window.value(), m_usage.counts().total(window));
    std::vector<adapter::StoreWrite> writes { { std::string(UsagePrefix) + textOf(window), body,
        *m_recordLease, adapter::StoreRevision {} } };
    const std::optional<duties::WindowNumber> done = m_schedule.doneThrough();
    // Windows that are done are stated with the next record, which saves a call.
    if (done && done != m_storedDoneThrough)
        writes.push_back({ std::string(DoneKey), textOf(*done), {}, std::nullopt });
    m_recordAt = now() + RetryInterval;
    callStore(
        m_recordCall, adapter::writeCall(writes), CallTimeout,
        [this, window, body, done](const storefeed::StoreResponse& response) {
            onRecorded(window, body, response);
            m_storedDoneThrough = done;
        },
        [] {});
}

void DutyRunner::onRecorded(
    duties::WindowNumber window, const std::string& body, const storefeed::StoreResponse& response)
{
    const adapter::WriteResult result
        = adapter::decodeWrite(response.status, response.body, response.era);
    if (std::holds_alternative<adapter::LeaseMissing>(result)) {
        m_recordLease.reset();
        return;
    }
    // After a conflict the store's feed brings the record that exists.
    if (!std::holds_alternative<adapter::WriteDone>(result))
        return;
    m_schedule.noteRecord(window, body);
    m_ownRecords.insert(window);
    telemetry::logInfo("duties", "Recorded a usage window.",
        { { "window", textOf(window) },
            { "organisations", std::to_string(m_usage.counts().total(window).size()) } });
    // Others then know that the window must not be recorded again, also if the store loses it.
    m_usage.sendStatus();
    work();
}

void DutyRunner::post(duties::WindowNumber window)
{
    const adapter::Call call = adapter::usageCall(
        { m_peers.id().text(), m_lease.fencingNumber() }, m_schedule.recordOf(window));
    m_lease.noteCall(now());
    m_schedule.notePostSent(now());
    m_post = channels::call(m_context.loop, m_apiConnections, { m_api, {} },
        adapter::composeCall(call, m_api), { PostTimeout, MaxResponseBytes },
        [this, window](const std::optional<channels::CallResponse>& response) {
            const std::shared_ptr<void> finished = std::exchange(m_post, nullptr);
            onPosted(window, response);
        });
}

void DutyRunner::onPosted(
    duties::WindowNumber window, const std::optional<channels::CallResponse>& response)
{
    m_lease.noteCall(now());
    using adapter::DutyResult;
    const DutyResult result = response ? adapter::decodeDuty(response->status) : DutyResult::Failed;
    const std::string status = std::to_string(response ? response->status : 0);
    if (result == DutyResult::Failed || result == DutyResult::RateExceeded) {
        m_schedule.notePostFailed(now());
        telemetry::logWarning("duties", "A usage window was not accepted; retrying.",
            { { "window", textOf(window) }, { "status", status } });
        telemetry::count("usage_windows", { { "outcome", "retried" } });
        return;
    }
    const bool isLate = m_schedule.isLate(window, m_usage.trueTime());
    const bool isOwn = m_ownRecords.erase(window) > 0;
    m_schedule.notePosted(window);
    m_usage.sendStatus();
    std::string_view outcome = isOwn ? "sent" : "repeated";
    if (result == DutyResult::Refused)
        outcome = "refused";
    else if (isLate)
        outcome = "late";
    telemetry::logInfo("duties", "Reported a usage window.",
        { { "window", textOf(window) }, { "status", status }, { "outcome", std::string(outcome) },
            { "fencing_token", std::to_string(m_lease.fencingNumber().value()) } });
    telemetry::count("usage_windows", { { "outcome", std::string(outcome) } });
    work();
}

} // namespace citronspoke::gateway

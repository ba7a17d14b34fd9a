#include "DutyRunner.h"

#include "Durations.h"
#include "PeerGroup.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    constexpr std::string_view HolderKey = "citronspoke/duties/holder";
    constexpr std::string_view GenerationKey = "citronspoke/duties/generation";

    constexpr Milliseconds TickInterval { 100 };
    /** A tick that is later than this shows that the process was suspended. */
    constexpr Milliseconds MaxTickDelay { 500 };
    constexpr Milliseconds CallTimeout { 1000 };
    constexpr Milliseconds RetryInterval { 300 };
    /** Each gateway leaves this time to the one before it in the order. */
    constexpr Milliseconds AcquireDelay { 300 };
    /** Gateways further down the order wait as long as this one. */
    constexpr size_t MaxPlace = 9;
    /** Within the lease's safety margin, so that no call leaves after the lease may have ended. */
    constexpr Milliseconds ApiConnectTimeout { 200 };

    channels::ConnectionPool::Options apiOptions()
    {
        channels::ConnectionPool::Options options;
        options.connectTimeout = ApiConnectTimeout;
        return options;
    }

    duties::UsageSchedule::Options scheduleOptions(const settings::DutySettings& settings)
    {
        duties::UsageSchedule::Options options;
        options.window = settings.usageWindow;
        options.delay = settings.usageDelay;
        options.callsPerSecond = settings.callsPerSecond;
        return options;
    }

    duties::DutyLease::Options leaseOptions(const settings::DutySettings& settings)
    {
        duties::DutyLease::Options options;
        options.leaseTime = settings.leaseTime;
        return options;
    }

} // namespace

DutyRunner::DutyRunner(GatewayContext& context, PeerGroup& peers, storefeed::StoreClient& store)
    : m_context(context)
    , m_peers(peers)
    , m_store(store)
    , m_apiConnections(context.loop, apiOptions())
    , m_api(fleet::requireAddress(context.settings.duties.platformApi))
    , m_usage(context, peers)
    , m_lease(leaseOptions(context.settings.duties), context.clocks.boot())
    , m_schedule(scheduleOptions(context.settings.duties))
    , m_startedAt(context.clocks.boot())
    , m_tickedAt(m_startedAt)
    , m_eligibleSince(m_startedAt)
    , m_timer(context.loop)
{
    m_context.usage = &m_usage;
    m_usage.fillStatus = [this](duties::DutyStatus& status) {
        status.greatestNumber = m_lease.greatestNumber();
        status.recordedThrough = m_schedule.recordedThrough();
        status.doneThrough = m_schedule.doneThrough();
    };
    m_usage.onOtherStatus = [this](const duties::DutyStatus& status) { onOtherStatus(status); };
    m_store.onRestored([this] { onRestored(); });
}

void DutyRunner::start()
{
    m_usage.start();
    tick();
}

void DutyRunner::tick()
{
    m_timer.arm(TickInterval, [this] { tick(); });
    const duties::BootTime time = now();
    if (time - m_tickedAt > MaxTickDelay + TickInterval && m_lease.isHeld()) {
        telemetry::logWarning("duties", "Renewing the duties after a gap.",
            { { "gap_ms", millisecondsText(time - m_tickedAt) },
                { "fencing_token", std::to_string(m_lease.fencingNumber().value()) } });
        m_lease.noteGap(time);
    }
    m_tickedAt = time;
    if (!m_lease.isHeld())
        acquireWhenVacant();
    else if (m_lease.needsRenewal(time) && time >= m_renewAt && !m_leaseCall)
        renew();
    work();
    telemetry::gauge("duty_holder", m_lease.isHeld() ? 1 : 0);
}

void DutyRunner::callStore(std::shared_ptr<void>& owner, const adapter::Call& call,
    Milliseconds timeout, std::function<void(const storefeed::StoreResponse&)> handler,
    std::function<void()> onFailure)
{
    owner = m_store.call(call, timeout,
        [&owner, handler = std::move(handler), onFailure = std::move(onFailure)](
            const std::optional<storefeed::StoreResponse>& response) {
            // The finished call lives until the handler returns, which may start the next call.
            const std::shared_ptr<void> finished = std::exchange(owner, nullptr);
            try {
                if (response) {
                    handler(*response);
                    return;
                }
            } catch (const Error& error) {
                telemetry::logWarning("duties", "The store refused a call for the duties.",
                    { { "cause", error.describe() } });
            }
            onFailure();
        });
}

void DutyRunner::acquireWhenVacant()
{
    const duties::BootTime time = now();
    if (!isVacant() || !m_lease.mayAcquire(time)) {
        m_eligibleSince = time;
        return;
    }
    if (m_isStopping || m_leaseCall)
        return;
    const Milliseconds wait
        = AcquireDelay * static_cast<int64_t>(std::min(m_usage.place(), MaxPlace));
    const bool isInContact = m_context.storeAge() <= m_context.settings.applyTime;
    if (!isInContact || time < m_acquireAt || time - m_eligibleSince < wait)
        return;
    m_grantSentAt = time;
    callStore(
        m_leaseCall, adapter::grantLeaseCall(m_context.settings.duties.leaseTime), CallTimeout,
        [this](const storefeed::StoreResponse& response) { onGranted(response); },
        [this] { m_acquireAt = now() + RetryInterval; });
}

void DutyRunner::onGranted(const storefeed::StoreResponse& response)
{
    m_storeLease = adapter::decodeLease(response.status, response.body, response.era);
    // Another gateway may have acquired them meanwhile; its key must not be replaced.
    if (!isVacant())
        return;
    m_requestedNumber = m_lease.nextFencingNumber(m_usage.trueTime());
    const std::string number = std::to_string(m_requestedNumber.value());
    const std::vector<adapter::StoreWrite> writes {
        { std::string(GenerationKey), number, {}, m_generationRevision },
        { std::string(HolderKey), m_peers.id().text() + " " + number, m_storeLease,
            m_holder ? m_holder->revision : adapter::StoreRevision {} },
    };
    callStore(
        m_leaseCall, adapter::writeCall(writes), CallTimeout,
        [this](const storefeed::StoreResponse& written) { onAcquired(written); },
        // If the write took effect after all, the lease ends because nobody renews it.
        [this] { m_acquireAt = now() + RetryInterval; });
}

void DutyRunner::onAcquired(const storefeed::StoreResponse& response)
{
    const adapter::WriteResult result
        = adapter::decodeWrite(response.status, response.body, response.era);
    const adapter::WriteDone* done = std::get_if<adapter::WriteDone>(&result);
    if (!done) {
        m_acquireAt = now() + RetryInterval;
        return;
    }
    m_lease.noteAcquired(m_requestedNumber, m_grantSentAt);
    m_holderRevision = done->revision;
    m_heldSince = now();
    telemetry::logInfo("duties", "Acquired the duties.",
        { { "fencing_token", std::to_string(m_requestedNumber.value()) },
            { "place", std::to_string(m_usage.place()) } });
    m_usage.sendStatus();
}

void DutyRunner::renew()
{
    const duties::BootTime sentAt = now();
    m_renewAt = sentAt + RetryInterval;
    callStore(
        m_leaseCall, adapter::renewLeaseCall(m_storeLease), CallTimeout,
        [this, sentAt](const storefeed::StoreResponse& response) {
            constexpr uint32_t Ok = 200;
            constexpr uint32_t NotFound = 404;
            if (response.status == Ok)
                m_lease.noteRenewed(sentAt);
            else if (response.status == NotFound)
                lose("the lease has expired");
        },
        [] {});
}

void DutyRunner::lose(std::string_view cause)
{
    if (!m_lease.isHeld())
        return;
    m_lease.noteLost();
    telemetry::logWarning("duties", "Lost the duties.",
        { { "fencing_token", std::to_string(m_lease.fencingNumber().value()) },
            { "held_ms", millisecondsText(now() - m_heldSince) },
            { "cause", std::string(cause) } });
}

void DutyRunner::beginStop() { m_isStopping = true; }

void DutyRunner::release()
{
    // The key is kept, without a value, until its lease ends: another gateway replaces it.
    const adapter::StoreWrite write { std::string(HolderKey), {}, m_storeLease, m_holderRevision };
    telemetry::logInfo("duties", "Released the duties.",
        { { "fencing_token", std::to_string(m_lease.fencingNumber().value()) },
            { "held_ms", millisecondsText(now() - m_heldSince) } });
    m_lease.noteLost();
    callStore(
        m_leaseCall, adapter::writeCall(std::span(&write, 1)), CallTimeout,
        [](const storefeed::StoreResponse&) {}, [] {});
}

// Calls under way are dropped: what they acquired or wrote belongs to the earlier era.
void DutyRunner::onRestored()
{
    m_leaseCall.reset();
    m_recordCall.reset();
    lose("the store was restored");
    m_lease.noteRestored(now());
    m_hasRead = false;
    m_holder.reset();
    m_generationRevision = {};
    m_recordLease.reset();
    m_storedDoneThrough.reset();
}

void DutyRunner::onOtherStatus(const duties::DutyStatus& status)
{
    m_lease.noteFencingNumber(status.greatestNumber);
    if (status.recordedThrough)
        m_schedule.noteRecordedThrough(*status.recordedThrough);
    if (status.doneThrough)
        m_schedule.noteDoneThrough(*status.doneThrough);
}

bool DutyRunner::isVacant() const { return m_hasRead && (!m_holder || m_holder->value.empty()); }

bool DutyRunner::mayAct() const { return m_hasRead && m_lease.mayAct(now()); }

} // namespace citronspoke::gateway

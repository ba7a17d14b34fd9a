#include "storefeed/StoreFeed.h"

#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::storefeed {

namespace {

    constexpr Milliseconds CallTimeout { 1000 };
    constexpr Milliseconds RetryInterval { 500 };
    /** Of each process that writes its key again after a restore; the store takes several hundred
     * writes a second, and a key needs two. */
    constexpr Milliseconds RestoreTimePerOwner { 8 };
    /** Lost keys should be back within two seconds of the restore. */
    constexpr Milliseconds MaxRestoreDelay { 1200 };

} // namespace

LeasedKey::LeasedKey(channels::EventLoop& loop, StoreClient& client, Options options)
    : m_client(client)
    , m_options(std::move(options))
    , m_timer(loop)
{
    m_client.onRestored([this] { onRestored(); });
}

void LeasedKey::start() { grant(); }

void LeasedKey::call(const adapter::Call& call, void (LeasedKey::*handler)(const StoreResponse&))
{
    m_call = m_client.call(
        call, CallTimeout, [this, handler](const std::optional<StoreResponse>& response) {
            // The finished call lives until the handler returns, which may start the next call.
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            if (!response) {
                renewLater(RetryInterval);
                return;
            }
            try {
                (this->*handler)(*response);
            } catch (const Error& error) {
                telemetry::logWarning("store", "The store refused a call for an own key.",
                    { { "key", m_options.key }, { "cause", error.describe() } });
                renewLater(RetryInterval);
            } catch (const std::exception& exception) {
                telemetry::reportUnexpected("store response", exception);
                renewLater(RetryInterval);
            }
        });
}

void LeasedKey::grant()
{
    m_lease.reset();
    call(adapter::grantLeaseCall(m_options.leaseDuration), &LeasedKey::onGranted);
}

void LeasedKey::onGranted(const StoreResponse& response)
{
    m_grantedLease = adapter::decodeLease(response.status, response.body, response.era);
    const adapter::StoreWrite write { m_options.key, m_options.value, m_grantedLease,
        std::nullopt };
    call(adapter::writeCall(std::span(&write, 1)), &LeasedKey::onWritten);
}

void LeasedKey::onWritten(const StoreResponse& response)
{
    const adapter::WriteResult result
        = adapter::decodeWrite(response.status, response.body, response.era);
    if (std::holds_alternative<adapter::WriteDone>(result)) {
        m_lease = m_grantedLease;
        telemetry::logInfo("store", "Wrote an own key.",
            { { "key", m_options.key }, { "era", std::to_string(response.era.value()) } });
    }
    renewLater(m_lease ? m_options.renewInterval : RetryInterval);
}

void LeasedKey::renewLater(Milliseconds delay)
{
    m_timer.arm(jittered(delay), [this] { renew(); });
}

void LeasedKey::renew()
{
    if (m_lease)
        call(adapter::renewLeaseCall(*m_lease), &LeasedKey::onRenewed);
    else
        grant();
}

void LeasedKey::onRenewed(const StoreResponse& response)
{
    constexpr uint32_t NotFound = 404;
    if (response.status != NotFound) {
        renewLater(m_options.renewInterval);
        return;
    }
    telemetry::logWarning(
        "store", "The lease of an own key has expired.", { { "key", m_options.key } });
    grant();
}

// The store may give the number of the lost lease to another process, whose key would then live or
// end with it.
void LeasedKey::onRestored() { grantAgain(); }

void LeasedKey::noteLost()
{
    if (!m_lease)
        return;
    telemetry::logWarning(
        "store", "An own key is missing from the store.", { { "key", m_options.key } });
    grantAgain();
}

void LeasedKey::grantAgain()
{
    m_call.reset();
    m_lease.reset();
    const Milliseconds longest
        = std::min(MaxRestoreDelay, RestoreTimePerOwner * static_cast<int64_t>(m_owners));
    m_timer.arm(randomDelay(longest), [this] { grant(); });
}

} // namespace citronspoke::storefeed

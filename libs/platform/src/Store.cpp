#include "EtcdClient.h"
#include "MemoryStore.h"
#include "platform/Platform.h"
#include "telemetry/Telemetry.h"

namespace citronspoke::platform {

namespace {

    using MemoryPointer = std::shared_ptr<MemoryBackend>;

    template <typename... Visitors> struct Overloaded : Visitors... {
        using Visitors::operator()...;
    };
    template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

    void countCall(const char* kind) { telemetry::count("store_calls", { { "kind", kind } }); }

    // The first key behind all keys that begin with the prefix.
    std::string endOfPrefix(std::string_view prefix)
    {
        std::string end(prefix);
        end.back() = static_cast<char>(end.back() + 1);
        return end;
    }

    std::map<std::string, Entry> range(
        const Backend& backend, std::string_view key, std::string_view end)
    {
        countCall("read");
        return std::visit(
            Overloaded {
                [&](const EtcdBackend& etcdBackend) { return etcd::range(etcdBackend, key, end); },
                [&](const MemoryPointer& pointer) { return memory::range(*pointer, key, end); } },
            backend);
    }

} // namespace

Store::Store(Backend backend)
    : m_backend(std::move(backend))
{
}

std::optional<Entry> Store::read(std::string_view key) const
{
    std::map<std::string, Entry> entries = range(m_backend, key, {});
    if (entries.empty())
        return std::nullopt;
    return std::move(entries.begin()->second);
}

std::map<std::string, Entry> Store::readPrefix(std::string_view prefix) const
{
    require(!prefix.empty(), "prefix is not empty");
    return range(m_backend, prefix, endOfPrefix(prefix));
}

WriteOutcome Store::swap(
    std::string_view key, Revision expected, std::string_view value, LeaseId lease) const
{
    countCall("write");
    return std::visit(Overloaded { [&](const EtcdBackend& backend) {
                                      return etcd::swap(backend, key, expected, value, lease);
                                  },
                          [&](const MemoryPointer& backend) {
                              return memory::swap(*backend, key, expected, value);
                          } },
        m_backend);
}

LeaseId Store::grantLease(std::chrono::seconds timeToLive) const
{
    countCall("lease_grant");
    return std::visit(Overloaded { [&](const EtcdBackend& backend) {
                                      return etcd::grantLease(backend, timeToLive);
                                  },
                          [](const MemoryPointer&) { return LeaseId(1); } },
        m_backend);
}

bool Store::keepAlive(LeaseId lease) const
{
    countCall("lease_keep_alive");
    return std::visit(
        Overloaded { [&](const EtcdBackend& backend) { return etcd::keepAlive(backend, lease); },
            [](const MemoryPointer&) { return true; } },
        m_backend);
}

void Store::revoke(LeaseId lease) const noexcept
{
    countCall("lease_revoke");
    const EtcdBackend* backend = std::get_if<EtcdBackend>(&m_backend);
    if (!backend)
        return;
    try {
        etcd::revoke(*backend, lease);
    } catch (const std::exception&) {
        telemetry::logInfo("platform", "Lease not released; it will expire.");
    }
}

bool Store::waitForChange(std::string_view key, Revision since, Milliseconds limit) const
{
    countCall("watch");
    return std::visit(Overloaded { [&](const EtcdBackend& backend) {
                                      return etcd::waitForChange(backend, key, since, limit);
                                  },
                          [](const MemoryPointer&) { return true; } },
        m_backend);
}

WriteOutcome swapWithNonce(const Store& store, std::string_view key, Revision expected,
    std::string_view value, LeaseId lease, int tries)
{
    bool wasUnknown = false;
    for (int attempt = 0; attempt < tries; ++attempt) {
        const WriteOutcome outcome = store.swap(key, expected, value, lease);
        if (std::holds_alternative<Committed>(outcome))
            return outcome;
        if (std::holds_alternative<OutcomeUnknown>(outcome)) {
            wasUnknown = true;
            continue;
        }
        if (!wasUnknown)
            return outcome;
        try {
            const std::optional<Entry> current = store.read(key);
            if (current && current->value == value)
                return Committed { current->revision };
            return Conflict {};
        } catch (const StoreUnavailable&) {
            continue;
        }
    }
    return OutcomeUnknown {};
}

} // namespace citronspoke::platform

#pragma once

#include "model/Model.h"

#include <map>
#include <variant>

/** The platform's services: the key-value store, the list of VMs, the weight store. */
namespace citronspoke::platform {

using Revision = Number<struct StoreRevisionTag>;
using LeaseId = Number<struct LeaseTag>;

/** The revision of a key that does not exist. */
constexpr Revision AbsentKey { 0 };

/** The store did not answer in time or answered with a failure. */
class StoreUnavailable final : public Error {
public:
    explicit StoreUnavailable(std::string_view operation)
        : m_operation(operation)
    {
    }
    std::string_view kind() const noexcept override { return "store_unavailable"; }
    std::string describe() const override
    {
        return "The platform's store did not answer a " + m_operation + ".";
    }

private:
    std::string m_operation;
};

/** A key's value and the store revision of its last change. */
struct Entry {
    std::string value;
    Revision revision;
};

/** The write took effect. */
struct Committed {
    Revision revision;
};
/** The key had another revision; nothing was written. */
struct Conflict { };
/** No answer came: the write may take effect now, later or never. */
struct OutcomeUnknown { };
using WriteOutcome = std::variant<Committed, Conflict, OutcomeUnknown>;

/** Where the store is reached over HTTP: the etcd v3 JSON protocol. */
struct EtcdBackend {
    std::string address;
    Milliseconds timeout { 1000 };
};

/** A store inside the process for unit tests, with the failures that the real one has. */
struct MemoryBackend {
    std::map<std::string, Entry> entries;
    int64_t revision = 0;
    bool isDown = false;
    /** So many coming writes take effect, but their answer is lost. */
    int answersToLose = 0;
    int writes = 0;
    std::mutex mutex;
};

using Backend = std::variant<EtcdBackend, std::shared_ptr<MemoryBackend>>;

/**
 * The platform's key-value service. Only single-key compare-and-swap, leases and watches are
 * used. Every call is counted by kind in the metrics. Any thread may call.
 */
class Store {
public:
    explicit Store(Backend backend);

    /** @return the entry, none when the key is absent. @throws StoreUnavailable */
    std::optional<Entry> read(std::string_view key) const;
    /** @return the entries whose keys begin with @p prefix. @throws StoreUnavailable */
    std::map<std::string, Entry> readPrefix(std::string_view prefix) const;
    /** Writes if the key still has the revision @p expected (AbsentKey: does not exist). */
    WriteOutcome swap(std::string_view key, Revision expected, std::string_view value,
        LeaseId lease = LeaseId(0)) const;
    /** @throws StoreUnavailable */
    LeaseId grantLease(std::chrono::seconds timeToLive) const;
    /** @return false when the lease has lapsed. @throws StoreUnavailable */
    bool keepAlive(LeaseId lease) const;
    /** Gives a lease back; its keys vanish. Failures are ignored: it lapses anyway. */
    void revoke(LeaseId lease) const noexcept;
    /**
     * Waits until the key changes after @p since. @return true when it changed.
     * @throws StoreUnavailable
     */
    bool waitForChange(std::string_view key, Revision since, Milliseconds limit) const;

private:
    Backend m_backend;
};

/**
 * Swaps until the outcome is certain. Each try carries the same value, which must hold a
 * nonce of the caller: a conflict with that very value means that an earlier try took effect.
 * @param tries at most.
 * @return OutcomeUnknown only when no try was answered.
 */
WriteOutcome swapWithNonce(const Store& store, std::string_view key, Revision expected,
    std::string_view value, LeaseId lease, int tries);

/** What the platform's list says of a VM. */
enum class VmState : uint8_t { Live, Leaving, Gone };

/** @return the states of the VMs by target name; the list lags. @throws StoreUnavailable */
std::map<TargetId, VmState> readVmList(std::string_view address, Milliseconds limit);

} // namespace citronspoke::platform

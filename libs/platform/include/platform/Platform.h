#pragma once

#include "model/Model.h"

#include <map>
#include <variant>

/** Clients of the platform's services: the key-value store and the list of VMs. */
namespace citronspoke::platform {

using Revision = Number<struct StoreRevisionTag>;
using LeaseId = Number<struct LeaseTag>;

/** Stands for the revision of a key that does not exist. */
constexpr Revision AbsentKey { 0 };

/** The store or the VM list did not respond in time, or its response is an error or unreadable. */
class StoreUnavailable final : public Error {
public:
    explicit StoreUnavailable(std::string_view operation)
        : m_operation(operation)
    {
    }
    std::string_view kind() const noexcept override { return "store_unavailable"; }
    std::string describe() const override
    {
        return "The platform's store failed or did not respond to: " + m_operation + ".";
    }

private:
    std::string m_operation;
};

/** The value of a key and the store revision of its last change. */
struct Entry {
    std::string value;
    Revision revision;
};

/** The write took effect. */
struct Committed {
    Revision revision;
};
/** The key has another revision; nothing was written. */
struct Conflict { };
/** No valid response arrived: the write may have taken effect, may do so later or never. */
struct OutcomeUnknown { };
using WriteOutcome = std::variant<Committed, Conflict, OutcomeUnknown>;

/** A store that speaks the etcd v3 JSON protocol over HTTP. */
struct EtcdBackend {
    /** "http://IP:PORT". */
    std::string address;
    /** For each call, except watches. */
    Milliseconds timeout { 1000 };
};

/** An in-process store for unit tests that can simulate the failures of the real one. */
struct MemoryBackend {
    std::map<std::string, Entry> entries;
    int64_t revision = 0;
    /** Every read and write fails. */
    bool isDown = false;
    /** This many further writes take effect, but their responses are lost. */
    int answersToLose = 0;
    /** Writes that took effect. */
    int writes = 0;
    std::mutex mutex;
};

using Backend = std::variant<EtcdBackend, std::shared_ptr<MemoryBackend>>;

/**
 * Client of the platform's key-value store. It uses only reads, single-key compare-and-swap, leases
 * and watches. Every call is counted by kind in the metrics. All functions are thread-safe.
 */
class Store {
public:
    explicit Store(Backend backend);

    /** @return the entry; none when the key does not exist. @throws StoreUnavailable */
    std::optional<Entry> read(std::string_view key) const;
    /** @return all keys that begin with @p prefix, which is not empty. @throws StoreUnavailable */
    std::map<std::string, Entry> readPrefix(std::string_view prefix) const;
    /** Writes if the key has the revision @p expected; AbsentKey if it must not exist. */
    WriteOutcome swap(std::string_view key, Revision expected, std::string_view value,
        LeaseId lease = LeaseId(0)) const;
    /** @throws StoreUnavailable */
    LeaseId grantLease(std::chrono::seconds timeToLive) const;
    /** Renews a lease. @return false when it has expired. @throws StoreUnavailable */
    bool keepAlive(LeaseId lease) const;
    /** Releases a lease and deletes its keys. Failures are ignored, as the lease expires anyway. */
    void revoke(LeaseId lease) const noexcept;
    /**
     * Waits up to @p limit until the key changes after the revision @p since.
     * @return true when it changed.
     * @throws StoreUnavailable
     */
    bool waitForChange(std::string_view key, Revision since, Milliseconds limit) const;

private:
    Backend m_backend;
};

/**
 * Repeats a swap until its outcome is certain. Each attempt carries the same value, which must
 * contain a nonce of the caller: when a conflict finds this value, an earlier attempt took effect.
 * @param tries the maximum number of attempts.
 * @return OutcomeUnknown when no attempt led to a certain outcome.
 */
WriteOutcome swapWithNonce(const Store& store, std::string_view key, Revision expected,
    std::string_view value, LeaseId lease, int tries);

/** The state of a VM in the platform's list. */
enum class VmState : uint8_t { Live, Leaving, Gone };

/**
 * @return the states of the VMs by target name. The platform updates the list with a delay.
 * @throws StoreUnavailable
 */
std::map<TargetId, VmState> readVmList(std::string_view address, Milliseconds limit);

} // namespace citronspoke::platform

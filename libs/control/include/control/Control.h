#pragma once

#include "platform/Platform.h"
#include "settings/Settings.h"

#include <map>

/** Configuration revisions and role orders, both kept in the platform's store. */
namespace citronspoke::control {

/** Thrown when another commit became the head after the base of this one was read. */
class ConfigConflict final : public Error {
public:
    ConfigConflict(ConfigRevision revision, std::string_view author, std::string_view message)
        : m_revision(revision)
        , m_author(author)
        , m_message(message)
    {
    }
    std::string_view kind() const noexcept override { return "config_conflict"; }
    std::string describe() const override;

private:
    ConfigRevision m_revision;
    std::string m_author;
    std::string m_message;
};

/** A committed configuration revision. */
struct ConfigChange {
    ConfigRevision revision;
    /** Store key of the immutable document. */
    std::string documentKey;
    std::string author;
    std::string message;
    UnixMillis time;
    /** Random and unique to the commit, so that a lost response can be told from a conflict. */
    std::string nonce;
};

/** The head of the configuration history: one store value, replaced by compare-and-swap. */
struct ConfigHead {
    /** The most recent changes, newest first. */
    std::vector<ConfigChange> changes;
    /** Revision of the head key in the store; the next swap expects it. */
    platform::Revision storeRevision;

    ConfigRevision revision() const noexcept
    {
        return changes.empty() ? ConfigRevision(0) : changes.front().revision;
    }
};

/** @return the head; empty when nothing was committed yet. @throws platform::StoreUnavailable */
ConfigHead readConfigHead(const platform::Store& store);
/** @return the document of a change. @throws platform::StoreUnavailable also when it is missing. */
std::string readConfigDocument(const platform::Store& store, const ConfigChange& change);
/**
 * Commits a document as the next revision.
 * @param base the head that the operator has seen.
 * @return the committed revision.
 * @throws ConfigConflict when the head has changed since; platform::StoreUnavailable when the
 *         outcome is unknown.
 */
ConfigRevision commitConfig(const platform::Store& store, const ConfigHead& base,
    std::string_view document, std::string_view author, std::string_view message);

/** Holds the active configuration of this process; its revision never decreases. Thread-safe. */
class ConfigHolder {
public:
    /** @return the active configuration; null before the first was adopted. */
    settings::DeploymentPointer current() const;
    /** @return the revision of the active configuration; 0 before the first was adopted. */
    ConfigRevision revision() const;
    /** @return the text of the active configuration; empty before the first was adopted. */
    std::string document() const;
    /** Replaces the configuration. @return false when it is not newer or is invalid. */
    bool adopt(ConfigRevision revision, std::string_view document);
    /** @param listener called after each adoption, on the adopting thread. */
    void onAdopted(std::function<void()> listener);

private:
    mutable std::mutex m_mutex;
    settings::DeploymentPointer m_current;
    std::string m_document;
    std::vector<std::function<void()>> m_listeners;
};

/** Reads the head and adopts a newer revision. @return the head. @throws StoreUnavailable */
ConfigHead refreshConfig(const platform::Store& store, ConfigHolder& holder);

/** An order to an agent to change the role of its engine. */
struct Order {
    /** Fencing number of the shard holder that issued the order. */
    FencingNumber fencing;
    OrderSequence sequence;
    EngineRole role = EngineRole::Mixed;
    bool isDone = false;
};

/** The state of a pool's control shard: one store value, replaced by compare-and-swap. */
struct ShardState {
    EntryId holder;
    FencingNumber fencing;
    OrderSequence lastSequence;
    std::string nonce;
    /** The last order of each engine, done or outstanding. */
    std::map<TargetId, Order> orders;
};

/** @return the last order for a target, done or not; none without one. @throws StoreUnavailable */
std::optional<Order> readOrder(
    const platform::Store& store, const PoolId& pool, const TargetId& target);

/**
 * The controller's side of one pool's shard. Each change is a compare-and-swap of one key with the
 * holder, the fencing number and all orders, so that a former holder cannot change anything.
 */
class ControlShard {
public:
    ControlShard(const platform::Store& store, PoolId pool, EntryId self);

    /**
     * Takes over ownership of the shard when no holder's lease exists.
     * @return whether this process now holds the shard. @throws StoreUnavailable
     */
    bool tryAcquire();
    /** Renews the lease. @return false when ownership was lost. @throws StoreUnavailable */
    bool renew();
    /** Releases the shard, so that another process can acquire it at once. */
    void release() noexcept;
    bool isHeld() const noexcept { return m_isHeld; }
    const ShardState& state() const noexcept { return m_state; }

    /**
     * Issues an order unless the target still has one outstanding.
     * @return the order; none when it was not issued. @throws StoreUnavailable
     */
    std::optional<Order> issue(const TargetId& target, EngineRole role);
    /**
     * Marks an outstanding order as done; ignores any other fencing or sequence number.
     * @throws StoreUnavailable
     */
    void noteDone(const TargetId& target, FencingNumber fencing, OrderSequence sequence);

private:
    bool write(ShardState next);

    const platform::Store& m_store;
    PoolId m_pool;
    EntryId m_self;
    bool m_isHeld = false;
    ShardState m_state;
    platform::Revision m_revision;
    platform::LeaseId m_lease;
};

} // namespace citronspoke::control

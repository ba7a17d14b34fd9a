#pragma once

#include "platform/Platform.h"
#include "settings/Settings.h"

#include <map>

/** Configuration and orders, both kept in the platform's store. */
namespace citronspoke::control {

/** Somebody else committed a configuration in between. */
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

/** One accepted configuration. */
struct ConfigChange {
    ConfigRevision revision;
    /** Store key of the immutable document. */
    std::string documentKey;
    std::string author;
    std::string message;
    UnixMillis time;
    std::string nonce;
};

/** The swapped head of the configuration. */
struct ConfigHead {
    /** The newest change first. */
    std::vector<ConfigChange> changes;
    platform::Revision storeRevision;

    ConfigRevision revision() const noexcept
    {
        return changes.empty() ? ConfigRevision(0) : changes.front().revision;
    }
};

/** @throws platform::StoreUnavailable */
ConfigHead readConfigHead(const platform::Store& store);
/** @return the document of a change. @throws platform::StoreUnavailable */
std::string readConfigDocument(const platform::Store& store, const ConfigChange& change);
/**
 * Commits a document as the next revision.
 * @param base the head that the operator has seen.
 * @throws ConfigConflict when the head has moved; platform::StoreUnavailable when the outcome
 *         cannot be learnt.
 */
ConfigRevision commitConfig(const platform::Store& store, const ConfigHead& base,
    std::string_view document, std::string_view author, std::string_view message);

/** Holds the configuration in force in this process. It never goes back. */
class ConfigHolder {
public:
    /** @return the configuration in force; null before the first. */
    settings::DeploymentPointer current() const;
    ConfigRevision revision() const;
    std::string document() const;
    /** @return false when the revision is not newer or the document is not valid. */
    bool adopt(ConfigRevision revision, std::string_view document);
    /** @param listener called after each adoption, by the adopting thread. */
    void onAdopted(std::function<void()> listener);

private:
    mutable std::mutex m_mutex;
    settings::DeploymentPointer m_current;
    std::string m_document;
    std::vector<std::function<void()>> m_listeners;
};

/** Reads the head and adopts what is newer. @return the head. @throws platform::StoreUnavailable */
ConfigHead refreshConfig(const platform::Store& store, ConfigHolder& holder);

/** What an agent is told to do with its engine. */
struct Order {
    FencingNumber fencing;
    OrderSequence sequence;
    EngineRole role = EngineRole::Mixed;
    bool isDone = false;
};

/** The swapped value of a pool's control shard. */
struct ShardState {
    EntryId holder;
    FencingNumber fencing;
    OrderSequence lastSequence;
    std::string nonce;
    /** The last order of each engine, done or outstanding. */
    std::map<TargetId, Order> orders;
};

/** @return the order that stands for a target; none when there is none. @throws StoreUnavailable */
std::optional<Order> readOrder(
    const platform::Store& store, const PoolId& pool, const TargetId& target);

/**
 * The controller's side of one pool's shard. Each change is a swap of the one key that holds
 * the holder, the fencing number and all orders, so a holder that was succeeded changes nothing.
 */
class ControlShard {
public:
    ControlShard(const platform::Store& store, PoolId pool, EntryId self);

    /** Takes the shard over when no holder's lease is alive. @throws StoreUnavailable */
    bool tryAcquire();
    /** Renews the lease. @return false when authority was lost. @throws StoreUnavailable */
    bool renew();
    /** Gives the shard back for another process to take at once. */
    void release() noexcept;
    bool isHeld() const noexcept { return m_isHeld; }
    const ShardState& state() const noexcept { return m_state; }

    /**
     * Issues an order unless the target still has one outstanding.
     * @return the order; none when it was not issued. @throws StoreUnavailable
     */
    std::optional<Order> issue(const TargetId& target, EngineRole role);
    /** Notes that an agent has carried an order out. @throws StoreUnavailable */
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

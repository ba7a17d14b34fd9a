#pragma once

#include "platform/Platform.h"

/** The at-most-once journal of calls that are not idempotent. */
namespace citronspoke::journal {

/** A call that is about to be sent to its target. */
struct Call {
    IdempotencyKey key;
    RequestId request;
    /** Hash of the call's content; a key may not be reused for different content. */
    uint64_t fingerprint = 0;
};

/** The response of a finished call. */
struct Result {
    uint32_t httpStatus = 0;
    std::string body;
};

/** The start is committed to the store: send the call to the target, once. */
struct MayStart { };
/** The call has already finished with this result. */
struct AlreadyFinished {
    Result result;
};
/** This process has started the call and has no committed result yet. */
struct InProgress { };
/** Another process started the call and committed no result: it may have run. */
struct Interrupted { };
/** Another process owns the journal shard. */
struct OwnedElsewhere {
    TargetId owner;
};
/** The key was used before for a call with different content. */
struct KeyMismatch { };
/** The store is unreachable or the command queue is full; the call was not started. */
struct Unavailable { };
using BeginOutcome = std::variant<MayStart, AlreadyFinished, InProgress, Interrupted,
    OwnedElsewhere, KeyMismatch, Unavailable>;

/** Settings of one process's journal. */
struct Options {
    PoolId pool;
    TargetId self;
    Incarnation incarnation;
    /** Number of shards of the pool's journal; equal in all processes of the pool. */
    uint32_t shards = 8;
    /** Calls that arrive within this time share one write. */
    Milliseconds commitInterval { 5 };
    /** Lifetime of the segments to which older records move. */
    std::chrono::seconds retention { 86400 };
};

/** @return the shard of a key, in [0, @p shards). */
JournalShard shardOf(const IdempotencyKey& key, uint32_t shards);

/**
 * Records the starts and results of calls in the store, so that a call runs at most once even if
 * its process fails. Each shard has one head record, replaced by compare-and-swap; one write
 * commits many calls. A process that has lost a shard cannot commit to it any more and therefore
 * starts no calls. Callbacks run on the journal's worker thread, or on the calling thread when the
 * command queue is full.
 */
class Journal {
public:
    Journal(const platform::Store& store, Options options);
    ~Journal();
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    using BeginCallback = std::function<void(const BeginOutcome&)>;
    /** Commits the start of a call. @p callback receives MayStart or the reason against it. */
    void begin(Call call, const BeginCallback& callback);
    /**
     * Commits a result. @p stored receives true once the result is in the store. It receives false
     * when another process owns the shard, the command queue is full, or the store is unreachable;
     * in the last case the journal retries the write.
     */
    void finish(const IdempotencyKey& key, Result result, const std::function<void(bool)>& stored);
    /** Withdraws the start of a call that did not run, so that the key may be used again. */
    void abandon(const IdempotencyKey& key);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace citronspoke::journal

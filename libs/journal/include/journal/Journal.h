#pragma once

#include "platform/Platform.h"

/** The at-most-once journal of calls that may not be repeated. */
namespace citronspoke::journal {

/** A call that is about to be handed to its target. */
struct Call {
    IdempotencyKey key;
    RequestId request;
    /** Of the call's content; a key may not be used again for another content. */
    uint64_t fingerprint = 0;
};

/** The answer of a finished call. */
struct Result {
    uint32_t httpStatus = 0;
    std::string body;
};

/** "Started" is in the store: hand the call over, once. */
struct MayStart { };
/** The call has finished before. */
struct AlreadyFinished {
    Result result;
};
/** This process is running the call now. */
struct InProgress { };
/** Another process started it and left no result: it may have run. */
struct Interrupted { };
/** Another process owns the journal shard. */
struct OwnedElsewhere {
    TargetId owner;
};
/** The key was used before for a call with other content. */
struct KeyMismatch { };
/** The store cannot be reached; nothing was started. */
struct Unavailable { };
using BeginOutcome = std::variant<MayStart, AlreadyFinished, InProgress, Interrupted,
    OwnedElsewhere, KeyMismatch, Unavailable>;

struct Options {
    PoolId pool;
    TargetId self;
    Incarnation incarnation;
    uint32_t shards = 8;
    Milliseconds commitInterval { 5 };
    std::chrono::seconds retention { 86400 };
};

/** @return the shard of a key. */
JournalShard shardOf(const IdempotencyKey& key, uint32_t shards);

/**
 * Commits starts and results by compare-and-swap of one head for each shard, many calls in one
 * write. A process that lost a shard cannot commit to it any more, so it starts nothing.
 * Callbacks come on the journal's own thread.
 */
class Journal {
public:
    Journal(const platform::Store& store, Options options);
    ~Journal();
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    using BeginCallback = std::function<void(const BeginOutcome&)>;
    /** Commits that a call starts, or says why it may not. */
    void begin(Call call, const BeginCallback& callback);
    /** Commits a result; @p stored is told whether it is in the store. */
    void finish(const IdempotencyKey& key, Result result, const std::function<void(bool)>& stored);
    /** Takes a start back that was never handed over, so that the key may be used again. */
    void abandon(const IdempotencyKey& key);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace citronspoke::journal

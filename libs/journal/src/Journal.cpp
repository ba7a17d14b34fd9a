#include "OwnerLease.h"
#include "ShardHead.h"
#include "WritePacer.h"
#include "telemetry/Telemetry.h"

#include <algorithm>
#include <set>

namespace citronspoke::journal {

namespace {

    constexpr size_t CommandQueueCapacity = 8192;
    constexpr Milliseconds IdlePollInterval { 200 };
    constexpr Milliseconds OutageBackoff { 500 };
    constexpr int CommitAttempts = 3;
    /** Each commit rewrites the whole head; from this size on, older records move to a segment. */
    constexpr size_t HeadCompactionThreshold = 200;
    constexpr size_t FinishedRecordsKeptInHead = 50;
    constexpr size_t MaxStoredBodyBytes = 32768;

    struct BeginCommand {
        Call call;
        Journal::BeginCallback callback;
    };
    struct FinishCommand {
        IdempotencyKey key;
        Result result;
        std::function<void(bool)> stored;
    };
    struct AbandonCommand {
        IdempotencyKey key;
    };
    using Command = std::variant<BeginCommand, FinishCommand, AbandonCommand>;

    /** The state of one shard in this process. */
    struct Shard {
        bool isOwned = false;
        platform::Revision revision;
        ShardHead head;
        /** Older records, read from the segments. */
        Records segmentRecords;
        /** Calls that this process was allowed to start and that have no committed result yet. */
        std::set<IdempotencyKey> running;
        std::vector<BeginCommand> pendingStarts;
        std::vector<FinishCommand> pendingResults;
        std::vector<IdempotencyKey> pendingAbandons;

        bool hasWork() const
        {
            return !pendingStarts.empty() || !pendingResults.empty() || !pendingAbandons.empty();
        }

        const Record* find(const IdempotencyKey& key) const
        {
            auto found = head.records.find(key);
            if (found != head.records.end())
                return &found->second;
            auto inSegment = segmentRecords.find(key);
            return inSegment == segmentRecords.end() ? nullptr : &inSegment->second;
        }
    };

} // namespace

JournalShard shardOf(const IdempotencyKey& key, uint32_t shards)
{
    return JournalShard(static_cast<int64_t>(stableHash(key.text()) % shards));
}

struct Journal::Implementation {
    const platform::Store& store;
    Options options;
    OwnerLease lease;
    BoundedQueue<Command> commands { CommandQueueCapacity };
    std::map<JournalShard, Shard> shards;
    WritePacer pacer;
    /** Earliest time to retry pending results after a store outage. */
    SteadyTime retryAt;
    std::optional<WorkerThread> worker;

    Implementation(const platform::Store& usedStore, Options usedOptions)
        : store(usedStore)
        , options(std::move(usedOptions))
        , lease(usedStore, options.self, options.incarnation)
    {
    }

    void run(const std::stop_token& token)
    {
        std::deque<Command> batch;
        while (commands.popAll(batch, IdlePollInterval)) {
            lease.renewIfDue();
            acceptAll(batch);
            if (hasWork()) {
                // Calls that arrive during this wait share the write.
                sleepUnlessStopped(token, std::max(options.commitInterval, pacer.delay()));
                commands.popAll(batch, Milliseconds(0));
                acceptAll(batch);
            }
            commitPending();
        }
    }

    void acceptAll(std::deque<Command>& batch)
    {
        for (Command& command : batch)
            std::visit([this](auto& body) { accept(body); }, command);
        batch.clear();
    }

    bool hasWork() const
    {
        for (const auto& [id, shard] : shards) {
            if (shard.hasWork())
                return true;
        }
        return false;
    }

    Shard& shardFor(const IdempotencyKey& key) { return shards[shardOf(key, options.shards)]; }

    void accept(BeginCommand& command)
    {
        shardFor(command.call.key).pendingStarts.push_back(std::move(command));
    }

    void accept(FinishCommand& command)
    {
        shardFor(command.key).pendingResults.push_back(std::move(command));
    }

    void accept(AbandonCommand& command)
    {
        shardFor(command.key).pendingAbandons.push_back(command.key);
    }

    std::string headKey(JournalShard shard) const
    {
        return "journal/" + options.pool.text() + "/" + std::to_string(shard.value());
    }

    void commitPending()
    {
        const bool isBackingOff = steadyNow() < retryAt;
        for (auto& [id, shard] : shards) {
            if (!shard.pendingStarts.empty() || (shard.hasWork() && !isBackingOff))
                commit(id, shard);
        }
    }

    void commit(JournalShard id, Shard& shard)
    {
        try {
            if (!shard.isOwned && !acquire(id, shard))
                return handleOwnershipLost(shard);
            commitOwned(id, shard);
        } catch (const platform::StoreUnavailable&) {
            handleStoreOutage(shard);
        }
    }

    // Replaces the whole head by compare-and-swap, which makes this process the owner. Attempted
    // only when the recorded owner is this target or its lease is gone, but safe at any time: the
    // previous owner's next swap then fails.
    bool acquire(JournalShard id, Shard& shard)
    {
        const std::optional<platform::Entry> entry = store.read(headKey(id));
        shard.head = entry ? decodeHead(entry->value) : ShardHead {};
        shard.revision = entry ? entry->revision : platform::AbsentKey;
        const bool isOurTarget = shard.head.owner == options.self;
        const bool isForeign = entry && !isOurTarget;
        if (isForeign && lease.isAlive(shard.head.owner, shard.head.incarnation))
            return false;
        failurePoint("journal.before_takeover");
        ShardHead next = shard.head;
        readSegments(shard, next);
        markUngrantedStartsNotRun(shard, next);
        next.owner = options.self;
        next.incarnation = options.incarnation;
        if (!writeHead(id, shard, std::move(next)))
            return false;
        shard.isOwned = true;
        telemetry::record(telemetry::EventKind::JournalTakenOver, {}, options.self, headKey(id));
        return true;
    }

    // Drops references to segments that no longer exist because their retention has passed.
    void readSegments(Shard& shard, ShardHead& next) const
    {
        shard.segmentRecords.clear();
        next.segments.clear();
        for (const std::string& segment : shard.head.segments) {
            const std::optional<platform::Entry> stored = store.read(segment);
            if (!stored)
                continue;
            shard.segmentRecords.merge(decodeRecords(stored->value));
            next.segments.push_back(segment);
        }
    }

    // A start that was recorded by this incarnation but is not running was committed by a write
    // with an unknown outcome. The caller received no MayStart, so the call did not run.
    void markUngrantedStartsNotRun(const Shard& shard, ShardHead& next) const
    {
        for (auto& [key, record] : next.records) {
            const bool isOurs = record.startedBy == options.incarnation;
            if (record.state == RecordState::Started && isOurs && !shard.running.contains(key))
                record.state = RecordState::NotRun;
        }
    }

    /**
     * @return false when another process has changed the head.
     * @throws platform::StoreUnavailable
     */
    bool writeHead(JournalShard id, Shard& shard, ShardHead next)
    {
        next.nonce = randomHex(16);
        pacer.noteWrite();
        const platform::WriteOutcome outcome = platform::swapWithNonce(store, headKey(id),
            shard.revision, encodeHead(next), platform::LeaseId(0), CommitAttempts);
        if (std::holds_alternative<platform::OutcomeUnknown>(outcome)) {
            // The write may still take effect. The next commit acquires the shard again and reads
            // what the head holds.
            shard.isOwned = false;
            throw platform::StoreUnavailable("journal commit");
        }
        if (std::holds_alternative<platform::Conflict>(outcome)) {
            shard.isOwned = false;
            const std::optional<platform::Entry> entry = store.read(headKey(id));
            if (entry)
                shard.head = decodeHead(entry->value);
            return false;
        }
        shard.revision = std::get<platform::Committed>(outcome).revision;
        shard.head = std::move(next);
        return true;
    }

    void commitOwned(JournalShard id, Shard& shard)
    {
        ShardHead next = shard.head;
        applyResults(shard, next);
        std::vector<BeginCommand> granted;
        std::vector<BeginCommand> pendingStarts;
        pendingStarts.swap(shard.pendingStarts);
        for (BeginCommand& command : pendingStarts) {
            const std::optional<BeginOutcome> known = outcomeFromRecord(shard, next, command.call);
            if (known) {
                command.callback(*known);
                continue;
            }
            Record& record = next.records[command.call.key];
            record = {};
            record.startedBy = options.incarnation;
            record.request = command.call.request;
            record.fingerprint = command.call.fingerprint;
            record.time = unixNow();
            granted.push_back(std::move(command));
        }
        shard.pendingStarts = std::move(granted);
        if (!shard.hasWork())
            return;
        moveOldRecordsToSegment(id, shard, next);
        failurePoint("journal.before_commit");
        if (!writeHead(id, shard, std::move(next)))
            return handleOwnershipLost(shard);
        failurePoint("journal.after_commit");
        notifyCommitted(shard);
    }

    std::optional<BeginOutcome> outcomeFromRecord(
        const Shard& shard, const ShardHead& next, const Call& call) const
    {
        auto found = next.records.find(call.key);
        const Record* record = found != next.records.end() ? &found->second : shard.find(call.key);
        if (!record || record->state == RecordState::NotRun)
            return std::nullopt;
        if (record->fingerprint != call.fingerprint)
            return KeyMismatch {};
        if (record->state == RecordState::Finished)
            return AlreadyFinished { record->result };
        if (record->startedBy == options.incarnation)
            return InProgress {};
        return Interrupted {};
    }

    static void applyResults(const Shard& shard, ShardHead& next)
    {
        for (const FinishCommand& command : shard.pendingResults) {
            auto found = next.records.find(command.key);
            if (found == next.records.end())
                continue;
            found->second.state = RecordState::Finished;
            found->second.result = command.result;
            if (command.result.body.size() > MaxStoredBodyBytes)
                found->second.result.body = "{\"note\":\"The answer was too large to be kept.\"}";
        }
        for (const IdempotencyKey& key : shard.pendingAbandons) {
            auto found = next.records.find(key);
            if (found != next.records.end() && found->second.state == RecordState::Started)
                found->second.state = RecordState::NotRun;
        }
    }

    // Segments are immutable and attached to a lease as long as the retention, so the store
    // deletes them itself.
    void moveOldRecordsToSegment(JournalShard id, Shard& shard, ShardHead& next)
    {
        if (next.records.size() < HeadCompactionThreshold)
            return;
        std::vector<std::pair<UnixMillis, IdempotencyKey>> finished;
        for (const auto& [key, record] : next.records) {
            if (record.state != RecordState::Started)
                finished.emplace_back(record.time, key);
        }
        if (finished.size() <= FinishedRecordsKeptInHead)
            return;
        std::sort(finished.begin(), finished.end());
        finished.resize(finished.size() - FinishedRecordsKeptInHead);
        Records segment;
        for (const auto& [time, key] : finished)
            segment.insert(next.records.extract(key));
        const std::string key = headKey(id) + "/segments/" + randomHex(16);
        const platform::LeaseId retention = store.grantLease(options.retention);
        const platform::WriteOutcome outcome = platform::swapWithNonce(
            store, key, platform::AbsentKey, encodeRecords(segment), retention, CommitAttempts);
        if (!std::holds_alternative<platform::Committed>(outcome))
            throw platform::StoreUnavailable("journal segment");
        next.segments.push_back(key);
        shard.segmentRecords.merge(segment);
    }

    void notifyCommitted(Shard& shard)
    {
        std::vector<BeginCommand> pendingStarts;
        std::vector<FinishCommand> pendingResults;
        pendingStarts.swap(shard.pendingStarts);
        pendingResults.swap(shard.pendingResults);
        shard.pendingAbandons.clear();
        const double calls = static_cast<double>(pendingStarts.size() + pendingResults.size());
        telemetry::count("journal_calls", {}, calls);
        telemetry::count("journal_writes");
        for (const FinishCommand& command : pendingResults) {
            shard.running.erase(command.key);
            command.stored(true);
        }
        for (const BeginCommand& command : pendingStarts) {
            shard.running.insert(command.call.key);
            command.callback(MayStart {});
        }
    }

    static void notifyStarting(Shard& shard, const BeginOutcome& outcome)
    {
        std::vector<BeginCommand> pendingStarts;
        pendingStarts.swap(shard.pendingStarts);
        for (const BeginCommand& command : pendingStarts)
            command.callback(outcome);
    }

    // Callers do not wait for their results to be stored. The results stay pending, and the journal
    // retries them, unless the shard has a new owner.
    static void notifyNotStored(Shard& shard)
    {
        for (FinishCommand& command : shard.pendingResults) {
            command.stored(false);
            command.stored = [](bool) {};
        }
    }

    // Another process owns the shard: this process can commit nothing to it any more.
    static void handleOwnershipLost(Shard& shard)
    {
        notifyStarting(shard, OwnedElsewhere { shard.head.owner });
        notifyNotStored(shard);
        shard.pendingResults.clear();
        shard.pendingAbandons.clear();
        shard.running.clear();
    }

    // The store is unreachable: starts are refused, results are kept for a later retry.
    void handleStoreOutage(Shard& shard)
    {
        notifyStarting(shard, Unavailable {});
        notifyNotStored(shard);
        retryAt = steadyNow() + OutageBackoff;
    }
};

Journal::Journal(const platform::Store& store, Options options)
    : m_implementation(std::make_unique<Implementation>(store, std::move(options)))
{
    Implementation& self = *m_implementation;
    self.worker.emplace("journal", [&self](const std::stop_token& token) { self.run(token); });
}

Journal::~Journal()
{
    m_implementation->commands.close();
    m_implementation->worker.reset();
}

void Journal::begin(Call call, const BeginCallback& callback)
{
    if (!m_implementation->commands.tryPush(BeginCommand { std::move(call), callback }))
        callback(Unavailable {});
}

void Journal::finish(
    const IdempotencyKey& key, Result result, const std::function<void(bool)>& stored)
{
    if (!m_implementation->commands.tryPush(FinishCommand { key, std::move(result), stored }))
        stored(false);
}

void Journal::abandon(const IdempotencyKey& key)
{
    m_implementation->commands.tryPush(AbandonCommand { key });
}

} // namespace citronspoke::journal

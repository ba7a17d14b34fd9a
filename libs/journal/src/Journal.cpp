#include "OwnerLease.h"
#include "ShardHead.h"
#include "WritePacer.h"
#include "telemetry/Telemetry.h"

#include <algorithm>
#include <set>

namespace citronspoke::journal {

namespace {

    constexpr size_t RingCapacity = 8192;
    constexpr Milliseconds IdleWait { 200 };
    constexpr Milliseconds OutageBackoff { 500 };
    constexpr int CommitTries = 3;
    /** Heads are rewritten whole, so older finished records move to segments. */
    constexpr size_t RecordsInHead = 200;
    constexpr size_t RecordsKeptInHead = 50;
    constexpr size_t LargestStoredBody = 32768;

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

    /** A shard as this process knows it. */
    struct Shard {
        bool isOwned = false;
        platform::Revision revision;
        ShardHead head;
        /** Finished records of the segments. */
        Records older;
        /** Calls that were granted here and have no committed result yet. */
        std::set<IdempotencyKey> running;
        std::vector<BeginCommand> starting;
        std::vector<FinishCommand> finishing;
        std::vector<IdempotencyKey> abandoning;

        bool hasWork() const
        {
            return !starting.empty() || !finishing.empty() || !abandoning.empty();
        }

        const Record* find(const IdempotencyKey& key) const
        {
            auto found = head.records.find(key);
            if (found != head.records.end())
                return &found->second;
            auto foundOlder = older.find(key);
            return foundOlder == older.end() ? nullptr : &foundOlder->second;
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
    Ring<Command> commands { RingCapacity };
    std::map<JournalShard, Shard> shards;
    WritePacer pacer;
    /** After an outage, results that are kept are tried again at this time. */
    SteadyTime retryAt;
    std::optional<Duty> duty;

    Implementation(const platform::Store& usedStore, Options usedOptions)
        : store(usedStore)
        , options(std::move(usedOptions))
        , lease(usedStore, options.self, options.incarnation)
    {
    }

    void run(const std::stop_token& token)
    {
        std::deque<Command> batch;
        while (commands.popAll(batch, IdleWait)) {
            lease.maintain();
            take(batch);
            if (hasWork()) {
                // Calls that come in this interval share the write.
                sleepUnlessStopped(token, std::max(options.commitInterval, pacer.delay()));
                commands.popAll(batch, Milliseconds(0));
                take(batch);
            }
            commitAll();
        }
    }

    void take(std::deque<Command>& batch)
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
        shardFor(command.call.key).starting.push_back(std::move(command));
    }

    void accept(FinishCommand& command)
    {
        shardFor(command.key).finishing.push_back(std::move(command));
    }

    void accept(AbandonCommand& command)
    {
        shardFor(command.key).abandoning.push_back(command.key);
    }

    std::string headKey(JournalShard shard) const
    {
        return "journal/" + options.pool.text() + "/" + std::to_string(shard.value());
    }

    void commitAll()
    {
        const bool isBackingOff = steadyNow() < retryAt;
        for (auto& [id, shard] : shards) {
            if (!shard.starting.empty() || (shard.hasWork() && !isBackingOff))
                commit(id, shard);
        }
    }

    void commit(JournalShard id, Shard& shard)
    {
        try {
            if (!shard.isOwned && !acquire(id, shard))
                return yieldShard(shard);
            commitOwned(id, shard);
        } catch (const platform::StoreUnavailable&) {
            postpone(shard);
        }
    }

    // A swap of the whole head makes this process the owner. It is tried only when the owner
    // of record is gone, but it is safe at any time: the former owner's next swap then fails.
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
        settleOwnRecords(shard, next);
        next.owner = options.self;
        next.incarnation = options.incarnation;
        if (!write(id, shard, std::move(next)))
            return false;
        shard.isOwned = true;
        telemetry::record(telemetry::EventKind::JournalTakenOver, {}, options.self, headKey(id));
        return true;
    }

    // References to segments that have passed their retention are dropped.
    void readSegments(Shard& shard, ShardHead& next) const
    {
        shard.older.clear();
        next.segments.clear();
        for (const std::string& segment : shard.head.segments) {
            const std::optional<platform::Entry> stored = store.read(segment);
            if (!stored)
                continue;
            shard.older.merge(decodeRecords(stored->value));
            next.segments.push_back(segment);
        }
    }

    // A start of this very process that is not running was committed by a write whose outcome
    // was unknown; it was never granted, so it did not run.
    void settleOwnRecords(const Shard& shard, ShardHead& next) const
    {
        for (auto& [key, record] : next.records) {
            const bool isOurs = record.startedBy == options.incarnation;
            if (record.state == RecordState::Started && isOurs && !shard.running.contains(key))
                record.state = RecordState::NotRun;
        }
    }

    /** @return false when another process has changed the head. @throws StoreUnavailable */
    bool write(JournalShard id, Shard& shard, ShardHead next)
    {
        next.nonce = randomHex(16);
        pacer.noteWrite();
        const platform::WriteOutcome outcome = platform::swapWithNonce(store, headKey(id),
            shard.revision, encodeHead(next), platform::LeaseId(0), CommitTries);
        if (std::holds_alternative<platform::OutcomeUnknown>(outcome)) {
            // The write may still take effect. Reading the head again settles what it holds.
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
        std::vector<BeginCommand> starting;
        starting.swap(shard.starting);
        for (BeginCommand& command : starting) {
            const std::optional<BeginOutcome> known = outcomeOfKnown(shard, next, command.call);
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
        shard.starting = std::move(granted);
        if (!shard.hasWork())
            return;
        moveOldRecords(id, shard, next);
        failurePoint("journal.before_commit");
        if (!write(id, shard, std::move(next)))
            return yieldShard(shard);
        failurePoint("journal.after_commit");
        answerCommitted(shard);
    }

    std::optional<BeginOutcome> outcomeOfKnown(
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
        for (const FinishCommand& command : shard.finishing) {
            auto found = next.records.find(command.key);
            if (found == next.records.end())
                continue;
            found->second.state = RecordState::Finished;
            found->second.result = command.result;
            if (command.result.body.size() > LargestStoredBody)
                found->second.result.body = "{\"note\":\"The answer was too large to be kept.\"}";
        }
        for (const IdempotencyKey& key : shard.abandoning) {
            auto found = next.records.find(key);
            if (found != next.records.end() && found->second.state == RecordState::Started)
                found->second.state = RecordState::NotRun;
        }
    }

    // Segments are immutable and hang on a lease as long as the retention, so the store itself
    // removes them.
    void moveOldRecords(JournalShard id, Shard& shard, ShardHead& next)
    {
        if (next.records.size() < RecordsInHead)
            return;
        std::vector<std::pair<UnixMillis, IdempotencyKey>> finished;
        for (const auto& [key, record] : next.records) {
            if (record.state != RecordState::Started)
                finished.emplace_back(record.time, key);
        }
        if (finished.size() <= RecordsKeptInHead)
            return;
        std::sort(finished.begin(), finished.end());
        finished.resize(finished.size() - RecordsKeptInHead);
        Records segment;
        for (const auto& [time, key] : finished)
            segment.insert(next.records.extract(key));
        const std::string key = headKey(id) + "/segments/" + randomHex(16);
        const platform::LeaseId retention = store.grantLease(options.retention);
        const platform::WriteOutcome outcome = platform::swapWithNonce(
            store, key, platform::AbsentKey, encodeRecords(segment), retention, CommitTries);
        if (!std::holds_alternative<platform::Committed>(outcome))
            throw platform::StoreUnavailable("journal segment");
        next.segments.push_back(key);
        shard.older.merge(segment);
    }

    void answerCommitted(Shard& shard)
    {
        std::vector<BeginCommand> starting;
        std::vector<FinishCommand> finishing;
        starting.swap(shard.starting);
        finishing.swap(shard.finishing);
        shard.abandoning.clear();
        const double calls = static_cast<double>(starting.size() + finishing.size());
        telemetry::count("journal_calls", {}, calls);
        telemetry::count("journal_writes");
        for (const FinishCommand& command : finishing) {
            shard.running.erase(command.key);
            command.stored(true);
        }
        for (const BeginCommand& command : starting) {
            shard.running.insert(command.call.key);
            command.callback(MayStart {});
        }
    }

    static void answerStarting(Shard& shard, const BeginOutcome& outcome)
    {
        std::vector<BeginCommand> starting;
        starting.swap(shard.starting);
        for (const BeginCommand& command : starting)
            command.callback(outcome);
    }

    // Callers need not wait for their results to be stored; the journal goes on trying.
    static void releaseFinishing(Shard& shard)
    {
        for (FinishCommand& command : shard.finishing) {
            command.stored(false);
            command.stored = [](bool) {};
        }
    }

    // Another process owns the shard: nothing can be committed to it any more.
    static void yieldShard(Shard& shard)
    {
        answerStarting(shard, OwnedElsewhere { shard.head.owner });
        releaseFinishing(shard);
        shard.finishing.clear();
        shard.abandoning.clear();
        shard.running.clear();
    }

    // The store is away: starts are refused, results are kept for later.
    void postpone(Shard& shard)
    {
        answerStarting(shard, Unavailable {});
        releaseFinishing(shard);
        retryAt = steadyNow() + OutageBackoff;
    }
};

Journal::Journal(const platform::Store& store, Options options)
    : m_implementation(std::make_unique<Implementation>(store, std::move(options)))
{
    Implementation& self = *m_implementation;
    self.duty.emplace("journal", [&self](const std::stop_token& token) { self.run(token); });
}

Journal::~Journal()
{
    m_implementation->commands.close();
    m_implementation->duty.reset();
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

#pragma once

#include "model/Model.h"

#include <span>
#include <variant>

/**
 * The messages between citronspoke's own processes. They travel in envelopes over one-way
 * connections; any message may be lost, late, doubled or out of order.
 */
namespace citronspoke::protocol {

/** What one engine or application target has to do and how fast it is. */
struct TargetLoad {
    uint32_t runningPaying = 0;
    uint32_t runningTrial = 0;
    uint32_t queuedPaying = 0;
    uint32_t queuedTrial = 0;
    uint32_t slots = 0;
    /** Prompt tokens that paying requests still have to be read. */
    uint64_t prefillBacklogTokens = 0;
    /** Output tokens that paying requests still have to be generated. */
    uint64_t decodeBacklogTokens = 0;
    double prefillTokensPerSecond = 0;
    double decodeStepMs = 0;
    /** Prompt and output tokens of the requests that arrived lately. */
    double promptDemandPerSecond = 0;
    double outputDemandPerSecond = 0;
};

/** Which organisation's body brought a target down. */
struct CrashVerdict {
    uint64_t fingerprint = 0;
    /** The crashes at which this request was among those running. */
    std::vector<uint64_t> crashes;
    UnixMillis expires;
};

/** The order that an agent carried out last, or is carrying out. */
struct OrderProgress {
    FencingNumber fencing;
    OrderSequence sequence;
    bool done = true;
};

/** Entry to agent, periodically: send me heartbeats. */
struct Hello {
    EntryId entry;
    PeerAddress address;
    std::string operatorAddress;
    ConfigRevision config;
    std::vector<CrashVerdict> verdicts;
};

/** Agent to each entry that said Hello. */
struct Heartbeat {
    TargetId target;
    PeerAddress address;
    Incarnation incarnation;
    EngineRole role = EngineRole::Mixed;
    ServingState state = ServingState::Serving;
    TargetLoad load;
    ConfigRevision config;
    OrderProgress order;
    /** Entries that this agent hears, for sharing limits among them. */
    uint32_t entries = 0;
    std::vector<CrashVerdict> verdicts;
};

/** What an agent does for a request. */
enum class WorkKind : uint8_t { Completion, ChatCompletion, ServiceCall };

/** Entry to agent: run this attempt of a request. */
struct Submit {
    RequestId request;
    AttemptNumber attempt;
    EntryId entry;
    PeerAddress replyTo;
    OrganisationId organisation;
    WorkClass workClass = WorkClass::Standard;
    WorkKind kind = WorkKind::Completion;
    UnixMillis deadline;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    /** Tokens that the caller already has; the engine goes on from here. */
    uint32_t resumeFrom = 0;
    std::string method;
    std::string path;
    std::string body;
    /** Empty for idempotent work. */
    IdempotencyKey key;
    uint64_t fingerprint = 0;
    /** Crashes that this request is suspected of. */
    std::vector<uint64_t> crashes;
    ConfigRevision config;
};

/** Entry to agent: this attempt is no longer wanted; never start it. */
struct Cancel {
    RequestId request;
    AttemptNumber attempt;
};

/** Entry to agent: send me this request's stream from a token offset on. */
struct Attach {
    RequestId request;
    /** Only the organisation that made the request may read its answer. */
    OrganisationId organisation;
    PeerAddress replyTo;
    uint32_t fromOffset = 0;
};

/** Agent to entry: the attempt is queued or running here. */
struct Accepted {
    RequestId request;
    AttemptNumber attempt;
};

/** Agent to entry: some tokens of an answer. */
struct Chunk {
    RequestId request;
    AttemptNumber attempt;
    uint32_t offset = 0;
    uint32_t tokens = 0;
    std::string text;
};

/** Agent to entry: the whole answer has been produced. */
struct Final {
    RequestId request;
    AttemptNumber attempt;
    /** Tokens of the whole answer, those before a resume included. */
    uint32_t totalTokens = 0;
    uint32_t httpStatus = 200;
    /** The body of a service call's answer; empty for completions. */
    std::string body;
    /** The answer was stored by an earlier run of the same idempotency key. */
    bool replayed = false;
};

/** Agent to entry: the attempt was not served. */
struct Refusal {
    RequestId request;
    AttemptNumber attempt;
    RefusalReason reason = RefusalReason::None;
    ExecutionState execution = ExecutionState::NotRun;
    uint32_t retryAfterMs = 0;
    /** For NotOwner: the target whose agent owns the journal shard. */
    TargetId owner;
    ConfigRevision config;
};

/** Either way: send me your configuration if it is newer than this revision. */
struct ConfigPull {
    PeerAddress replyTo;
    ConfigRevision known;
};

/** Either way: a whole configuration. */
struct ConfigPush {
    ConfigRevision revision;
    std::string document;
};

/** Controller to agent: the control shard of this pool has an order for you. */
struct OrderHint {
    PoolId pool;
};

using Message = std::variant<Hello, Heartbeat, Submit, Cancel, Attach, Accepted, Chunk, Final,
    Refusal, ConfigPull, ConfigPush, OrderHint>;

/** A batch of messages on one connection, in order, with the sender's logical clock. */
struct Envelope {
    uint64_t clock = 0;
    std::vector<Message> messages;
};

/** Bytes that are not a valid envelope. */
class MalformedEnvelope final : public Error {
public:
    std::string_view kind() const noexcept override { return "malformed_envelope"; }
    std::string describe() const override { return "A peer sent bytes that do not decode."; }
};

/** @return the encoded envelope. */
std::string encode(const Envelope& envelope);

/** @return the envelope in @p bytes. @throws MalformedEnvelope */
Envelope decode(std::string_view bytes);

} // namespace citronspoke::protocol

#pragma once

#include "model/Model.h"

#include <span>
#include <variant>

/**
 * The messages between citronspoke's own processes. They are sent in envelopes over one-way
 * connections; any message may be lost, delayed, duplicated or reordered.
 */
namespace citronspoke::protocol {

/** Current load and measured speed of one engine or application target. */
struct TargetLoad {
    uint32_t runningPaying = 0;
    uint32_t runningTrial = 0;
    uint32_t queuedPaying = 0;
    uint32_t queuedTrial = 0;
    uint32_t slots = 0;
    /** Prompt tokens of paying requests that are not prefilled yet. */
    uint64_t prefillBacklogTokens = 0;
    /** Output tokens of paying requests that are not generated yet. */
    uint64_t decodeBacklogTokens = 0;
    double prefillTokensPerSecond = 0;
    double decodeStepMs = 0;
    /** Tokens per second in recently arrived paying requests, as a decaying mean. */
    double promptDemandPerSecond = 0;
    double outputDemandPerSecond = 0;
};

/** Crashes of targets that a request of an organisation is suspected of. */
struct CrashRecord {
    /** Hash of the organisation and the content of the request. */
    uint64_t fingerprint = 0;
    /** Identifiers of the crashes during which such a request was running. */
    std::vector<uint64_t> crashes;
    UnixMillis expires;
};

/** The order that an agent executed last or is executing. */
struct OrderProgress {
    FencingNumber fencing;
    OrderSequence sequence;
    bool done = true;
};

/** Entry to agent, periodically: subscribes to the agent's heartbeats. */
struct Subscribe {
    EntryId entry;
    PeerAddress address;
    std::string operatorAddress;
    ConfigRevision configRevision;
    std::vector<CrashRecord> crashRecords;
};

/** Agent to each subscribed entry, periodically and on changes: the state of its target. */
struct Heartbeat {
    TargetId target;
    PeerAddress address;
    Incarnation incarnation;
    EngineRole role = EngineRole::Mixed;
    ServingState state = ServingState::Serving;
    TargetLoad load;
    ConfigRevision configRevision;
    OrderProgress orderProgress;
    /** Number of entries subscribed to this agent; each takes its share of common limits. */
    uint32_t entryCount = 0;
    std::vector<CrashRecord> crashRecords;
};

/** The kind of call that an agent makes to its target. */
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
    /** Number of output tokens that the caller already has; the engine continues after them. */
    uint32_t resumeFrom = 0;
    std::string method;
    std::string path;
    std::string body;
    /** Empty for idempotent requests. */
    IdempotencyKey key;
    /** Hash of the organisation and the content of the request. */
    uint64_t fingerprint = 0;
    /** Identifiers of the crashes that this request is suspected of. */
    std::vector<uint64_t> crashes;
    ConfigRevision configRevision;
};

/** Entry to agent: this attempt and all earlier ones are cancelled and must not start later. */
struct Cancel {
    RequestId request;
    AttemptNumber attempt;
};

/** Entry to agent: asks for this request's stream from a token offset on. */
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

/** Agent to entry: consecutive output tokens of an answer. */
struct Chunk {
    RequestId request;
    AttemptNumber attempt;
    /** Position of the first token in the answer. */
    uint32_t offset = 0;
    /** Number of tokens in @c text. */
    uint32_t tokens = 0;
    std::string text;
};

/** Agent to entry: the answer is complete. */
struct Final {
    RequestId request;
    AttemptNumber attempt;
    /** Number of tokens in the whole answer, including those before a resume. */
    uint32_t totalTokens = 0;
    uint32_t httpStatus = 200;
    /** The response body of a service call; empty for completions. */
    std::string body;
    /** The answer is the stored result of an earlier run with the same idempotency key. */
    bool replayed = false;
};

/** Agent to entry: the attempt was refused or failed. */
struct Refusal {
    RequestId request;
    AttemptNumber attempt;
    RefusalReason reason = RefusalReason::None;
    ExecutionState execution = ExecutionState::NotRun;
    uint32_t retryAfterMs = 0;
    /** For NotOwner: the target whose agent owns the journal shard. */
    TargetId owner;
    ConfigRevision configRevision;
};

/** Between entry and agent: asks for the peer's configuration if newer than @c knownRevision. */
struct ConfigPull {
    PeerAddress replyTo;
    ConfigRevision knownRevision;
};

/** Between entry and agent: a complete configuration document. */
struct ConfigPush {
    ConfigRevision revision;
    std::string document;
};

/** Controller to agent: the pool's control shard may hold a new order for this agent. */
struct OrderHint {
    PoolId pool;
};

using Message = std::variant<Subscribe, Heartbeat, Submit, Cancel, Attach, Accepted, Chunk, Final,
    Refusal, ConfigPull, ConfigPush, OrderHint>;

/** A batch of messages on one connection, in order, with the sender's logical clock. */
struct Envelope {
    uint64_t clock = 0;
    std::vector<Message> messages;
};

/** Thrown for bytes that are not a valid envelope. */
class MalformedEnvelope final : public Error {
public:
    std::string_view kind() const noexcept override { return "malformed_envelope"; }
    std::string describe() const override { return "A peer sent a malformed message envelope."; }
};

/** @return the encoded envelope. */
std::string encode(const Envelope& envelope);

/** @return the envelope encoded in @p bytes. @throws MalformedEnvelope */
Envelope decode(std::string_view bytes);

} // namespace citronspoke::protocol

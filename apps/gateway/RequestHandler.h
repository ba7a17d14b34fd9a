#pragma once

#include "GatewayContext.h"

namespace citronspoke::gateway {

/** A caller's complete request. */
struct ReceivedRequest {
    http1::RequestHead head;
    /** Null without a body. */
    std::shared_ptr<http1::Body> body;
    SteadyTime receivedAt;
    /** What the request holds; null where nobody counts it. */
    std::unique_ptr<capacity::HeldMemory> held {};

    size_t memoryBytes() const noexcept
    {
        return head.memoryBytes() + (body ? body->memoryBytes() : 0);
    }
    std::span<const std::string> bodyBlocks() const noexcept
    {
        return body ? body->blocks() : std::span<const std::string>();
    }
};

/** Writes the response to one request to its caller. */
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;
    /** Writes a complete response. @param body null for none. */
    virtual void respond(uint32_t status, std::string_view reason, const http1::Headers& headers,
        std::shared_ptr<const http1::Body> body)
        = 0;
    /** Begins a response whose body follows in parts. */
    virtual void beginBody(uint32_t status, std::string_view reason, const http1::Headers& headers)
        = 0;
    virtual void writeBody(std::string_view bytes) = 0;
    /** @return whether the caller reads so slowly that no more should be written now. */
    virtual bool isFull() const { return false; }
    virtual void endBody() = 0;
    /** Breaks the response off so that it cannot look complete. */
    virtual void abort() = 0;
};

/**
 * Serves one request: finds its route, sends it to targets and relays the response. Each request to
 * a target is an attempt; a request that may run at most once gets another attempt only when the
 * previous one has certainly not run. Used by the event loop's thread only.
 */
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    RequestHandler(GatewayContext& context, ReceivedRequest request, ResponseWriter& writer);
    ~RequestHandler();
    RequestHandler(const RequestHandler&) = delete;
    RequestHandler& operator=(const RequestHandler&) = delete;

    void start();
    /** The caller has closed its connection. */
    void callerLeft();
    /** The writer is no longer full. */
    void continueRelay();
    /** The process stops: ends the request with a response, or breaks off one that has begun. */
    void endForStop();

private:
    /** What an attempt asks of its target: a whole run, a prefill or a decode. */
    enum class Step : uint8_t { RunWhole, Prefill, Decode };
    /** @return the step as log lines name it: "run", "read" for a prefill, "make" for a decode. */
    static std::string_view stepName(Step step);
    /**
     * What is known of an attempt when it is over. NotExecuted: the target states that it did not
     * run the request. NotSent: nothing was sent. Unknown: it may have run.
     */
    enum class Outcome : uint8_t { Served, FailedByTarget, NotExecuted, NotSent, Unknown };

    /** When the end of a prefill is expected, from the placement. */
    struct ExpectedTime {
        Milliseconds time { 0 };
        /** Mean age of what was known of other gateways' work. */
        Milliseconds reportAge { 0 };
    };

    struct Attempt {
        uint32_t number = 0;
        Step step = Step::RunWhole;
        fleet::TargetRecord target;
        /** Work in flight at the target; zero once the attempt is over. */
        dispatch::Load load;
        /** Tokens of other prompts that the target prefills before, as far as is known. */
        uint64_t tokensAhead = 0;
        /** Tokens of this prompt that the target is expected to prefill. */
        uint64_t tokensToPrefill = 0;
        std::optional<ExpectedTime> expected;
        SteadyTime startedAt;
        channels::ExchangePointer exchange;
        std::optional<http1::ResponseHead> head;
        SteadyTime headReceivedAt;
        adapter::ResponseInfo responseInfo;
        /** The response as far as it is held until it is whole. */
        std::shared_ptr<http1::Body> body = std::make_shared<http1::Body>();
        http1::EventSplitter splitter;
        /** Of an event that has been received in part; null for small ones. */
        std::unique_ptr<capacity::HeldMemory> heldEvent;
        /** Complete events that the target has sent. */
        uint64_t events = 0;
        /** The target has sent an event with an id, or the whole response. */
        bool hasAnswerBegun = false;
        /** Its body is streamed to the caller as it arrives. */
        bool isRelayed = false;
        /** An unfinished event was dropped, so what follows is no event. */
        bool isCutShort = false;
        /** The target was not read for a time because the caller reads too slowly; targets cut off
         * responses that nobody reads. */
        bool wasPaused = false;
        /** Expected engine time and wait of a prefill, in deployments with organisations. */
        shares::EngineMilliseconds engineTime = 0;
        Milliseconds expectedWait { 0 };
    };

    /** A prompt whose KV cache a prefill engine holds for a decode engine. */
    struct PrefilledPrompt {
        fleet::TargetRecord prefillEngine;
        std::string handle;
    };

    /** A booked time at which a target with a request limit, or after a pause, takes a request. */
    struct Turn {
        TargetId target;
        SteadyTime at;
    };

    /** A target's own response that is not a success. */
    struct TargetFailure {
        http1::ResponseHead head;
        std::shared_ptr<const http1::Body> body;
    };

    using TargetStates = std::vector<dispatch::TargetState*>;
    /** An engine's report lists its runs. */
    static constexpr size_t MaxReportBytes = size_t { 64 } << 10;

    /** @return false when the request was refused. */
    bool findRoute();
    /**
     * Assigns the request to a pool of its route, and counts it there.
     * @return false when the request was refused.
     */
    bool enterPool(const PoolId& pool);
    /** @return a pool of the route, drawn by the weights. */
    const PoolId& drawPool();
    /** Refuses a request that may last longer than the process. @return whether it was refused. */
    bool refuseBeforeStop();
    /**
     * Refuses the request unless the newest declaration allows it: its route is public, or its key
     * belongs to an organisation. Called before each send.
     * @return whether it was refused.
     */
    bool endWhenKeyRefused();
    /** @return whether the newest declaration requires no key for the request. */
    bool isPublic() const;
    void refuseKey(std::string_view reason, std::string_view cause, uint32_t status);
    /** @return the priority of the organisation, or else of the route. */
    uint32_t priority() const;
    /** Sends a stream that the caller resumes once it is known where it began. */
    void resumeStream();
    /** Enters the pool that began the stream, if it can be reached, and goes on there. */
    void goOnFrom(const streams::Origin& origin);
    void sendNext();
    // Each returns whether the request is taken care of: sent, waiting for its turn or refused.
    bool sendWhole();
    bool sendPrefill();
    bool sendDecode();
    void send(Step step, const fleet::TargetRecord& target, const dispatch::Load& load,
        adapter::TargetRequestFields fields);
    /** @return null unless requests are spread evenly. */
    const dispatch::EvenLoad* nextEvenLoad(ChoiceKind kind);
    void noteWorkSent();

    /** Removes the targets whose version is not the one that began the stream, if it has begun. */
    void keepStreamVersion(TargetStates& states) const;
    bool isWithoutVersions(const fleet::PoolTraits& pool) const;
    /** @return the engines that decode, as far as the request may go there. */
    TargetStates decodeEngines() const;
    /**
     * Before a stream goes on at a target: asks the target for its incarnation. It may have
     * restarted under its id, with another version, and its record may be stale.
     * @return whether the request waits for the reply; sendNext() follows it.
     */
    bool confirmIncarnation(const fleet::TargetRecord& target);
    void onReport(
        const fleet::Incarnation& expected, const std::optional<channels::CallResponse>& response);
    /** @return whether a target is left at which a stream that has begun can go on. */
    bool hasTargetToGoOn() const;
    /** @return the targets that take a request now; for a booked turn that has come, its target. */
    TargetStates readyTargets(const TargetStates& states);
    /** @return the earliest turn at a target that is not excluded; it is not booked. */
    std::optional<Turn> earliestTurn(const TargetStates& states, SteadyTime now);
    /**
     * Waits for the earliest turn, or refuses the request when that is too late.
     * @return false when there is no target to wait for.
     */
    bool awaitTurn(const TargetStates& states);
    /**
     * Before a prompt is prefilled: books a turn when all decode engines have limits.
     * @return false when the request was refused, because there is none in time.
     */
    bool bookDecodeTurn(const TargetStates& decodeEngines);
    bool isInTime(const Turn& turn) const;
    /** @return whether a decode engine can also prefill the prompt in time. */
    bool mayRunWhole() const;
    /** @return time until an engine that is becoming a decode engine serves; 0 without one. */
    Milliseconds timeToNextDecodeEngine() const;
    /** Refuses the request because no target has a turn in time. @param turn the earliest, if any.
     */
    void refuseWithoutTurn(const TargetStates& states, const std::optional<Turn>& turn);
    /** @return whether the target of a booked turn still takes a request then. */
    bool isTurnValid(const Turn& turn, const fleet::TargetRecord& target) const;
    void cancelTurn(std::optional<Turn>& turn);

    /** @return the shares of the pool; null where the declaration has no organisations. */
    PoolShares* poolShares();
    dispatch::PromptGoal promptGoal();
    // Each returns whether the request was refused, because it can no longer be served within its
    // caller's time limit.
    bool refuseUnmeetablePrompt(const dispatch::PromptPlacement& placement);
    bool refuseUnmeetableRun(const dispatch::TargetState& target);
    bool refuseUnmeetable(PoolShares& shares, Milliseconds wait, Milliseconds duration);
    /** Adds the engine time of a prompt that was sent to its organisation's use. */
    void notePromptSent(const dispatch::PromptPlacement& placement);
    /** The current attempt is over; does nothing unless it is a prefill. */
    void notePrefillEnded(bool hasRun);
    /** Adds the engine time of a run or a decode to its organisation's use. */
    void noteRunFinished();

    bool isOwnResponse(const http1::ResponseHead& head) const;
    /** Counts a stream that goes on at the current attempt's target. */
    void countResume() const;
    /** Follows the request limit that the target states in the current response. */
    void noteStatedLimit();
    /** Follows what the target states about itself in the current response. */
    void noteTargetNotice();
    /** A target has begun to run the request; it is counted once. */
    void noteRunBegun();
    void onHead(const http1::ResponseHead& head);
    void onBody(std::string_view bytes);
    void relayEvents(std::string_view bytes);
    /**
     * Counts the memory of an event that has been received in part.
     * @param hasProgressed another event was completed since the last call.
     * @return whether there is enough.
     */
    bool countEvent(bool hasProgressed);
    /** The memory of the unfinished event is needed. */
    void dropEvent();
    /** Counts the memory of the request and of the responses that are held for it.
     * @return whether the response should be read on. */
    bool countHeld();
    /** There is memory again for a response that is held until it is whole. */
    void continueHolding();
    /** Breaks the attempt off because its target sends more than any response has, or more than
     * there is memory for. */
    void endOversizedAttempt();
    void onEnd(channels::ExchangeEnd end);

    Outcome classify(channels::ExchangeEnd end) const;
    void afterAttempt(Outcome outcome);
    /** @return what a "not run" response shows of the target's health. */
    dispatch::AttemptResult resultOfRefusal() const;
    void afterPrefill(Outcome outcome);
    void afterRun(Outcome outcome);
    void finishServed();
    /** Adds a finished decode to the measured demand. */
    void noteDecodeFinished();
    /** A target ran the request and responded with a failure of its own. */
    void afterTargetFailure();
    /** Forwards a target's response to the caller. */
    void forwardFailure(const TargetFailure& failure);
    /** Starts another attempt or ends the request. @param mayHaveRun the attempt may have run. */
    void retryOrFinish(bool mayHaveRun, std::string_view cause);
    /**
     * Spends the retry budget when a retry is allowed.
     * @param sends requests to targets that the retry takes from the budget.
     * @param retryBlocker set to the reason against a retry when there is one.
     */
    bool mayRetry(uint32_t sends, std::string_view& retryBlocker);
    /** @return whether the retry budget covers a retry with this many sends, which it then has
     * paid. */
    bool spendRetryBudget(uint32_t sends);
    void onDeadline();
    /** @return whether a target may be running the request, or may have run it. */
    bool mayHaveRun() const;

    void refuse(uint32_t status, std::string_view cause, Milliseconds retryAfter);
    void fail(std::string_view cause);
    void finish(std::string_view outcome, uint32_t status, std::string_view cause);
    /** @return the same hash for each attempt of the caller at the same work. */
    uint64_t fingerprint();
    /** A quarantine that forbids to run the request. */
    struct QuarantineHold {
        std::string_view cause;
        Milliseconds remaining { 0 };
        /** The quarantined part of the prompt; empty when it is the request as a whole. */
        std::string part;
    };
    std::optional<QuarantineHold> quarantineHold();
    /** Refuses or fails the request when it is quarantined. @return whether it is. */
    bool endWhenQuarantined();
    /** Follows what the end of a run shows of requests and prompt parts that crash targets. */
    void noteRunEnded(Outcome outcome, channels::ExchangeEnd end);
    /** The current run has shown that its prompt does not crash engines. */
    void noteAnswerBegun();
    void endAttempt(dispatch::AttemptResult result);
    void releasePrompt();
    Milliseconds timeLeft() const;
    Milliseconds age() const;

    GatewayContext& m_context;
    ReceivedRequest m_request;
    ResponseWriter* m_writer;
    adapter::CallerRequestInfo m_callerInfo;
    std::optional<uint64_t> m_fingerprint;
    /** The parts of its prompt that others may share. */
    std::vector<quarantine::PromptPartId> m_sharedParts;
    std::shared_ptr<const dispatch::RouteTable> m_routes;
    const fleet::Route* m_route = nullptr;
    /** Null until the request has a pool; a stream that is resumed goes to the pool that began it.
     */
    const fleet::PoolTraits* m_pool = nullptr;
    /** That of the caller's key; empty where the deployment declares no organisations, and for
     * public routes without a known key. */
    OrganisationId m_organisation;
    std::optional<uint32_t> m_organisationPriority;
    /** Of the key that the request carries; none when that cannot be a valid one. */
    std::optional<fleet::KeyDigest> m_keyDigest;
    bool m_carriesKey = false;
    /** A declaration in force since the request arrived has organisations, so targets get the
     * organisation in place of the key. */
    bool m_hidesKey = false;
    bool m_isOverShare = false;
    /** Its prompt was counted against the share of its organisation. */
    bool m_isClassified = false;
    SteadyTime m_deadline;
    channels::Timer m_deadlineTimer;
    std::unique_ptr<Attempt> m_attempt;
    /** For the next send. */
    std::optional<Turn> m_turn;
    /** For the decode of a prompt that is being prefilled. */
    std::optional<Turn> m_decodeTurn;
    /** The next send uses a turn that was booked. */
    bool m_isTurnBooked = false;
    /** Of the next attempt. */
    std::optional<ExpectedTime> m_expected;
    channels::Timer m_turnTimer;
    std::optional<PrefilledPrompt> m_prefilledPrompt;
    uint32_t m_attempts = 0;
    /** Targets that have, or may have, run the request. */
    std::set<TargetId> m_ranOn;
    /** Engines whose response to a prefill was lost once. */
    std::set<TargetId> m_lostResponses;
    /** Targets that should get no further attempt. */
    std::set<TargetId> m_excludedTargets;
    std::set<TargetId> m_targetsSentTo;
    /** Forwarded to the caller when no other target serves the request. */
    std::optional<TargetFailure> m_targetFailure;
    std::optional<uint64_t> m_lastEventId;
    /** Of the target that began the stream, once it has begun; empty when it is not known. */
    std::optional<SoftwareVersion> m_streamVersion;
    std::shared_ptr<void> m_originSearch;
    std::optional<fleet::Incarnation> m_confirmed;
    std::shared_ptr<void> m_reportCall;
    bool m_hasBegunResponse = false;
    bool m_isRunCounted = false;
    bool m_isOver = false;
};

} // namespace citronspoke::gateway

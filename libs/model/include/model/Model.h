#pragma once

#include "kernel/Kernel.h"

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

/** Identifiers, units and enumerations that all parts of citronspoke share. */
namespace citronspoke {

/** A text identifier; identifiers with different tags do not convert into each other. */
template <typename Tag> class Id {
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }
    const std::string& text() const noexcept { return m_value; }
    bool empty() const noexcept { return m_value.empty(); }
    auto operator<=>(const Id&) const = default;

private:
    std::string m_value;
};

/** An integer; numbers with different tags do not convert into each other. */
template <typename Tag> class Number {
public:
    constexpr Number() = default;
    constexpr explicit Number(int64_t value)
        : m_value(value)
    {
    }
    constexpr int64_t value() const noexcept { return m_value; }
    constexpr Number next() const noexcept { return Number(m_value + 1); }
    auto operator<=>(const Number&) const = default;

private:
    int64_t m_value = 0;
};

using TargetId = Id<struct TargetTag>;
using EntryId = Id<struct EntryTag>;
using OrganisationId = Id<struct OrganisationTag>;
using TierId = Id<struct TierTag>;
using ModelId = Id<struct ModelTag>;
using PoolId = Id<struct PoolTag>;
using RequestId = Id<struct RequestTag>;
using ZoneId = Id<struct ZoneTag>;
/** The version of a target's software; not that of its model's weights. */
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;
/** The address at which a process receives messages from its peers, "tcp://IP:PORT". */
using PeerAddress = Id<struct PeerAddressTag>;
/** Identifies one run of a process; each start of the process has a new one. */
using Incarnation = Id<struct IncarnationTag>;

using FencingNumber = Number<struct FencingTag>;
using OrderSequence = Number<struct OrderSequenceTag>;
using ConfigRevision = Number<struct ConfigRevisionTag>;
using AttemptNumber = Number<struct AttemptTag>;
using JournalShard = Number<struct JournalShardTag>;

using Milliseconds = std::chrono::milliseconds;
/** Wall-clock time in milliseconds since 1970 (UTC); the form in which processes exchange times. */
using UnixMillis = Number<struct UnixMillisTag>;
using SteadyTime = std::chrono::steady_clock::time_point;

/** @return the wall-clock time; it may jump when the clock is set. */
UnixMillis unixNow();
/** @return the monotonic time; comparable only within one process. */
SteadyTime steadyNow();

/** What a target serves: requests to a model or calls of an application. */
enum class TargetKind : uint8_t { ModelEngine, Application };

/** Which phases of inference a model engine runs: prefill, decode or both (Mixed). */
enum class EngineRole : uint8_t { Mixed, Prefill, Decode };

/** Priority classes of requests; lower values are served first. */
enum class WorkClass : uint8_t { Interactive, Standard, Batch, Trial };

/** Whether an agent accepts requests. */
enum class ServingState : uint8_t { Serving, Changing, Leaving };

/** Whether a refused or failed request was executed, as far as it is known. */
enum class ExecutionState : uint8_t { NotRun, MayHaveRun, Completed };

/** Why a request was not served. */
enum class RefusalReason : uint8_t {
    None,
    MalformedRequest,
    UnknownKey,
    UnknownModel,
    ModelNotAllowed,
    BodyTooLarge,
    LimitExceeded,
    NoCapacity,
    DeadlineTooShort,
    NoTarget,
    Leaving,
    StaleConfiguration,
    NotOwner,
    JournalUnavailable,
    KeyReused,
    TargetFailed,
    Quarantined,
    DeadlinePassed,
    Cancelled,
    RetryBudgetSpent,
    InterruptedRun,
    UnknownRequest,
};

/** @return the name used in messages, settings and logs; "unknown" for a value out of range. */
std::string_view toText(TargetKind);
std::string_view toText(EngineRole);
std::string_view toText(WorkClass);
std::string_view toText(ServingState);
std::string_view toText(ExecutionState);
std::string_view toText(RefusalReason);
/** @return the value with that name; none when no value has it. */
std::optional<EngineRole> engineRoleFromText(std::string_view);
std::optional<WorkClass> workClassFromText(std::string_view);

/**
 * @return @p characters random hexadecimal digits, for identifiers; not cryptographically secure.
 */
std::string randomHex(size_t characters);

/** 64-bit FNV-1a hash: the same in every process and build, so that processes can agree on it. */
uint64_t stableHash(std::string_view text) noexcept;
/** @return the hash of a text that follows after another one, which has the hash @p before. */
uint64_t stableHash(std::string_view text, uint64_t before) noexcept;

/**
 * @return the rank of a candidate for a key, as rendezvous hashing compares them; unlike the plain
 *         hash of both texts, it differs widely between similar texts.
 */
uint64_t rendezvousRank(std::string_view candidate, std::string_view key);

/**
 * @param candidates in any order, each once.
 * @param count most candidates to return.
 * @return the candidates with the lowest ranks for a key, the lowest first; all processes that know
 *         the same candidates find the same ones without communication.
 */
std::vector<EntryId> firstByRendezvousRank(
    std::span<const EntryId> candidates, std::string_view key, size_t count);

/**
 * @return @p base changed at random by up to 25 % in either direction, so that periodic work of
 * several processes does not coincide.
 */
Milliseconds jittered(Milliseconds base);

/** @return a random delay between 0 and @p longest, so that processes spread work that they all
 * begin at the same time. */
Milliseconds randomDelay(Milliseconds longest);

} // namespace citronspoke

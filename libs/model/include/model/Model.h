#pragma once

#include "kernel/Kernel.h"

#include <compare>
#include <cstdint>

/** Identifiers, units and the words that all parts of citronspoke share. */
namespace citronspoke {

/** A textual identifier that cannot be mixed up with one of another kind. */
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

/** A counter that cannot be mixed up with one of another kind. */
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
using IdempotencyKey = Id<struct IdempotencyKeyTag>;
/** Where a process receives messages from its peers, "tcp://IP:PORT". */
using PeerAddress = Id<struct PeerAddressTag>;
/** Identifies one life of a process; a restart has another. */
using Incarnation = Id<struct IncarnationTag>;

using FencingNumber = Number<struct FencingTag>;
using OrderSequence = Number<struct OrderSequenceTag>;
using ConfigRevision = Number<struct ConfigRevisionTag>;
using AttemptNumber = Number<struct AttemptTag>;
using JournalShard = Number<struct JournalShardTag>;

using Milliseconds = std::chrono::milliseconds;
/** Wall-clock time in milliseconds since 1970, as it travels between processes. */
using UnixMillis = Number<struct UnixMillisTag>;
using SteadyTime = std::chrono::steady_clock::time_point;

UnixMillis unixNow();
SteadyTime steadyNow();

/** What a target does. */
enum class TargetKind : uint8_t { ModelEngine, Application };

/** How a model engine divides its steps between prompts and output. */
enum class EngineRole : uint8_t { Mixed, Prefill, Decode };

/** The order in which work is served; lower values go first. */
enum class WorkClass : uint8_t { Interactive, Standard, Batch, Trial };

/** What an agent lets in. */
enum class ServingState : uint8_t { Serving, Changing, Leaving };

/** What is known of whether a refused or failed request was executed. */
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

std::string_view toText(TargetKind);
std::string_view toText(EngineRole);
std::string_view toText(WorkClass);
std::string_view toText(ServingState);
std::string_view toText(ExecutionState);
std::string_view toText(RefusalReason);
std::optional<EngineRole> engineRoleFromText(std::string_view);
std::optional<WorkClass> workClassFromText(std::string_view);

/** @return a random identifier of @p characters hexadecimal digits. */
std::string randomHex(size_t characters);

/** Stable 64-bit FNV-1a hash, the same in every process and build. */
uint64_t stableHash(std::string_view text) noexcept;

/** @return @p base varied by up to a quarter either way, so that periodic work spreads out. */
Milliseconds jittered(Milliseconds base);

} // namespace citronspoke

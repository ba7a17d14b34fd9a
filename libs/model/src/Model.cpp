#include "model/Model.h"

#include <algorithm>
#include <array>
#include <random>

namespace citronspoke {

namespace {

    constexpr std::array<std::string_view, 2> TargetKindNames { "model_engine", "application" };
    constexpr std::array<std::string_view, 3> EngineRoleNames { "mixed", "prefill", "decode" };
    constexpr std::array<std::string_view, 4> WorkClassNames { "interactive", "standard", "batch",
        "trial" };
    constexpr std::array<std::string_view, 3> ServingStateNames { "serving", "changing",
        "leaving" };
    constexpr std::array<std::string_view, 3> ExecutionStateNames { "not_run", "may_have_run",
        "completed" };
    constexpr std::array<std::string_view, 22> RefusalReasonNames { "none", "malformed_request",
        "unknown_key", "unknown_model", "model_not_allowed", "body_too_large", "limit_exceeded",
        "no_capacity", "deadline_too_short", "no_target", "leaving", "stale_configuration",
        "not_owner", "journal_unavailable", "key_reused", "target_failed", "quarantined",
        "deadline_passed", "cancelled", "retry_budget_spent", "interrupted_run",
        "unknown_request" };

    template <typename Enum, size_t Size>
    std::string_view nameOf(const std::array<std::string_view, Size>& names, Enum value)
    {
        const size_t index = static_cast<size_t>(value);
        return index < Size ? names[index] : std::string_view("unknown");
    }

    template <typename Enum, size_t Size>
    std::optional<Enum> valueOf(
        const std::array<std::string_view, Size>& names, std::string_view text)
    {
        for (size_t index = 0; index < Size; ++index) {
            if (names[index] == text)
                return static_cast<Enum>(index);
        }
        return std::nullopt;
    }

    std::mt19937_64& randomSource()
    {
        thread_local std::mt19937_64 source { std::random_device {}() };
        return source;
    }

} // namespace

std::string_view toText(TargetKind value) { return nameOf(TargetKindNames, value); }
std::string_view toText(EngineRole value) { return nameOf(EngineRoleNames, value); }
std::string_view toText(WorkClass value) { return nameOf(WorkClassNames, value); }
std::string_view toText(ServingState value) { return nameOf(ServingStateNames, value); }
std::string_view toText(ExecutionState value) { return nameOf(ExecutionStateNames, value); }
std::string_view toText(RefusalReason value) { return nameOf(RefusalReasonNames, value); }

std::optional<EngineRole> engineRoleFromText(std::string_view text)
{
    return valueOf<EngineRole>(EngineRoleNames, text);
}

std::optional<WorkClass> workClassFromText(std::string_view text)
{
    return valueOf<WorkClass>(WorkClassNames, text);
}

UnixMillis unixNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return UnixMillis(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count());
}

SteadyTime steadyNow() { return std::chrono::steady_clock::now(); }

std::string randomHex(size_t characters)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(characters);
    while (text.size() < characters)
        text.push_back(Digits[randomSource()() % Digits.size()]);
    return text;
}

uint64_t stableHash(std::string_view text) noexcept
{
    constexpr uint64_t OffsetBasis = 14695981039346656037ULL;
    return stableHash(text, OffsetBasis);
}

uint64_t stableHash(std::string_view text, uint64_t before) noexcept
{
    constexpr uint64_t Prime = 1099511628211ULL;
    uint64_t hash = before;
    for (const char character : text) {
        hash ^= static_cast<uint8_t>(character);
        hash *= Prime;
    }
    return hash;
}

uint64_t rendezvousRank(std::string_view candidate, std::string_view key)
{
    constexpr uint64_t Multiplier = 0xff51afd7ed558ccdULL;
    constexpr int HalfBits = 32;
    uint64_t rank = stableHash(std::string(candidate).append("/").append(key));
    rank ^= rank >> HalfBits;
    rank *= Multiplier;
    return rank ^ (rank >> HalfBits);
}

std::vector<EntryId> firstByRendezvousRank(
    std::span<const EntryId> candidates, std::string_view key, size_t count)
{
    std::vector<std::pair<uint64_t, EntryId>> ranked;
    ranked.reserve(candidates.size());
    for (const EntryId& candidate : candidates)
        ranked.emplace_back(rendezvousRank(candidate.text(), key), candidate);
    const auto end = ranked.begin() + static_cast<ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::vector<EntryId> first;
    for (auto candidate = ranked.begin(); candidate != end; ++candidate)
        first.push_back(candidate->second);
    return first;
}

Milliseconds randomDelay(Milliseconds longest)
{
    std::uniform_int_distribution<int64_t> delay(0, longest.count());
    return Milliseconds(delay(randomSource()));
}

Milliseconds jittered(Milliseconds base)
{
    std::uniform_real_distribution<double> factor(0.75, 1.25);
    return Milliseconds(
        static_cast<int64_t>(static_cast<double>(base.count()) * factor(randomSource())));
}

} // namespace citronspoke

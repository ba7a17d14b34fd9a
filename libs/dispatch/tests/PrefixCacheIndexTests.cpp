#include "dispatch/PrefixCacheIndex.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

constexpr size_t MaxBytes = size_t { 1 } << 20;
constexpr uint64_t CapacityTokens = 400000;

std::vector<fleet::PromptPart> distinctParts(size_t first, size_t count, uint32_t tokens)
{
    std::vector<fleet::PromptPart> parts;
    for (size_t number = first; number < first + count; ++number)
        parts.push_back({ "part-" + std::to_string(number), tokens });
    return parts;
}

} // namespace

// Guards against callers whose prompts have many parts of few tokens, or of none.
Test(prefix_cache_index, stays_within_its_memory)
{
    PrefixCacheIndex index(MaxBytes);
    const TargetId busy("busy");
    const TargetId quiet("quiet");
    const std::vector<fleet::PromptPart> known = distinctParts(0, 3, 1000);
    index.notePrefilled(quiet, CapacityTokens, known);
    constexpr size_t PartsPerPrompt = 1000;
    for (size_t prompt = 1; prompt <= 100; ++prompt) {
        index.noteSent(
            busy, CapacityTokens, distinctParts(prompt * PartsPerPrompt, PartsPerPrompt, 0));
        cr_assert_leq(index.memoryBytes(), MaxBytes);
    }
    cr_expect_eq(index.cachedPrefix(quiet, known).readyTokens, 3000U);
    index.removeEngine(busy);
    index.removeEngine(quiet);
    cr_expect_eq(index.memoryBytes(), 0U);
}

Test(prefix_cache_index, parts_that_were_not_prefilled_take_no_memory)
{
    PrefixCacheIndex index(MaxBytes);
    const TargetId engine("engine");
    const std::vector<fleet::PromptPart> parts = distinctParts(0, 10, 100);
    index.noteSent(engine, CapacityTokens, parts);
    cr_expect_gt(index.memoryBytes(), 0U);
    index.noteNotPrefilled(engine, parts);
    cr_expect_eq(index.memoryBytes(), 0U);
}

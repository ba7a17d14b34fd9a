#include "AnswerAssembly.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace citronspoke;
using namespace citronspoke::entry;

namespace {

constexpr SteadyTime Start {};

std::string textOf(uint32_t offset) { return std::to_string(offset) + " "; }

} // namespace

Test(answer_assembly, delivers_each_token_once_and_in_order_for_any_chunk_order)
{
    const bool holds = rc::check("late, duplicated and shuffled chunks", [] {
        const uint32_t total = *rc::gen::inRange<uint32_t>(1, 30);
        const auto offsets
            = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, total));
        AnswerAssembly assembly;
        std::vector<uint32_t> delivered;
        const AnswerAssembly::Deliver deliver = [&](uint32_t offset, std::string_view text) {
            RC_ASSERT(text == textOf(offset));
            delivered.push_back(offset);
        };
        assembly.setTotalTokens(total, Start);
        for (const uint32_t offset : offsets)
            assembly.addToken(offset, textOf(offset), Start, deliver);
        for (size_t index = 0; index < delivered.size(); ++index)
            RC_ASSERT(delivered[index] == index);
        RC_ASSERT(assembly.isComplete() == (delivered.size() == total));
        for (uint32_t offset = 0; offset < total; ++offset)
            assembly.addToken(offset, textOf(offset), Start, deliver);
        RC_ASSERT(assembly.isComplete());
        RC_ASSERT(delivered.size() == total);
    });
    cr_assert(holds);
}

Test(answer_assembly, reports_a_gap_that_exceeds_its_time_limit)
{
    AnswerAssembly assembly;
    const AnswerAssembly::Deliver deliver = [](uint32_t, std::string_view) {};
    assembly.addToken(1, "b", Start, deliver);
    cr_assert_not(assembly.checkGapTimeout(Start + Milliseconds(50), Milliseconds(100)));
    cr_assert(assembly.checkGapTimeout(Start + Milliseconds(150), Milliseconds(100)));
    assembly.addToken(0, "a", Start, deliver);
    cr_assert_not(assembly.checkGapTimeout(Start + Milliseconds(900), Milliseconds(100)));
    assembly.setTotalTokens(3, Start);
    cr_assert(assembly.checkGapTimeout(Start + Milliseconds(900), Milliseconds(100)));
}

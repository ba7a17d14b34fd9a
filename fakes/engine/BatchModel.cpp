#include "BatchModel.h"

#include <algorithm>
#include <array>

namespace citronspoke::fakes {

namespace {

    constexpr uint32_t PieceTokens = 1000;
    /** Prompt tokens prefilled in one step, indexed by role: mixed, prefill, decode. */
    constexpr std::array<uint32_t, 3> PrefillBudgets { 512, 2048, 128 };

} // namespace

BatchModel::BatchModel(BatchTiming timing, uint32_t slots, uint64_t cacheTokens)
    : m_timing(timing)
    , m_slots(slots)
    , m_cacheTokens(cacheTokens)
{
}

void BatchModel::add(BatchRequest request)
{
    const auto position = std::find_if(m_waiting.begin(), m_waiting.end(),
        [&request](const BatchRequest& other) { return other.priority > request.priority; });
    m_waiting.insert(position, std::move(request));
}

void BatchModel::remove(StreamNumber id)
{
    const auto isIt = [id](const BatchRequest& request) { return request.id == id; };
    m_running.remove_if(isIt);
    m_waiting.remove_if(isIt);
}

void BatchModel::clear()
{
    m_running.clear();
    m_waiting.clear();
    m_pieces.clear();
    m_pieceOrder.clear();
}

uint64_t BatchModel::cacheTokensUsed() const noexcept
{
    uint64_t used = 0;
    for (const BatchRequest& request : m_running)
        used += request.promptTokens + request.outputTokens;
    return used;
}

void BatchModel::admitWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_slots) {
        const BatchRequest& next = m_waiting.front();
        const uint64_t needed = next.promptTokens + next.outputTokens;
        if (!m_running.empty() && cacheTokensUsed() + needed > m_cacheTokens)
            return;
        m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
        skipCachedPieces(m_running.back());
    }
}

void BatchModel::skipCachedPieces(BatchRequest& request)
{
    uint32_t cached = 0;
    for (const uint64_t piece : request.pieces) {
        if (!m_pieces.contains(piece))
            break;
        cached += PieceTokens;
    }
    request.prefilled = std::min(cached, request.promptTokens);
}

void BatchModel::cachePieces(const BatchRequest& request)
{
    for (const uint64_t piece : request.pieces) {
        if (!m_pieces.insert(piece).second)
            m_pieceOrder.remove(piece);
        m_pieceOrder.push_back(piece);
    }
    while (m_pieceOrder.size() * PieceTokens > m_cacheTokens) {
        m_pieces.erase(m_pieceOrder.front());
        m_pieceOrder.pop_front();
    }
}

StepResult BatchModel::step(EngineRole role)
{
    admitWaiting();
    StepResult result;
    uint32_t budget = PrefillBudgets[static_cast<size_t>(role)];
    uint32_t prefilledNow = 0;
    for (auto position = m_running.begin(); position != m_running.end();) {
        BatchRequest& request = *position;
        const uint32_t missing = request.promptTokens - request.prefilled;
        if (missing > 0) {
            const uint32_t taken = std::min(missing, budget);
            request.prefilled += taken;
            budget -= taken;
            prefilledNow += taken;
            if (taken == missing)
                cachePieces(request);
            ++position;
            continue;
        }
        const bool isLast = request.generated + 1 >= request.outputTokens;
        result.tokens.push_back({ request.id, request.generated, isLast });
        request.generated += 1;
        position = isLast ? m_running.erase(position) : std::next(position);
    }
    result.durationMs = m_timing.stepMs
        + m_timing.perStreamMs * static_cast<double>(result.tokens.size())
        + m_timing.perPrefillTokenMs * prefilledNow;
    return result;
}

} // namespace citronspoke::fakes

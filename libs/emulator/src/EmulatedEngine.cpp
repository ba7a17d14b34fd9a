#include "EmulatedEngine.h"

#include <algorithm>

namespace citronspoke::emulator {

EmulatedEngine::EmulatedEngine(
    EventQueue& queue, const EngineModel& model, const fleet::TargetRecord& record, double slowdown)
    : m_queue(queue)
    , m_model(model)
    , m_record(record)
    , m_slowdown(slowdown)
{
}

std::function<void()> EmulatedEngine::inThisIncarnation(std::function<void()> task)
{
    return [this, incarnation = m_incarnation, task = std::move(task)] {
        if (incarnation == m_incarnation)
            task();
    };
}

void EmulatedEngine::crash()
{
    m_isUp = false;
    m_incarnation += 1;
    m_isPrefilling = false;
    m_isStepping = false;
    m_cache.removeEngine(m_record.id);
    const std::vector<PrefillJob> prefills = std::exchange(m_prefills, {});
    std::vector<DecodeJob> decodes = std::exchange(m_waiting, {});
    for (DecodeJob& job : std::exchange(m_running, {}))
        decodes.push_back(std::move(job));
    for (const PrefillJob& job : prefills)
        job.done(false);
    for (const DecodeJob& job : decodes)
        job.done(false);
}

void EmulatedEngine::restart(const TargetId& id)
{
    m_record.id = id;
    m_isUp = true;
    m_linkFreeAt = m_queue.now();
}

EmulatedEngine::JobId EmulatedEngine::prefill(
    const fleet::Prompt& prompt, dispatch::Urgency urgency, Done done)
{
    const JobId job = ++m_lastJob;
    if (!m_isUp) {
        m_queue.after(Micros(0), [done = std::move(done)] { done(false); });
        return job;
    }
    m_prefills.push_back({ job, prompt, urgency, std::move(done) });
    if (!m_isPrefilling)
        prefillNextChunk();
    return job;
}

void EmulatedEngine::prefillNextChunk()
{
    m_isPrefilling = !m_prefills.empty();
    if (!m_isPrefilling)
        return;
    const auto next = std::min_element(
        m_prefills.begin(), m_prefills.end(), [](const PrefillJob& left, const PrefillJob& right) {
            return std::tie(left.urgency, left.id) < std::tie(right.urgency, right.id);
        });
    PrefillJob& nextJob = *next;
    if (!nextJob.isStarted) {
        nextJob.isStarted = true;
        const uint64_t cachedTokens = std::min<uint64_t>(nextJob.prompt.tokens,
            m_cache.cachedPrefix(m_record.id, nextJob.prompt.parts).readyTokens);
        nextJob.tokensLeft = nextJob.prompt.tokens - cachedTokens;
    }
    constexpr double Million = 1e6;
    const uint64_t chunk = std::min(nextJob.tokensLeft, m_model.chunkTokens);
    const double tokensBefore = static_cast<double>(nextJob.prompt.tokens - nextJob.tokensLeft);
    const double pairs
        = static_cast<double>(chunk) * (tokensBefore + static_cast<double>(chunk) / 2);
    const Micros time = fromMs(m_slowdown
        * (static_cast<double>(chunk) / m_model.prefillTokensPerMs
            + pairs / Million * m_model.attentionMsPerMillionPairs));
    m_tokensPrefilled += chunk;
    m_busyTime += time;
    m_queue.after(time, inThisIncarnation([this, job = nextJob.id, chunk] {
        const auto found = std::find_if(m_prefills.begin(), m_prefills.end(),
            [job](const PrefillJob& each) { return each.id == job; });
        if (found != m_prefills.end()) {
            found->tokensLeft -= chunk;
            if (found->tokensLeft == 0)
                finishPrefill(job);
        }
        prefillNextChunk();
    }));
}

void EmulatedEngine::finishPrefill(JobId job)
{
    const auto found = std::find_if(m_prefills.begin(), m_prefills.end(),
        [job](const PrefillJob& each) { return each.id == job; });
    m_cache.notePrefilled(m_record.id, m_model.cacheTokens, found->prompt.parts);
    const Done done = std::move(found->done);
    m_prefills.erase(found);
    m_queue.after(fromMs(m_model.firstTokenMs), [done] { done(true); });
}

void EmulatedEngine::transfer(EmulatedEngine& source, uint64_t tokens, Done done)
{
    constexpr double OtherZoneFactor = 2;
    const double zoneFactor = source.m_record.zone == m_record.zone ? 1 : OtherZoneFactor;
    const double factor = zoneFactor * std::max(m_linkSlowdown, source.m_linkSlowdown);
    const Micros time = fromMs(
        m_model.transferSetupMs + factor * static_cast<double>(tokens) / m_model.linkTokensPerMs);
    // Transfers queue at their source only: in measurements with slow links, transfers from prefill
    // engines with normal links to the same decode engine took no longer.
    const Micros start = std::max(m_queue.now(), source.m_linkFreeAt);
    source.m_linkFreeAt = start + time;
    m_tokensFetched += tokens;
    const uint64_t incarnation = m_incarnation;
    const uint64_t sourceIncarnation = source.m_incarnation;
    m_queue.after(start + time - m_queue.now(),
        [this, &source, incarnation, sourceIncarnation, done = std::move(done)] {
            done(incarnation == m_incarnation && sourceIncarnation == source.m_incarnation && m_isUp
                && source.m_isUp);
        });
}

void EmulatedEngine::fetch(EmulatedEngine& source, const fleet::Prompt& prompt, Done done)
{
    const uint64_t ownTokens = m_cache.cachedPrefix(m_record.id, prompt.parts).readyTokens;
    const uint64_t sourceTokens
        = source.m_cache.cachedPrefix(source.m_record.id, prompt.parts).readyTokens;
    if (!m_isUp || !source.m_isUp || sourceTokens <= ownTokens) {
        done(m_isUp);
        return;
    }
    transfer(source, sourceTokens - ownTokens,
        [this, parts = prompt.parts, sourceTokens, done = std::move(done)](bool isDone) {
            std::vector<fleet::PromptPart> fetched;
            uint64_t tokens = 0;
            for (const fleet::PromptPart& part : parts) {
                tokens += part.tokens;
                if (isDone && tokens <= sourceTokens)
                    fetched.push_back(part);
            }
            if (!fetched.empty())
                m_cache.notePrefilled(m_record.id, m_model.cacheTokens, fetched);
            // After a failed fetch the engine prefills the parts itself.
            done(m_isUp);
        });
}

EmulatedEngine::JobId EmulatedEngine::decode(EmulatedEngine& prefillEngine, uint64_t promptTokens,
    uint32_t outputTokens, Done onFirstToken, Done done)
{
    const JobId job = ++m_lastJob;
    if (!m_isUp || !prefillEngine.m_isUp) {
        m_queue.after(Micros(0), [done = std::move(done)] { done(false); });
        return job;
    }
    m_transferring.insert(job);
    DecodeJob decodeJob { job, promptTokens + outputTokens, std::max(1U, outputTokens), true,
        std::move(onFirstToken), std::move(done) };
    transfer(
        prefillEngine, promptTokens, [this, decodeJob = std::move(decodeJob)](bool isDone) mutable {
            if (m_transferring.erase(decodeJob.id) == 0)
                return;
            if (!isDone) {
                decodeJob.done(false);
                return;
            }
            m_waiting.push_back(std::move(decodeJob));
            admitWaiting();
        });
    return job;
}

void EmulatedEngine::admitWaiting()
{
    uint64_t used = 0;
    for (const DecodeJob& job : m_running)
        used += job.tokens;
    while (!m_waiting.empty() && m_running.size() < m_model.slots
        && used + m_waiting.front().tokens <= m_model.cacheTokens) {
        used += m_waiting.front().tokens;
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.erase(m_waiting.begin());
    }
    if (!m_running.empty() && !m_isStepping) {
        m_isStepping = true;
        step();
    }
}

void EmulatedEngine::step()
{
    const Micros time = fromMs(m_slowdown
        * (m_model.stepMs + m_model.stepMsPerRequest * static_cast<double>(m_running.size())));
    m_queue.after(time, inThisIncarnation([this] {
        std::vector<Done> firstTokenCallbacks;
        std::vector<Done> endCallbacks;
        for (DecodeJob& job : m_running) {
            job.tokensLeft -= 1;
            if (std::exchange(job.isFirstToken, false))
                firstTokenCallbacks.push_back(job.onFirstToken);
            if (job.tokensLeft == 0)
                endCallbacks.push_back(job.done);
        }
        std::erase_if(m_running, [](const DecodeJob& job) { return job.tokensLeft == 0; });
        m_isStepping = false;
        admitWaiting();
        for (const Done& callback : firstTokenCallbacks)
            callback(true);
        for (const Done& callback : endCallbacks)
            callback(true);
    }));
}

void EmulatedEngine::cancel(JobId job)
{
    const auto isIt = [job](const auto& each) { return each.id == job; };
    std::erase_if(m_prefills, isIt);
    std::erase_if(m_waiting, isIt);
    std::erase_if(m_running, isIt);
    m_transferring.erase(job);
}

} // namespace citronspoke::emulator

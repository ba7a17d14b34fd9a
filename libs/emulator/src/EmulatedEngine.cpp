#include "EmulatedEngine.h"

#include <algorithm>

namespace citronspoke::emulator {

EmulatedEngine::EmulatedEngine(
    EventQueue& queue, const EngineModel& model, const fleet::TargetEntry& entry, double slowness)
    : m_queue(queue)
    , m_model(model)
    , m_entry(entry)
    , m_slowness(slowness)
{
}

std::function<void()> EmulatedEngine::inThisLife(std::function<void()> task)
{
    return [this, life = m_life, task = std::move(task)] {
        if (life == m_life)
            task();
    };
}

void EmulatedEngine::crash()
{
    m_isUp = false;
    m_life += 1;
    m_isReading = false;
    m_isStepping = false;
    m_cache.forget(m_entry.id);
    const std::vector<Reading> readings = std::exchange(m_readings, {});
    std::vector<Making> makings = std::exchange(m_waiting, {});
    for (Making& making : std::exchange(m_running, {}))
        makings.push_back(std::move(making));
    for (const Reading& reading : readings)
        reading.done(false);
    for (const Making& making : makings)
        making.done(false);
}

void EmulatedEngine::restart(const TargetId& id)
{
    m_entry.id = id;
    m_isUp = true;
    m_linkFreeAt = m_queue.now();
}

EmulatedEngine::JobId EmulatedEngine::read(
    const fleet::Prompt& prompt, dispatch::Urgency urgency, Done done)
{
    const JobId job = ++m_lastJob;
    if (!m_isUp) {
        m_queue.after(Micros(0), [done = std::move(done)] { done(false); });
        return job;
    }
    m_readings.push_back({ job, prompt, urgency, std::move(done) });
    if (!m_isReading)
        readNext();
    return job;
}

void EmulatedEngine::readNext()
{
    m_isReading = !m_readings.empty();
    if (!m_isReading)
        return;
    const auto next = std::min_element(
        m_readings.begin(), m_readings.end(), [](const Reading& left, const Reading& right) {
            return std::tie(left.urgency, left.id) < std::tie(right.urgency, right.id);
        });
    Reading& reading = *next;
    if (!reading.isBegun) {
        reading.isBegun = true;
        const uint64_t held = std::min<uint64_t>(
            reading.prompt.tokens, m_cache.holding(m_entry.id, reading.prompt.parts).ready);
        reading.left = reading.prompt.tokens - held;
    }
    constexpr double Million = 1e6;
    const uint64_t piece = std::min(reading.left, m_model.pieceTokens);
    const double before = static_cast<double>(reading.prompt.tokens - reading.left);
    const double pairs = static_cast<double>(piece) * (before + static_cast<double>(piece) / 2);
    const Micros time = fromMs(m_slowness
        * (static_cast<double>(piece) / m_model.readTokensPerMs
            + pairs / Million * m_model.msPerMillionPairs));
    m_tokensRead += piece;
    m_busy += time;
    m_queue.after(time, inThisLife([this, job = reading.id, piece] {
        const auto found = std::find_if(m_readings.begin(), m_readings.end(),
            [job](const Reading& each) { return each.id == job; });
        if (found != m_readings.end()) {
            found->left -= piece;
            if (found->left == 0)
                endReading(job);
        }
        readNext();
    }));
}

void EmulatedEngine::endReading(JobId job)
{
    const auto found = std::find_if(m_readings.begin(), m_readings.end(),
        [job](const Reading& each) { return each.id == job; });
    m_cache.noteRead(m_entry.id, m_model.cacheTokens, found->prompt.parts);
    const Done done = std::move(found->done);
    m_readings.erase(found);
    m_queue.after(fromMs(m_model.firstTokenMs), [done] { done(true); });
}

void EmulatedEngine::transfer(EmulatedEngine& source, uint64_t tokens, Done done)
{
    constexpr double OtherZoneFactor = 2;
    const double zoneFactor = source.m_entry.zone == m_entry.zone ? 1 : OtherZoneFactor;
    const double factor = zoneFactor * std::max(m_linkFactor, source.m_linkFactor);
    const Micros time = fromMs(
        m_model.transferSetupMs + factor * static_cast<double>(tokens) / m_model.linkTokensPerMs);
    // They queue at their source. On bench days with slow links the hand-overs of sound readers to
    // the same maker took no longer, so that the other end does not wait.
    const Micros start = std::max(m_queue.now(), source.m_linkFreeAt);
    source.m_linkFreeAt = start + time;
    m_tokensFetched += tokens;
    const uint64_t life = m_life;
    const uint64_t sourceLife = source.m_life;
    m_queue.after(
        start + time - m_queue.now(), [this, &source, life, sourceLife, done = std::move(done)] {
            done(life == m_life && sourceLife == source.m_life && m_isUp && source.m_isUp);
        });
}

void EmulatedEngine::fetch(EmulatedEngine& source, const fleet::Prompt& prompt, Done done)
{
    const uint64_t own = m_cache.holding(m_entry.id, prompt.parts).ready;
    const uint64_t there = source.m_cache.holding(source.m_entry.id, prompt.parts).ready;
    if (!m_isUp || !source.m_isUp || there <= own) {
        done(m_isUp);
        return;
    }
    transfer(source, there - own,
        [this, parts = prompt.parts, there, done = std::move(done)](bool isDone) {
            std::vector<fleet::PromptPart> fetched;
            uint64_t tokens = 0;
            for (const fleet::PromptPart& part : parts) {
                tokens += part.tokens;
                if (isDone && tokens <= there)
                    fetched.push_back(part);
            }
            if (!fetched.empty())
                m_cache.noteRead(m_entry.id, m_model.cacheTokens, fetched);
            // A fetch that failed only means that the engine reads the parts itself.
            done(m_isUp);
        });
}

EmulatedEngine::JobId EmulatedEngine::make(
    EmulatedEngine& reader, uint64_t promptTokens, uint32_t outputTokens, Done onFirst, Done done)
{
    const JobId job = ++m_lastJob;
    if (!m_isUp || !reader.m_isUp) {
        m_queue.after(Micros(0), [done = std::move(done)] { done(false); });
        return job;
    }
    m_arriving.insert(job);
    Making making { job, promptTokens + outputTokens, std::max(1U, outputTokens), true,
        std::move(onFirst), std::move(done) };
    transfer(reader, promptTokens, [this, making = std::move(making)](bool isDone) mutable {
        if (m_arriving.erase(making.id) == 0)
            return;
        if (!isDone) {
            making.done(false);
            return;
        }
        m_waiting.push_back(std::move(making));
        takeWaiting();
    });
    return job;
}

void EmulatedEngine::takeWaiting()
{
    uint64_t used = 0;
    for (const Making& making : m_running)
        used += making.tokens;
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
    const Micros time = fromMs(m_slowness
        * (m_model.stepMs + m_model.stepMsPerRequest * static_cast<double>(m_running.size())));
    m_queue.after(time, inThisLife([this] {
        std::vector<Done> firsts;
        std::vector<Done> ends;
        for (Making& making : m_running) {
            making.left -= 1;
            if (std::exchange(making.isFirst, false))
                firsts.push_back(making.onFirst);
            if (making.left == 0)
                ends.push_back(making.done);
        }
        std::erase_if(m_running, [](const Making& making) { return making.left == 0; });
        m_isStepping = false;
        takeWaiting();
        for (const Done& first : firsts)
            first(true);
        for (const Done& end : ends)
            end(true);
    }));
}

void EmulatedEngine::cancel(JobId job)
{
    const auto isIt = [job](const auto& each) { return each.id == job; };
    std::erase_if(m_readings, isIt);
    std::erase_if(m_waiting, isIt);
    std::erase_if(m_running, isIt);
    m_arriving.erase(job);
}

} // namespace citronspoke::emulator

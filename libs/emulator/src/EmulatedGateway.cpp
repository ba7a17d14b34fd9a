#include "EmulatedGateway.h"

#include <algorithm>

namespace citronspoke::emulator {

namespace {

    constexpr uint32_t MostAttempts = 5;
    /** All prompts alike; the engines read them as they come. */
    constexpr dispatch::Urgency OneUrgency = 5;

    using States = std::vector<dispatch::TargetState*>;

    dispatch::TargetState* leastBusy(const States& states)
    {
        const auto found = std::min_element(states.begin(), states.end(),
            [](const dispatch::TargetState* left, const dispatch::TargetState* right) {
                return left->load().requests < right->load().requests;
            });
        return found == states.end() ? nullptr : *found;
    }

    /** Chooses a reader as a baseline does, without fetched parts. */
    struct BaselineChoice {
        const States& states;
        const fleet::Prompt& prompt;
        uint64_t& turn;
        std::mt19937_64& random;

        dispatch::TargetState* operator()(const ExpectedFinish&) const { return nullptr; }
        dispatch::TargetState* operator()(const RoundRobin&) const
        {
            return states[turn++ % states.size()];
        }
        dispatch::TargetState* operator()(const LeastOutstanding&) const
        {
            return leastBusy(states);
        }
        dispatch::TargetState* operator()(const TwoChoices&) const
        {
            std::uniform_int_distribution<size_t> place(0, states.size() - 1);
            return leastBusy({ states[place(random)], states[place(random)] });
        }
        dispatch::TargetState* operator()(const HashedHomes& homes) const
        {
            uint64_t total = 0;
            for (const dispatch::TargetState* state : states)
                total += state->load().requests;
            const double most = homes.loadBound * (static_cast<double>(total) + 1)
                / static_cast<double>(states.size());
            dispatch::TargetState* best = nullptr;
            uint64_t bestRank = 0;
            for (dispatch::TargetState* state : states) {
                const uint64_t rank
                    = stableHash(prompt.parts.front().id + "/" + state->entry.id.text());
                const bool isFull = static_cast<double>(state->load().requests) + 1 > most;
                if (!isFull && (!best || rank > bestRank)) {
                    best = state;
                    bestRank = rank;
                }
            }
            return best ? best : leastBusy(states);
        }
    };

} // namespace

EmulatedEngine* Fleet::find(const TargetId& id)
{
    const auto found = std::find_if(engines.begin(), engines.end(),
        [&id](const std::unique_ptr<EmulatedEngine>& each) { return each->entry().id == id; });
    return found == engines.end() ? nullptr : found->get();
}

/** One request on its way. */
struct EmulatedGateway::Run {
    fleet::Prompt prompt;
    uint32_t priority = 0;
    Micros deadline { 0 };
    std::function<void()> onFirst;
    Ended ended;
    uint32_t attempts = 0;
    std::set<TargetId> avoided;
    bool isOver = false;
    TargetId engine;
    dispatch::Load load;
    std::function<void()> cancel;
};

EmulatedGateway::EmulatedGateway(Fleet& fleet, EntryId id, ZoneId zone)
    : m_fleet(fleet)
    , m_id(std::move(id))
    , m_zone(std::move(zone))
{
}

void EmulatedGateway::restart()
{
    m_directory = {};
    m_ledger = {};
    m_speed = {};
    for (const std::unique_ptr<EmulatedEngine>& engine : m_fleet.engines) {
        if (engine->isUp())
            put(engine->entry());
    }
}

void EmulatedGateway::put(const fleet::TargetEntry& entry) { m_directory.put(entry); }

void EmulatedGateway::remove(const TargetId& engine)
{
    m_directory.remove(engine, SteadyTime {}, m_fleet.queue.steadyNow());
    m_ledger.forget(engine);
}

void EmulatedGateway::notePeerLoad(
    const EntryId& peer, const TargetId& engine, const dispatch::Load& load)
{
    m_directory.notePeerLoad(engine, peer, load, m_fleet.queue.steadyNow());
}

void EmulatedGateway::noteParts(const TargetId& engine, std::span<const fleet::PromptPart> parts)
{
    m_ledger.noteRead(engine, m_fleet.site.engine.cacheTokens, parts);
}

void EmulatedGateway::repeatLoads()
{
    for (const auto& [id, state] : m_directory.targets()) {
        if (state.own != dispatch::Load {})
            m_fleet.tellLoad(m_id, id, state.own);
    }
}

States EmulatedGateway::inRole(EngineRole role)
{
    States states = m_directory.usable(EnginePool, m_fleet.queue.steadyNow());
    std::erase_if(
        states, [role](const dispatch::TargetState* state) { return state->entry.role != role; });
    for (dispatch::TargetState* state : states)
        state->isConnected = true;
    return states;
}

std::function<void()> EmulatedGateway::submit(const Arrival& arrival, const RequestKind& kind,
    Micros timeLeft, std::function<void()> onFirst, Ended ended)
{
    const std::shared_ptr<Run> run = std::make_shared<Run>();
    run->prompt = arrival.prompt;
    run->priority = kind.priority;
    run->deadline = m_fleet.queue.now() + timeLeft;
    run->onFirst = std::move(onFirst);
    run->ended = std::move(ended);
    startReading(run);
    return [this, run] {
        if (run->isOver)
            return;
        run->isOver = true;
        if (run->cancel)
            run->cancel();
        release(*run);
    };
}

dispatch::PromptPlacement EmulatedGateway::place(const Run& run)
{
    const SteadyTime now = m_fleet.queue.steadyNow();
    States readers = inRole(EngineRole::Prefill);
    const Milliseconds left
        = std::chrono::duration_cast<Milliseconds>(run.deadline - m_fleet.queue.now());
    if (std::holds_alternative<ExpectedFinish>(m_fleet.policy)) {
        return dispatch::placePrompt(readers, m_directory.present(EnginePool, now), run.prompt,
            { run.priority, left, m_zone }, m_ledger, m_speed, run.avoided, now);
    }
    std::erase_if(readers, [&run](const dispatch::TargetState* state) {
        return run.avoided.contains(state->entry.id);
    });
    dispatch::PromptPlacement placement;
    placement.urgency = OneUrgency;
    if (readers.empty())
        return placement;
    placement.engine = std::visit(
        BaselineChoice { readers, run.prompt, m_turn, m_fleet.random }, m_fleet.policy);
    placement.tokensToRead = run.prompt.tokens;
    return placement;
}

void EmulatedGateway::hold(Run& run, const TargetId& engine, const dispatch::Load& load)
{
    run.engine = engine;
    run.load = load;
    m_directory.noteStarted(engine, load);
    if (const dispatch::TargetState* state = m_directory.find(engine))
        m_fleet.tellLoad(m_id, engine, state->own);
}

void EmulatedGateway::release(Run& run)
{
    if (run.load == dispatch::Load {})
        return;
    m_directory.noteFinished(run.engine, std::exchange(run.load, {}));
    if (const dispatch::TargetState* state = m_directory.find(run.engine))
        m_fleet.tellLoad(m_id, run.engine, state->own);
}

void EmulatedGateway::startReading(const std::shared_ptr<Run>& run)
{
    const dispatch::PromptPlacement placement = place(*run);
    if (!placement.engine || ++run->attempts > MostAttempts) {
        run->isOver = true;
        run->ended(false);
        return;
    }
    const TargetId engine = placement.engine->entry.id;
    const TargetId source = placement.fetchFrom ? placement.fetchFrom->entry.id : TargetId();
    dispatch::Load load { 1, {}, 0 };
    load.promptTokens[placement.urgency] = placement.tokensToRead;
    m_ledger.noteSent(engine, m_fleet.site.engine.cacheTokens, run->prompt.parts);
    hold(*run, engine, load);
    const Micros startedAt = m_fleet.queue.now();
    run->cancel = [] {};
    m_fleet.queue.after(
        m_fleet.site.networkDelay, [this, run, placement, engine, source, startedAt] {
            EmulatedEngine* reader = m_fleet.find(engine);
            if (run->isOver)
                return;
            const auto ended = [this, run, placement, engine, startedAt](bool isDone) {
                m_fleet.queue.after(m_fleet.site.networkDelay,
                    [=, this] { afterReading(run, placement, engine, startedAt, isDone); });
            };
            if (!reader) {
                ended(false);
                return;
            }
            const auto read = [run, reader, placement, ended](bool isUp) {
                if (run->isOver)
                    return;
                if (!isUp) {
                    ended(false);
                    return;
                }
                const EmulatedEngine::JobId job
                    = reader->read(run->prompt, placement.urgency, ended);
                run->cancel = [reader, job] { reader->cancel(job); };
            };
            EmulatedEngine* holder = source.empty() ? nullptr : m_fleet.find(source);
            if (holder)
                reader->fetch(*holder, run->prompt, read);
            else
                read(reader->isUp());
        });
}

void EmulatedGateway::afterReading(const std::shared_ptr<Run>& run,
    const dispatch::PromptPlacement& placement, const TargetId& engine, Micros startedAt,
    bool isDone)
{
    if (run->isOver)
        return;
    release(*run);
    if (!isDone) {
        m_directory.noteResult(
            engine, dispatch::AttemptResult::Unreachable, m_fleet.queue.steadyNow());
        m_ledger.noteNotRead(engine, run->prompt.parts);
        run->avoided.insert(engine);
        startReading(run);
        return;
    }
    m_directory.noteResult(engine, dispatch::AttemptResult::Served, m_fleet.queue.steadyNow());
    m_speed.noteRead(placement.tokensToRead, placement.tokensAhead,
        std::chrono::duration_cast<Milliseconds>(m_fleet.queue.now() - startedAt));
    noteParts(engine, run->prompt.parts);
    m_fleet.tellParts(m_id, engine, run->prompt.parts);
    run->avoided.clear();
    startMaking(run, engine);
}

void EmulatedGateway::afterMaking(
    const std::shared_ptr<Run>& run, const TargetId& maker, bool isDone)
{
    if (run->isOver)
        return;
    release(*run);
    if (!isDone) {
        m_directory.noteResult(
            maker, dispatch::AttemptResult::Unreachable, m_fleet.queue.steadyNow());
        run->avoided.insert(maker);
        startReading(run);
        return;
    }
    run->isOver = true;
    run->ended(true);
}

dispatch::TargetState* EmulatedGateway::chooseMaker(const Run& run, const ZoneId& zone)
{
    return dispatch::chooseTokenMaker(
        inRole(EngineRole::Decode), run.avoided, zone, m_fleet.queue.steadyNow());
}

void EmulatedGateway::startMaking(const std::shared_ptr<Run>& run, const TargetId& reader)
{
    EmulatedEngine* source = m_fleet.find(reader);
    dispatch::TargetState* state = source ? chooseMaker(*run, source->entry().zone) : nullptr;
    if (!state) {
        run->isOver = true;
        run->ended(false);
        return;
    }
    const TargetId maker = state->entry.id;
    hold(*run, maker, { 1, {}, run->prompt.tokens + run->prompt.outputLimit });
    run->cancel = [] {};
    m_fleet.queue.after(m_fleet.site.networkDelay, [this, run, maker, source] {
        EmulatedEngine* engine = m_fleet.find(maker);
        if (run->isOver)
            return;
        const auto ended = [this, run, maker](bool isDone) {
            m_fleet.queue.after(m_fleet.site.networkDelay,
                [this, run, maker, isDone] { afterMaking(run, maker, isDone); });
        };
        if (!engine) {
            ended(false);
            return;
        }
        const auto onFirst = [this, run](bool) {
            m_fleet.queue.after(m_fleet.site.networkDelay, [run] {
                if (!run->isOver)
                    run->onFirst();
            });
        };
        const EmulatedEngine::JobId job
            = engine->make(*source, run->prompt.tokens, run->prompt.outputLimit, onFirst, ended);
        run->cancel = [engine, job] { engine->cancel(job); };
    });
}

} // namespace citronspoke::emulator

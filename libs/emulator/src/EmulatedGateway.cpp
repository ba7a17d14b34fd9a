#include "EmulatedGateway.h"

#include <algorithm>

namespace citronspoke::emulator {

namespace {

    constexpr uint32_t MaxAttempts = 5;
    /** The baselines give all prompts the same urgency, so that engines prefill them in order. */
    constexpr dispatch::Urgency BaselineUrgency = 5;

    using States = std::vector<dispatch::TargetState*>;

    dispatch::TargetState* leastLoaded(const States& states)
    {
        const auto found = std::min_element(states.begin(), states.end(),
            [](const dispatch::TargetState* left, const dispatch::TargetState* right) {
                return left->load().requests < right->load().requests;
            });
        return found == states.end() ? nullptr : *found;
    }

    /** Chooses a prefill engine by a baseline policy, which does not fetch cached parts. */
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
            return leastLoaded(states);
        }
        dispatch::TargetState* operator()(const TwoChoices&) const
        {
            std::uniform_int_distribution<size_t> pick(0, states.size() - 1);
            return leastLoaded({ states[pick(random)], states[pick(random)] });
        }
        dispatch::TargetState* operator()(const HashedHomes& homes) const
        {
            uint64_t total = 0;
            for (const dispatch::TargetState* state : states)
                total += state->load().requests;
            const double maxRequests = homes.loadBound * (static_cast<double>(total) + 1)
                / static_cast<double>(states.size());
            dispatch::TargetState* best = nullptr;
            uint64_t bestRank = 0;
            for (dispatch::TargetState* state : states) {
                const uint64_t rank
                    = stableHash(prompt.parts.front().id + "/" + state->record.id.text());
                const bool isFull = static_cast<double>(state->load().requests) + 1 > maxRequests;
                if (!isFull && (!best || rank > bestRank)) {
                    best = state;
                    bestRank = rank;
                }
            }
            return best ? best : leastLoaded(states);
        }
    };

} // namespace

EmulatedEngine* EmulatedFleet::find(const TargetId& id)
{
    const auto found = std::find_if(engines.begin(), engines.end(),
        [&id](const std::unique_ptr<EmulatedEngine>& each) { return each->record().id == id; });
    return found == engines.end() ? nullptr : found->get();
}

/** A request from its submission to its end. */
struct EmulatedGateway::ActiveRequest {
    fleet::Prompt prompt;
    uint32_t priority = 0;
    Micros deadline { 0 };
    std::function<void()> onFirstToken;
    EndCallback onEnd;
    uint32_t attempts = 0;
    std::set<TargetId> excluded;
    bool isFinished = false;
    TargetId engine;
    dispatch::Load load;
    std::function<void()> cancel;
};

EmulatedGateway::EmulatedGateway(EmulatedFleet& fleet, EntryId id, ZoneId zone)
    : m_fleet(fleet)
    , m_id(std::move(id))
    , m_zone(std::move(zone))
{
}

void EmulatedGateway::restart()
{
    m_directory = {};
    m_cacheIndex = {};
    m_prefillSpeed = {};
    for (const std::unique_ptr<EmulatedEngine>& engine : m_fleet.engines) {
        if (engine->isUp())
            put(engine->record());
    }
}

void EmulatedGateway::put(const fleet::TargetRecord& record) { m_directory.put(record); }

void EmulatedGateway::remove(const TargetId& engine)
{
    m_directory.remove(engine, SteadyTime {}, m_fleet.queue.steadyNow());
    m_cacheIndex.removeEngine(engine);
}

void EmulatedGateway::notePeerLoad(
    const EntryId& peer, const TargetId& engine, const dispatch::Load& load)
{
    m_directory.notePeerLoad(engine, peer, load, m_fleet.queue.steadyNow());
}

void EmulatedGateway::noteCachedParts(
    const TargetId& engine, std::span<const fleet::PromptPart> parts)
{
    m_cacheIndex.notePrefilled(engine, m_fleet.site.engine.cacheTokens, parts);
}

void EmulatedGateway::republishLoads()
{
    for (const auto& [id, state] : m_directory.targets()) {
        if (state.ownLoad != dispatch::Load {})
            m_fleet.publishLoad(m_id, id, state.ownLoad);
    }
}

States EmulatedGateway::usableEngines(EngineRole role)
{
    States states = m_directory.usable(EnginePool, m_fleet.queue.steadyNow());
    std::erase_if(
        states, [role](const dispatch::TargetState* state) { return state->record.role != role; });
    for (dispatch::TargetState* state : states)
        state->isConnected = true;
    return states;
}

std::function<void()> EmulatedGateway::submit(const Arrival& arrival, const RequestKind& kind,
    Micros timeLeft, std::function<void()> onFirstToken, EndCallback onEnd)
{
    const std::shared_ptr<ActiveRequest> request = std::make_shared<ActiveRequest>();
    request->prompt = arrival.prompt;
    request->priority = kind.priority;
    request->deadline = m_fleet.queue.now() + timeLeft;
    request->onFirstToken = std::move(onFirstToken);
    request->onEnd = std::move(onEnd);
    startPrefill(request);
    return [this, request] {
        if (request->isFinished)
            return;
        request->isFinished = true;
        if (request->cancel)
            request->cancel();
        releaseLoad(*request);
    };
}

dispatch::PromptPlacement EmulatedGateway::choosePlacement(const ActiveRequest& request)
{
    const SteadyTime now = m_fleet.queue.steadyNow();
    m_directory.expire(now);
    States prefillEngines = usableEngines(EngineRole::Prefill);
    const Milliseconds left
        = std::chrono::duration_cast<Milliseconds>(request.deadline - m_fleet.queue.now());
    if (std::holds_alternative<ExpectedFinish>(m_fleet.policy)) {
        return dispatch::placePrompt(prefillEngines, m_directory.allInPool(EnginePool, now),
            request.prompt, { request.priority, left, m_zone }, m_cacheIndex, m_prefillSpeed,
            request.excluded, now);
    }
    std::erase_if(prefillEngines, [&request](const dispatch::TargetState* state) {
        return request.excluded.contains(state->record.id);
    });
    dispatch::PromptPlacement placement;
    placement.urgency = BaselineUrgency;
    if (prefillEngines.empty())
        return placement;
    placement.engine = std::visit(
        BaselineChoice { prefillEngines, request.prompt, m_roundRobinTurn, m_fleet.random },
        m_fleet.policy);
    placement.tokensToPrefill = request.prompt.tokens;
    return placement;
}

void EmulatedGateway::addLoad(
    ActiveRequest& request, const TargetId& engine, const dispatch::Load& load)
{
    request.engine = engine;
    request.load = load;
    m_directory.noteStarted(engine, load);
    if (const dispatch::TargetState* state = m_directory.find(engine))
        m_fleet.publishLoad(m_id, engine, state->ownLoad);
}

void EmulatedGateway::releaseLoad(ActiveRequest& request)
{
    if (request.load == dispatch::Load {})
        return;
    m_directory.noteFinished(request.engine, std::exchange(request.load, {}));
    if (const dispatch::TargetState* state = m_directory.find(request.engine))
        m_fleet.publishLoad(m_id, request.engine, state->ownLoad);
}

void EmulatedGateway::startPrefill(const std::shared_ptr<ActiveRequest>& request)
{
    const dispatch::PromptPlacement placement = choosePlacement(*request);
    if (!placement.engine || ++request->attempts > MaxAttempts) {
        request->isFinished = true;
        request->onEnd(false);
        return;
    }
    const TargetId engine = placement.engine->record.id;
    const TargetId source = placement.fetchFrom ? placement.fetchFrom->record.id : TargetId();
    dispatch::Load load { 1, {}, 0 };
    load.promptTokens[placement.urgency] = placement.tokensToPrefill;
    m_cacheIndex.noteSent(engine, m_fleet.site.engine.cacheTokens, request->prompt.parts);
    addLoad(*request, engine, load);
    const Micros startedAt = m_fleet.queue.now();
    request->cancel = [] {};
    m_fleet.queue.after(
        m_fleet.site.networkDelay, [this, request, placement, engine, source, startedAt] {
            EmulatedEngine* prefillEngine = m_fleet.find(engine);
            if (request->isFinished)
                return;
            const auto onEnd = [this, request, placement, engine, startedAt](bool isDone) {
                m_fleet.queue.after(m_fleet.site.networkDelay,
                    [=, this] { afterPrefill(request, placement, engine, startedAt, isDone); });
            };
            if (!prefillEngine) {
                onEnd(false);
                return;
            }
            const auto prefill = [request, prefillEngine, placement, onEnd](bool isUp) {
                if (request->isFinished)
                    return;
                if (!isUp) {
                    onEnd(false);
                    return;
                }
                const EmulatedEngine::JobId job
                    = prefillEngine->prefill(request->prompt, placement.urgency, onEnd);
                request->cancel = [prefillEngine, job] { prefillEngine->cancel(job); };
            };
            EmulatedEngine* fetchSource = source.empty() ? nullptr : m_fleet.find(source);
            if (fetchSource)
                prefillEngine->fetch(*fetchSource, request->prompt, prefill);
            else
                prefill(prefillEngine->isUp());
        });
}

void EmulatedGateway::afterPrefill(const std::shared_ptr<ActiveRequest>& request,
    const dispatch::PromptPlacement& placement, const TargetId& engine, Micros startedAt,
    bool isDone)
{
    if (request->isFinished)
        return;
    releaseLoad(*request);
    if (!isDone) {
        m_directory.noteResult(
            engine, dispatch::AttemptResult::Unreachable, m_fleet.queue.steadyNow());
        m_cacheIndex.noteNotPrefilled(engine, request->prompt.parts);
        request->excluded.insert(engine);
        startPrefill(request);
        return;
    }
    m_directory.noteResult(engine, dispatch::AttemptResult::Served, m_fleet.queue.steadyNow());
    m_prefillSpeed.notePrefilled(placement.tokensToPrefill, placement.tokensAhead,
        std::chrono::duration_cast<Milliseconds>(m_fleet.queue.now() - startedAt));
    noteCachedParts(engine, request->prompt.parts);
    m_fleet.publishCachedParts(m_id, engine, request->prompt.parts);
    request->excluded.clear();
    startDecode(request, engine);
}

void EmulatedGateway::afterDecode(
    const std::shared_ptr<ActiveRequest>& request, const TargetId& decodeEngine, bool isDone)
{
    if (request->isFinished)
        return;
    releaseLoad(*request);
    if (!isDone) {
        m_directory.noteResult(
            decodeEngine, dispatch::AttemptResult::Unreachable, m_fleet.queue.steadyNow());
        request->excluded.insert(decodeEngine);
        startPrefill(request);
        return;
    }
    request->isFinished = true;
    request->onEnd(true);
}

dispatch::TargetState* EmulatedGateway::chooseDecodeEngine(
    const ActiveRequest& request, const ZoneId& zone)
{
    return dispatch::chooseDecodeEngine(usableEngines(EngineRole::Decode), request.excluded,
        { zone, request.prompt.tokens }, m_fleet.queue.steadyNow());
}

void EmulatedGateway::startDecode(
    const std::shared_ptr<ActiveRequest>& request, const TargetId& prefillEngine)
{
    EmulatedEngine* source = m_fleet.find(prefillEngine);
    dispatch::TargetState* state
        = source ? chooseDecodeEngine(*request, source->record().zone) : nullptr;
    if (!state) {
        request->isFinished = true;
        request->onEnd(false);
        return;
    }
    const TargetId decodeEngine = state->record.id;
    addLoad(
        *request, decodeEngine, { 1, {}, request->prompt.tokens + request->prompt.outputLimit });
    request->cancel = [] {};
    m_fleet.queue.after(m_fleet.site.networkDelay, [this, request, decodeEngine, source] {
        EmulatedEngine* engine = m_fleet.find(decodeEngine);
        if (request->isFinished)
            return;
        const auto onEnd = [this, request, decodeEngine](bool isDone) {
            m_fleet.queue.after(m_fleet.site.networkDelay, [this, request, decodeEngine, isDone] {
                afterDecode(request, decodeEngine, isDone);
            });
        };
        if (!engine) {
            onEnd(false);
            return;
        }
        const auto onFirstToken = [this, request](bool) {
            m_fleet.queue.after(m_fleet.site.networkDelay, [request] {
                if (!request->isFinished)
                    request->onFirstToken();
            });
        };
        const EmulatedEngine::JobId job = engine->decode(
            *source, request->prompt.tokens, request->prompt.outputLimit, onFirstToken, onEnd);
        request->cancel = [engine, job] { engine->cancel(job); };
    });
}

} // namespace citronspoke::emulator

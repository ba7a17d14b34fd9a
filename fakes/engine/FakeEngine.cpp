#include "FakeEngine.h"

namespace citronspoke::fakes {

namespace {

    using nlohmann::json;

    constexpr uint32_t Conflict = 409;
    constexpr uint32_t Unavailable = 503;
    constexpr uint32_t BadRequest = 400;
    constexpr uint32_t NotFound = 404;
    constexpr Milliseconds LoadReportLag { 200 };
    constexpr Milliseconds IdleStep { 2 };
    constexpr size_t CharactersPerToken = 4;
    constexpr size_t PieceCharacters = 1000 * CharactersPerToken;
    constexpr std::string_view CrashMarker = "CRASH-ENGINE";

    std::vector<uint64_t> piecesOf(std::string_view prompt)
    {
        std::vector<uint64_t> pieces;
        uint64_t chain = 0;
        for (size_t begin = 0; begin + PieceCharacters <= prompt.size(); begin += PieceCharacters) {
            chain = chain * 31 + stableHash(prompt.substr(begin, PieceCharacters));
            pieces.push_back(chain);
        }
        return pieces;
    }

    std::string promptOf(const json& body)
    {
        if (body.contains("prompt"))
            return body.at("prompt").get<std::string>();
        std::string text;
        for (const json& message : body.at("messages"))
            text += message.at("content").get<std::string>() + "\n";
        return text;
    }

} // namespace

FakeEngine::FakeEngine(EngineOptions options)
    : m_options(std::move(options))
    , m_batch(m_options.timing, m_options.slots, m_options.cacheTokens)
    , m_role(m_options.role)
    , m_incarnation(randomHex(8))
{
    constexpr size_t Threads = 2;
    refreshLoad();
    m_server = std::make_unique<transport::HttpServer>(m_options.listen, Threads,
        [this](const transport::HttpExchangePointer& exchange) { handle(exchange); });
}

bool FakeEngine::isUnavailable() const { return m_roleChange || steadyNow() < m_crashEnd; }

void FakeEngine::run(const std::stop_token& token)
{
    SteadyTime next = steadyNow();
    while (!token.stop_requested()) {
        StepResult result;
        {
            std::lock_guard lock(m_mutex);
            if (m_roleChange && steadyNow() >= m_roleChange->end)
                finishRoleChange();
            if (!isUnavailable() && m_batch.running() + m_batch.waiting() > 0)
                result = m_batch.step(m_role);
        }
        const std::chrono::duration<double, std::milli> duration(
            std::max(result.durationMs, static_cast<double>(IdleStep.count())));
        next += std::chrono::duration_cast<std::chrono::nanoseconds>(duration);
        std::this_thread::sleep_until(next);
        std::lock_guard lock(m_mutex);
        for (const GeneratedToken& generated : result.tokens)
            emit(generated);
        if (steadyNow() - m_loadRefreshed > LoadReportLag)
            refreshLoad();
        next = std::max(next, steadyNow() - LoadReportLag);
    }
}

void FakeEngine::handle(const transport::HttpExchangePointer& exchange)
{
    const std::string& path = exchange->request().target;
    try {
        if (path.starts_with("/v1/"))
            return startStream(exchange);
        std::lock_guard lock(m_mutex);
        if (steadyNow() < m_crashEnd && path != "/history")
            return exchange->abort();
        if (path == "/load")
            return exchange->respond(transport::jsonResponse(200, m_load.dump()));
        if (path == "/control/orders")
            return exchange->respond(handleOrder(json::parse(exchange->request().body)));
        if (path == "/control/state" || path == "/history")
            return exchange->respond(transport::jsonResponse(200, state().dump()));
        exchange->respond(transport::jsonResponse(NotFound, "{}"));
    } catch (const json::exception&) {
        exchange->respond(transport::jsonResponse(BadRequest, "{}"));
    }
}

void FakeEngine::startStream(const transport::HttpExchangePointer& exchange)
{
    const json body = json::parse(exchange->request().body);
    const std::string prompt = promptOf(body);
    std::lock_guard lock(m_mutex);
    if (isUnavailable()) {
        if (m_roleChange)
            return exchange->respond(transport::jsonResponse(Unavailable, "{}"));
        return exchange->abort();
    }
    m_lastStream = m_lastStream.next();
    BatchRequest request;
    request.id = m_lastStream;
    request.priority = body.value("priority", 0);
    request.promptTokens
        = std::max<uint32_t>(1, static_cast<uint32_t>(prompt.size() / CharactersPerToken));
    request.outputTokens = std::max<uint32_t>(1, body.value("max_tokens", 16U));
    request.generated = body.value("resume_from", 0U);
    request.promptTokens += request.generated;
    request.pieces = piecesOf(prompt);
    if (request.generated >= request.outputTokens) {
        exchange->beginStream({});
        exchange->write("data: [DONE]\n\n");
        return exchange->endStream();
    }
    exchange->beginStream({});
    m_streams[request.id] = { exchange, stableHash(prompt) };
    exchange->onGone([this, id = request.id] {
        std::lock_guard goneLock(m_mutex);
        m_cancelled += static_cast<int64_t>(m_streams.erase(id));
        m_batch.remove(id);
    });
    m_batch.add(std::move(request));
    if (prompt.find(CrashMarker) != std::string::npos)
        crash();
}

void FakeEngine::emit(const GeneratedToken& token)
{
    auto found = m_streams.find(token.id);
    if (found == m_streams.end())
        return;
    const json event { { "offset", token.offset },
        { "choices", { { { "text", tokenText(found->second.promptHash, token.offset) } } } } };
    std::string text = "data: " + event.dump() + "\n\n";
    if (token.isLast)
        text += "data: [DONE]\n\n";
    found->second.exchange->write(std::move(text));
    if (token.isLast) {
        found->second.exchange->endStream();
        m_streams.erase(found);
    }
}

transport::HttpResponse FakeEngine::handleOrder(const json& order)
{
    const int64_t fencing = order.at("fencing");
    const int64_t sequence = order.at("sequence");
    const bool isSame = fencing == m_fencing && sequence == m_sequence;
    if (isSame)
        return transport::jsonResponse(200, state().dump());
    const bool isStale = std::pair(fencing, sequence) < std::pair(m_fencing, m_sequence);
    if (isStale)
        m_staleOrders += 1;
    if (m_options.checksFencing && (isStale || m_roleChange))
        return transport::jsonResponse(Conflict, state().dump());
    if (isStale || m_roleChange)
        m_conflictingOrders += 1;
    beginRoleChange(order);
    return transport::jsonResponse(200, state().dump());
}

void FakeEngine::beginRoleChange(const json& order)
{
    m_fencing = order.at("fencing");
    m_sequence = order.at("sequence");
    m_orders.push_back(order);
    RoleChange change;
    change.fencing = m_fencing;
    change.sequence = m_sequence;
    change.role = engineRoleFromText(order.value("role", "mixed")).value_or(EngineRole::Mixed);
    change.end = steadyNow() + m_options.roleChangeDuration;
    m_roleChange = change;
    m_cutStreams += static_cast<int64_t>(m_streams.size());
    for (const auto& [id, stream] : m_streams)
        stream.exchange->endStream();
    m_streams.clear();
    m_batch.clear();
}

void FakeEngine::finishRoleChange()
{
    m_role = m_roleChange->role;
    m_roleChanges += 1;
    m_roleChange.reset();
}

void FakeEngine::crash()
{
    m_crashes += 1;
    m_crashEnd = steadyNow() + m_options.crashDuration;
    m_incarnation = randomHex(8);
    for (const auto& [id, stream] : m_streams)
        stream.exchange->endStream();
    m_streams.clear();
    m_batch.clear();
    m_roleChange.reset();
    m_fencing = 0;
    m_sequence = 0;
}

void FakeEngine::refreshLoad()
{
    m_loadRefreshed = steadyNow();
    m_load = { { "running", m_batch.running() }, { "waiting", m_batch.waiting() },
        { "cache_tokens", m_batch.cacheTokensUsed() } };
}

json FakeEngine::state()
{
    return { { "role", toText(m_role) }, { "changing", m_roleChange.has_value() },
        { "fencing", m_fencing }, { "sequence", m_sequence }, { "incarnation", m_incarnation },
        { "orders", m_orders }, { "cut_streams", m_cutStreams },
        { "conflicts", m_conflictingOrders }, { "stale_orders", m_staleOrders },
        { "crashes", m_crashes }, { "changes", m_roleChanges }, { "cancelled", m_cancelled },
        { "running", m_batch.running() } };
}

} // namespace citronspoke::fakes

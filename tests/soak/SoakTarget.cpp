#include "SoakTarget.h"

namespace citronspoke::soak {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds WorkTime { 3 };
    constexpr Milliseconds RoleChangeTime { 200 };
    constexpr uint32_t Misdirected = 421;
    constexpr uint32_t Unavailable = 503;
    constexpr uint32_t Conflict = 409;

    std::string attemptOf(const fakes::FakeRequest& request)
    {
        return request.field("X-Attempt-Id");
    }

    http1::Headers answerHeaders(const fakes::FakeRequest& request)
    {
        http1::Headers headers;
        headers.add("X-Attempt-Id", attemptOf(request));
        return headers;
    }

    http1::Headers signedHeaders(const fakes::FakeRequest& request)
    {
        http1::Headers headers = answerHeaders(request);
        headers.add("X-Server-Stamp", "stamp");
        return headers;
    }

    void refuse(
        const fakes::FakeRequest& request, fakes::FakeConnection& connection, uint32_t status)
    {
        http1::Headers headers = answerHeaders(request);
        headers.add("X-Not-Executed", "1");
        connection.answer(status, headers, "");
    }

    /** @return the pool that the declaration names for a path. */
    std::string poolOf(std::string_view path)
    {
        return path.starts_with("/stream/") || path.starts_with("/single/") ? "llm" : "app";
    }

} // namespace

std::string eventText(const std::string& attempt, uint64_t number)
{
    const std::string id = std::to_string(number);
    std::string event = "id: ";
    return event.append(id)
        .append("\ndata: ")
        .append(attempt)
        .append(" ")
        .append(id)
        .append("\n\n");
}

std::string HandleTable::put(const std::string& engine, const std::string& attempt)
{
    std::lock_guard lock(m_mutex);
    std::string handle = "h" + std::to_string(++m_last);
    m_handles[handle] = { engine, attempt };
    return handle;
}

std::optional<std::string> HandleTable::take(const std::string& handle)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_handles.find(handle);
    if (found == m_handles.end())
        return std::nullopt;
    std::string attempt = found->second.attempt;
    m_handles.erase(found);
    return attempt;
}

void HandleTable::dropEngine(const std::string& engine)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_handles, [&](const auto& item) { return item.second.engine == engine; });
}

SoakTarget::SoakTarget(const TargetSurroundings& surroundings, std::string id, std::string pool,
    std::optional<EngineRole> role, const fleet::Address& published, uint64_t seed)
    : m_surroundings(surroundings)
    , m_id(std::move(id))
    , m_pool(std::move(pool))
    , m_published(published.text())
    , m_role(role)
    , m_random(seed)
    , m_server(std::make_unique<fakes::FakeHttpServer>(
          [this](const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
              handle(request, connection);
          }))
{
}

SoakTarget::~SoakTarget()
{
    m_server.reset();
    m_surroundings.handles.dropEngine(m_id);
}

void SoakTarget::harm(const TargetHarm& harm)
{
    std::lock_guard lock(m_mutex);
    m_harm = harm;
}

void SoakTarget::publish()
{
    std::lock_guard lock(m_mutex);
    const std::string role = m_role ? std::string(toText(*m_role)) : "";
    m_surroundings.store.put("servers/" + m_id,
        fakes::entryText(m_pool, m_published, role, m_leftAt ? "draining" : "ready"));
}

void SoakTarget::leave()
{
    {
        std::lock_guard lock(m_mutex);
        m_leftAt = steadyNow();
    }
    publish();
}

bool SoakTarget::draws(double share)
{
    std::lock_guard lock(m_mutex);
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void SoakTarget::handle(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const std::string& path = request.head.target;
    constexpr std::string_view HandlePath = "/kv-handle/";
    if (path == "/report") {
        report(connection);
    } else if (path == "/order") {
        takeOrder(request, connection);
    } else if (path.starts_with(HandlePath)) {
        m_surroundings.handles.take(path.substr(HandlePath.size()));
        connection.answer(200, {}, "");
    } else if (!isRefused(request, connection)) {
        m_running += 1;
        run(request, connection);
        m_running -= 1;
    }
}

bool SoakTarget::isRefused(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    RunHistory& history = m_surroundings.history;
    if (request.field("X-Expect-Instance") != m_id) {
        refuse(request, connection, Misdirected);
        return true;
    }
    if (m_isChanging) {
        refuse(request, connection, Unavailable);
        return true;
    }
    if (poolOf(request.head.target) != m_pool)
        history.violate("route", attemptOf(request) + " came to " + m_id);
    for (const char* field : { "X-Pin-Ms", "X-Kv-Retention", "X-Kv-Replica" }) {
        if (!request.field(field).empty())
            history.violate("unasked", attemptOf(request) + " brought " + field + " to " + m_id);
    }
    std::lock_guard lock(m_mutex);
    const std::optional<Milliseconds> limit = m_surroundings.drainLimit;
    if (m_leftAt && limit && steadyNow() - *m_leftAt > *limit)
        history.violate("drain", attemptOf(request) + " came late to " + m_id);
    return false;
}

void SoakTarget::run(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    TargetHarm harm;
    {
        std::lock_guard lock(m_mutex);
        harm = m_harm;
    }
    const bool isReading = !request.field("X-Phase").empty();
    const bool isHarmed = harm.hangs || draws(harm.fails + harm.losesAnswers + harm.garbles);
    if (!isHarmed) {
        if (m_pool == "app")
            runApplication(request, connection);
        else
            runEngine(request, connection);
        return;
    }
    if (!isReading)
        m_surroundings.history.noteRun(attemptOf(request), m_id);
    if (harm.hangs) {
        connection.waitForClose();
    } else if (harm.fails > 0) {
        connection.answer(500, signedHeaders(request), "failed");
    } else if (harm.losesAnswers > 0) {
        connection.reset();
    } else if (draws(0.5)) {
        connection.send("HTTP/1.1 2?? these are not the bytes of an answer\r\n\r\n");
        connection.reset();
    } else {
        // An answer to nobody, behind the one that was asked for.
        connection.answer(200, signedHeaders(request), "answer to " + attemptOf(request));
        fakes::FakeRequest other = request;
        other.head.headers.remove("X-Attempt-Id");
        other.head.headers.add("X-Attempt-Id", "another-attempt");
        connection.answer(200, signedHeaders(other), "answer to another-attempt");
    }
}

void SoakTarget::runApplication(
    const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    m_surroundings.history.noteRun(attemptOf(request), m_id);
    std::this_thread::sleep_for(WorkTime);
    connection.answer(200, signedHeaders(request), "answer to " + attemptOf(request));
}

void SoakTarget::runEngine(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const bool isReading = request.field("X-Phase") == "prefill";
    std::optional<EngineRole> role;
    {
        std::lock_guard lock(m_mutex);
        role = m_role;
    }
    if (isReading != (role == EngineRole::Prefill)) {
        refuse(request, connection, Misdirected);
        return;
    }
    if (isReading) {
        std::this_thread::sleep_for(WorkTime);
        const std::string handle = m_surroundings.handles.put(m_id, attemptOf(request));
        connection.answer(200, answerHeaders(request),
            Json { { "kvHandle", handle }, { "tokens", 100 }, { "version", 1 } }.dump());
    } else if (takeHandle(request, connection)) {
        stream(request, connection);
    }
}

bool SoakTarget::takeHandle(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const std::string source = request.field("X-Kv-Source");
    if (source.empty())
        return true;
    const std::optional<std::string> owner
        = m_surroundings.handles.take(source.substr(source.find('/') + 1));
    if (!owner) {
        refuse(request, connection, Unavailable);
        return false;
    }
    if (*owner != attemptOf(request))
        m_surroundings.history.violate(
            "mixed", attemptOf(request) + " took the cache of " + *owner);
    return true;
}

void SoakTarget::stream(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const std::string attempt = attemptOf(request);
    m_surroundings.history.noteRun(attempt, m_id);
    http1::Headers headers = signedHeaders(request);
    headers.add("Content-Type", "text/event-stream");
    headers.add("Transfer-Encoding", "chunked");
    connection.send(http1::composeResponse(200, "OK", headers));
    const std::string last = request.field("Last-Event-Id");
    for (uint64_t event = last.empty() ? 1 : std::stoull(last) + 1; event <= StreamEvents;
         ++event) {
        std::this_thread::sleep_for(WorkTime);
        connection.send(http1::composeChunk(eventText(attempt, event)));
        if (!connection.isOpen())
            return;
    }
    connection.send(http1::LastChunk);
}

void SoakTarget::takeOrder(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    if (request.field("X-Expect-Instance") != m_id) {
        refuse(request, connection, Misdirected);
        return;
    }
    const Json order = Json::parse(request.body);
    const std::string holder = order["owner"];
    const int64_t fence = order["fencingToken"];
    {
        std::lock_guard lock(m_mutex);
        RunHistory& history = m_surroundings.history;
        if (!m_orderHolder.empty() && holder != m_orderHolder)
            history.violate("one", m_id + " is ordered by " + holder + " and " + m_orderHolder);
        if (fence <= m_lastFence)
            history.violate("one", m_id + " got the fencing token " + std::to_string(fence));
        m_orderHolder = holder;
        m_lastFence = fence;
        if (m_isChanging || order.value("precondition", m_orders) != m_orders) {
            connection.answer(Conflict, {}, "");
            return;
        }
        m_orders += 1;
        m_isChanging = true;
    }
    connection.answer(202, {}, "");
    std::this_thread::sleep_for(RoleChangeTime);
    {
        std::lock_guard lock(m_mutex);
        m_role = engineRoleFromText(order["phase"].get<std::string>());
    }
    m_isChanging = false;
    publish();
}

void SoakTarget::report(fakes::FakeConnection& connection) const
{
    std::lock_guard lock(m_mutex);
    Json answer { { "busy", m_isChanging.load() }, { "seq", m_orders }, { "queued", 0 },
        { "active", m_running.load() }, { "kvUsed", 0 }, { "kvTotal", 400000 } };
    if (m_role)
        answer["phase"] = toText(*m_role);
    connection.answer(200, {}, answer.dump());
}

} // namespace citronspoke::soak

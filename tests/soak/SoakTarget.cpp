#include "SoakTarget.h"

namespace citronspoke::soak {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds WorkTime { 3 };
    constexpr Milliseconds EventGap { 8 };
    constexpr Milliseconds RoleChangeTime { 200 };
    constexpr uint32_t Misdirected = 421;
    constexpr uint32_t Unavailable = 503;
    constexpr uint32_t Conflict = 409;

    std::string attemptOf(const fakes::FakeRequest& request)
    {
        return request.field("X-Attempt-Id");
    }

    /** @return the pool to which the declaration routes a path. */
    std::string poolOf(std::string_view path)
    {
        return path.starts_with("/stream/") || path.starts_with("/single/") ? "llm" : "app";
    }

} // namespace

std::string eventText(const std::string& attempt, uint64_t number, const std::string& version)
{
    const std::string id = std::to_string(number);
    std::string event = "id: ";
    return event.append(id)
        .append("\ndata: ")
        .append(attempt)
        .append(" ")
        .append(id)
        .append(" ")
        .append(version)
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

SoakTarget::SoakTarget(
    const TargetContext& context, Identity identity, const fleet::Address& published, uint64_t seed)
    : m_context(context)
    , m_id(std::move(identity.id))
    , m_pool(std::move(identity.pool))
    , m_version(std::move(identity.version))
    , m_startedAt(unixNow())
    , m_published(published.text())
    , m_role(identity.role)
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
    m_restarter = {};
    m_context.history.recordServing(m_id, {});
    m_context.handles.dropEngine(m_id);
}

void SoakTarget::setFaults(const TargetFaults& faults)
{
    std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_hasFaults = true;
    recordServing();
}

void SoakTarget::endFaults()
{
    std::lock_guard lock(m_mutex);
    m_faults = {};
    m_hasFaults = false;
    recordServing();
}

void SoakTarget::recordServing()
{
    const bool isServing = m_role == EngineRole::Decode && !m_hasFaults && !m_drainStartedAt
        && !m_announcesLeaving && !m_isChangingRole && !m_isCrashed;
    m_context.history.recordServing(m_id, isServing ? m_version : std::string());
}

void SoakTarget::publish()
{
    std::lock_guard lock(m_mutex);
    recordServing();
    const std::string role = m_role ? std::string(toText(*m_role)) : "";
    m_context.store.put("servers/" + m_id,
        fakes::entryText({ m_pool, m_published, role, m_drainStartedAt ? "draining" : "ready",
            m_version, m_startedAt.value() }));
}

void SoakTarget::startDraining()
{
    {
        std::lock_guard lock(m_mutex);
        m_drainStartedAt = steadyNow();
    }
    m_announcesLeaving = true;
    publish();
}

http1::Headers SoakTarget::responseHeaders(const fakes::FakeRequest& request) const
{
    http1::Headers headers;
    headers.add("X-Attempt-Id", attemptOf(request));
    std::lock_guard lock(m_mutex);
    if (m_faults.requestLimit)
        headers.add("Server-Limit", std::to_string(*m_faults.requestLimit));
    if (m_announcesLeaving)
        headers.add("Server-Leaving", "1");
    return headers;
}

void SoakTarget::refuse(
    const fakes::FakeRequest& request, fakes::FakeConnection& connection, uint32_t status)
{
    http1::Headers headers = responseHeaders(request);
    headers.add("X-Not-Executed", "1");
    connection.answer(status, headers, "");
}

http1::Headers SoakTarget::stampedHeaders(const fakes::FakeRequest& request) const
{
    http1::Headers headers = responseHeaders(request);
    headers.add("X-Server-Stamp", "stamp");
    return headers;
}

bool SoakTarget::drawWithProbability(double share)
{
    std::lock_guard lock(m_mutex);
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void SoakTarget::handle(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const std::string& path = request.head.target;
    constexpr std::string_view HandlePath = "/kv-handle/";
    if (m_isCrashed) {
        connection.reset();
        return;
    }
    if (path == "/report") {
        report(connection);
    } else if (path == "/order") {
        handleOrder(request, connection);
    } else if (path.starts_with(HandlePath)) {
        m_context.handles.take(path.substr(HandlePath.size()));
        connection.answer(200, {}, "");
    } else if (!isRefused(request, connection)) {
        m_running += 1;
        run(request, connection);
        m_running -= 1;
    }
}

bool SoakTarget::isRefused(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    RunHistory& history = m_context.history;
    const bool isPrefill = !request.field("X-Phase").empty();
    history.recordArrival(attemptOf(request), poolOf(request.head.target), isPrefill);
    if (request.field("X-Expect-Instance") != m_id) {
        refuse(request, connection, Misdirected);
        return true;
    }
    checkNotices(attemptOf(request));
    if (m_announcesLeaving)
        noteNotice(attemptOf(request), std::nullopt);
    if (m_isChangingRole) {
        refuse(request, connection, Unavailable);
        return true;
    }
    std::optional<Milliseconds> pause;
    {
        std::lock_guard lock(m_mutex);
        pause = m_faults.pause;
    }
    if (pause) {
        refuseWithPause(request, connection, *pause);
        return true;
    }
    if (poolOf(request.head.target) != m_pool)
        history.recordViolation("route", attemptOf(request) + " was routed to " + m_id);
    for (const char* field : { "X-Pin-Ms", "X-Kv-Retention", "X-Kv-Replica" }) {
        if (!request.field(field).empty())
            history.recordViolation(
                "unasked", attemptOf(request) + " carried " + field + " to " + m_id);
    }
    std::lock_guard lock(m_mutex);
    const std::optional<Milliseconds> limit = m_context.drainLimit;
    if (m_drainStartedAt && limit && steadyNow() - *m_drainStartedAt > *limit)
        history.recordViolation(
            "drain", attemptOf(request) + " arrived after the drain limit at " + m_id);
    return false;
}

void SoakTarget::run(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    TargetFaults faults;
    {
        std::lock_guard lock(m_mutex);
        faults = m_faults;
    }
    const bool isPrefill = !request.field("X-Phase").empty();
    const bool isFaulty = faults.hangs
        || drawWithProbability(
            faults.failureShare + faults.lostResponseShare + faults.garbledShare);
    if (!isFaulty) {
        if (m_pool == "app")
            runApplication(request, connection);
        else
            runEngine(request, connection);
        return;
    }
    if (!isPrefill)
        m_context.history.recordRun(attemptOf(request), m_id);
    if (faults.hangs) {
        connection.waitForClose();
    } else if (faults.failureShare > 0) {
        connection.answer(500, stampedHeaders(request), "failed");
    } else if (faults.lostResponseShare > 0) {
        connection.reset();
    } else if (drawWithProbability(0.5)) {
        connection.send("HTTP/1.1 2?? these are not the bytes of a response\r\n\r\n");
        connection.reset();
    } else {
        // A second response, which no request asked for, after the expected one.
        connection.answer(200, stampedHeaders(request), "answer to " + attemptOf(request));
        fakes::FakeRequest other = request;
        other.head.headers.remove("X-Attempt-Id");
        other.head.headers.add("X-Attempt-Id", "another-attempt");
        connection.answer(200, stampedHeaders(other), "answer to another-attempt");
    }
}

void SoakTarget::runApplication(
    const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    m_context.history.recordRun(attemptOf(request), m_id);
    std::this_thread::sleep_for(WorkTime);
    connection.answer(200, stampedHeaders(request), "answer to " + attemptOf(request));
}

void SoakTarget::runEngine(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const bool isPrefill = request.field("X-Phase") == "prefill";
    std::optional<EngineRole> role;
    {
        std::lock_guard lock(m_mutex);
        role = m_role;
    }
    if (isPrefill != (role == EngineRole::Prefill)) {
        refuse(request, connection, Misdirected);
        return;
    }
    if (isPrefill) {
        std::this_thread::sleep_for(WorkTime);
        const std::string handle = m_context.handles.put(m_id, attemptOf(request));
        connection.answer(200, responseHeaders(request),
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
        = m_context.handles.take(source.substr(source.find('/') + 1));
    if (!owner) {
        refuse(request, connection, Unavailable);
        return false;
    }
    if (*owner != attemptOf(request))
        m_context.history.recordViolation(
            "mixed", attemptOf(request) + " used the KV cache of " + *owner);
    return true;
}

void SoakTarget::stream(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    const std::string attempt = attemptOf(request);
    m_context.history.recordRun(attempt, m_id);
    http1::Headers headers = stampedHeaders(request);
    headers.add("Content-Type", "text/event-stream");
    headers.add("Transfer-Encoding", "chunked");
    connection.send(http1::composeResponse(200, "OK", headers));
    const size_t crashes = m_crashes;
    if (const std::optional<std::string> part = crashingPartOf(request)) {
        std::this_thread::sleep_for(EventGap);
        crash(*part);
    }
    const std::string last = request.field("Last-Event-Id");
    for (uint64_t event = last.empty() ? 1 : std::stoull(last) + 1; event <= EventsPerStream;
         ++event) {
        std::this_thread::sleep_for(EventGap);
        if (m_crashes != crashes) {
            connection.reset();
            return;
        }
        connection.send(http1::composeChunk(eventText(attempt, event, m_version)));
        if (!connection.isOpen())
            return;
    }
    connection.send(http1::LastChunk);
}

void SoakTarget::handleOrder(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    if (request.field("X-Expect-Instance") != m_id) {
        refuse(request, connection, Misdirected);
        return;
    }
    const Json order = Json::parse(request.body);
    const std::string orderOwner = order["owner"];
    const int64_t fence = order["fencingToken"];
    {
        std::lock_guard lock(m_mutex);
        RunHistory& history = m_context.history;
        if (!m_orderOwner.empty() && orderOwner != m_orderOwner)
            history.recordViolation(
                "one", m_id + " received orders from " + orderOwner + " and " + m_orderOwner);
        // The same order may be sent again when its response was lost.
        const bool isRepeated = fence == m_lastFence && order == m_lastOrder;
        if (fence <= m_lastFence && !isRepeated)
            history.recordViolation(
                "one", m_id + " received the stale fencing token " + std::to_string(fence));
        m_orderOwner = orderOwner;
        m_lastFence = fence;
        m_lastOrder = order;
        if (m_isChangingRole || order.value("precondition", m_orders) != m_orders) {
            connection.answer(Conflict, {}, "");
            return;
        }
        m_orders += 1;
        m_isChangingRole = true;
        recordServing();
    }
    connection.answer(202, {}, "");
    std::this_thread::sleep_for(RoleChangeTime);
    {
        std::lock_guard lock(m_mutex);
        m_role = engineRoleFromText(order["phase"].get<std::string>());
    }
    m_isChangingRole = false;
    publish();
}

void SoakTarget::report(fakes::FakeConnection& connection) const
{
    std::lock_guard lock(m_mutex);
    Json response { { "busy", m_isChangingRole.load() }, { "seq", m_orders }, { "queued", 0 },
        { "active", m_running.load() }, { "kvUsed", 0 }, { "kvTotal", 400000 },
        { "born", m_startedAt.value() } };
    if (m_role)
        response["phase"] = toText(*m_role);
    http1::Headers headers;
    if (m_announcesLeaving)
        headers.add("Server-Leaving", "1");
    connection.answer(200, headers, response.dump());
}

} // namespace citronspoke::soak

#include "GatewayFixture.h"

#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronspoke::gateway::tests {

namespace {

    http1::Headers signedHeaders(const fakes::FakeRequest& request)
    {
        http1::Headers headers;
        headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
        headers.add("X-Server-Stamp", "stamp");
        return headers;
    }

} // namespace

GatewayFixture::GatewayFixture()
    : m_sidecarPort(m_ports.pick())
{
}

GatewayFixture::~GatewayFixture() = default;

GatewayFixture::RunningGateway::~RunningGateway()
{
    loop.stop();
    if (thread.joinable())
        thread.join();
}

void GatewayFixture::addRoute(const std::string& prefix, const RouteOptions& options)
{
    m_routes.push_back(fakes::routeDocument(prefix, options));
}

void GatewayFixture::setOrganisation(
    const std::string& name, const std::vector<std::string>& keys, std::optional<int> priority)
{
    m_organisations[name] = { { "name", name }, { "apiKeys", keys } };
    if (priority)
        m_organisations[name]["priority"] = *priority;
}

std::string GatewayFixture::declarationText(int version) const
{
    nlohmann::json document = nlohmann::json::parse(fakes::declarationText(version, m_routes));
    document["limits"].update(m_limits);
    if (m_organisations.is_null())
        return document.dump();
    document["tenants"] = nlohmann::json::array();
    for (const auto& organisation : m_organisations)
        document["tenants"].push_back(organisation);
    return document.dump();
}

void GatewayFixture::declare(int version) { m_store.put("op/config", declarationText(version)); }

void GatewayFixture::addTarget(const std::string& id, const std::string& service, Script script,
    const std::string& role, const std::string& version, int64_t startedAt)
{
    m_targets.push_back(std::make_unique<fakes::FakeHttpServer>(
        [this, id, script = std::move(script)](
            const fakes::FakeRequest& request, fakes::FakeConnection& connection) {
            if (request.head.target == "/kv-list") {
                sendCacheList(id, connection);
                return;
            }
            {
                std::lock_guard lock(m_mutex);
                m_seen.push_back({ id, request });
            }
            script(request, connection);
        }));
    m_store.put("servers/" + id,
        fakes::entryText(
            { service, m_targets.back()->address().text(), role, "ready", version, startedAt }));
}

void GatewayFixture::setCachedParts(const std::string& id, const std::map<std::string, int>& parts)
{
    std::lock_guard lock(m_mutex);
    m_cachedParts[id] = parts;
}

bool GatewayFixture::wasCacheQueried(const std::string& id) const
{
    std::lock_guard lock(m_mutex);
    return m_cacheQueried.contains(id);
}

void GatewayFixture::sendCacheList(const std::string& id, fakes::FakeConnection& connection)
{
    nlohmann::json held = nlohmann::json::array();
    std::lock_guard lock(m_mutex);
    for (const auto& [part, tokens] : m_cachedParts[id])
        held.push_back({ "", part, tokens, "m" });
    m_cacheQueried.insert(id);
    connection.answer(
        200, {}, nlohmann::json { { "epoch", 1 }, { "next", 1 }, { "held", held } }.dump());
}

void GatewayFixture::start(size_t count)
{
    for (size_t started = 0; started < count; ++started)
        m_gateways.push_back(startGateway(m_gateways.size()));
}

std::unique_ptr<GatewayFixture::RunningGateway> GatewayFixture::startGateway(size_t number)
{
    std::unique_ptr<RunningGateway> running = std::make_unique<RunningGateway>();
    const std::string host = "127.0.0.1:";
    settings::GatewaySettings& settings = running->settings;
    settings.id = "gateway-" + std::to_string(number + 1);
    settings.zone = ZoneId("zone-a");
    settings.callers = host + std::to_string(m_ports.pick());
    settings.readiness = host + std::to_string(m_ports.pick());
    settings.operatorAddress = host + std::to_string(m_ports.pick());
    settings.store
        = (m_secondAddressUsers.contains(number) ? m_store.secondAddress() : m_store.address())
              .text();
    settings.refusesUnconfirmedKeys = m_revokeTime.has_value();
    settings.revokeTime = m_revokeTime.value_or(settings.revokeTime);
    settings.sidecarPort = m_sidecarPort;
    settings.stopGrace = Milliseconds(20000);
    settings.retries = m_retryLimits;
    if (adjustSettings)
        adjustSettings(number, settings);
    running->gateway
        = std::make_unique<Gateway>(running->loop, settings, clocks ? clocks(number) : Clocks());
    running->gateway->start();
    running->thread = std::jthread([&loop = running->loop] { loop.run(); });
    return running;
}

void GatewayFixture::post(size_t number, std::function<void(Gateway&)> task)
{
    RunningGateway* running = m_gateways.at(number).get();
    running->loop.post([running, task = std::move(task)] { task(*running->gateway); });
}

void GatewayFixture::reportRole(const std::string& id, EngineRole role, bool isChanging)
{
    peers::Outbox outbox;
    outbox.add(roles::RoleReport { TargetId(id), UnixMillis(), role, isChanging });
    sendDatagram(outbox.takeDatagrams(EntryId("sidecar-" + id), unixNow()).front());
}

void GatewayFixture::sendDatagram(std::string_view datagram)
{
    channels::EventLoop loop;
    channels::DatagramPort port(loop, { "127.0.0.1", m_ports.pick() }, [](std::string_view) {});
    port.send(fleet::requireAddress(m_gateways.front()->settings.operatorAddress), datagram);
}

uint32_t GatewayFixture::readiness(size_t gateway) const
{
    Caller caller(fleet::requireAddress(m_gateways.at(gateway)->settings.readiness));
    caller.send("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
    return caller.receive().status;
}

std::vector<SeenRequest> GatewayFixture::seen() const
{
    std::lock_guard lock(m_mutex);
    return m_seen;
}

size_t GatewayFixture::seenBy(const std::string& target) const
{
    size_t count = 0;
    for (const SeenRequest& request : seen())
        count += request.target == target ? 1 : 0;
    return count;
}

void GatewayFixture::waitUntil(const std::function<bool()>& condition)
{
    // Only a hang reaches this limit; no outcome depends on it.
    constexpr std::chrono::seconds HangLimit { 30 };
    const SteadyTime start = steadyNow();
    while (!condition()) {
        cr_assert(steadyNow() - start < HangLimit, "The awaited condition never became true.");
        std::this_thread::sleep_for(Milliseconds(5));
    }
}

Caller::Caller(const fleet::Address& gateway)
    : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(gateway.port);
    inet_pton(AF_INET, gateway.ip.c_str(), &address.sin_addr);
    const int result = connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
    cr_assert_eq(result, 0);
}

Caller::~Caller() { close(); }

void Caller::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void Caller::send(std::string_view bytes)
{
    cr_assert_eq(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL),
        static_cast<ssize_t>(bytes.size()));
}

CallerResponse parseResponse(std::string_view bytes, size_t* usedBytes)
{
    CallerResponse response;
    http1::ResponseParser parser;
    std::vector<http1::ResponseEvent> events;
    const size_t used = parser.feed(bytes, events);
    if (usedBytes)
        *usedBytes = used;
    for (const http1::ResponseEvent& event : events) {
        if (const http1::ResponseHead* head = std::get_if<http1::ResponseHead>(&event)) {
            response.status = head->status;
            response.headers = head->headers;
        } else if (const http1::BodyPart* part = std::get_if<http1::BodyPart>(&event)) {
            response.body += part->bytes;
        } else {
            response.isComplete = true;
        }
    }
    return response;
}

CallerResponse Caller::receive()
{
    std::array<char, 16384> buffer {};
    size_t used = 0;
    CallerResponse response = parseResponse(m_received, &used);
    while (!response.isComplete) {
        const ssize_t size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        m_received.append(buffer.data(), static_cast<size_t>(size));
        response = parseResponse(m_received, &used);
    }
    // The next response of a pipelined request may have come with this one.
    m_received.erase(0, used);
    return response;
}

CallerResponse Caller::receiveToEnd() { return parseResponse(receiveRest()); }

std::string Caller::receiveRest()
{
    std::array<char, 65536> buffer {};
    ssize_t size = 0;
    while ((size = recv(m_descriptor, buffer.data(), buffer.size(), 0)) > 0)
        m_received.append(buffer.data(), static_cast<size_t>(size));
    return std::exchange(m_received, {});
}

std::string Caller::receiveUntil(std::string_view end)
{
    std::string text;
    char letter = 0;
    while (!text.ends_with(end) && recv(m_descriptor, &letter, 1, 0) == 1)
        text.push_back(letter);
    cr_assert(text.ends_with(end));
    return text;
}

std::string requestText(const std::string& method, const std::string& path,
    const std::string& attempt, const std::string& extraLines, const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + std::string(fakes::RouteHost);
    text += "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 20000\r\n" + extraLines;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

CallerResponse sendRequest(const GatewayFixture& fixture, const std::string& request)
{
    Caller caller(fixture.callers());
    caller.send(request);
    return caller.receive();
}

void startTwoTargets(
    GatewayFixture& fixture, const RouteOptions& options, const GatewayFixture::Script& script)
{
    fixture.addRoute("/a/", options);
    fixture.declare(1);
    fixture.addTarget("one", "app", script);
    fixture.addTarget("two", "app", script);
    fixture.start();
    GatewayFixture::waitUntil([&] { return fixture.readiness() == 200; });
}

void answerOk(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    answerSigned(request, connection);
}

void answerSigned(
    const fakes::FakeRequest& request, fakes::FakeConnection& connection, std::string_view body)
{
    connection.answer(200, signedHeaders(request), body);
}

void refuseNotExecuted(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    http1::Headers headers;
    headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
    headers.add("X-Not-Executed", "1");
    connection.answer(503, headers, "");
}

void prefillPrompt(const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    prefillPromptWith({}, request, connection);
}

void prefillPromptWith(
    http1::Headers headers, const fakes::FakeRequest& request, fakes::FakeConnection& connection)
{
    if (request.head.method == "DELETE") {
        connection.answer(200, {}, "");
        return;
    }
    headers.add("X-Attempt-Id", request.field("X-Attempt-Id"));
    connection.answer(200, headers, R"({"kvHandle":"h1","tokens":1460,"version":1})");
}

std::string eventText(int id)
{
    const std::string number = std::to_string(id);
    std::string event = "id: ";
    event.append(number).append("\ndata: token ").append(number).append("\n\n");
    return event;
}

void sendEvents(
    const fakes::FakeRequest& request, fakes::FakeConnection& connection, int first, int last)
{
    http1::Headers headers = signedHeaders(request);
    headers.add("Content-Type", "text/event-stream");
    headers.add("Transfer-Encoding", "chunked");
    connection.send(http1::composeResponse(200, "OK", headers));
    for (int id = first; id <= last; ++id)
        connection.send(http1::composeChunk(eventText(id)));
}

} // namespace citronspoke::gateway::tests

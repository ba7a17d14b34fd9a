#include "FakePlatform.h"

namespace citronspoke::fakes {

namespace {

    using nlohmann::json;

    constexpr double WeightReadsPerSecond = 0.5;
    constexpr double WeightReadBurst = 2;
    constexpr uint32_t TooManyRequests = 429;
    constexpr uint32_t NotFound = 404;
    constexpr uint32_t BadRequest = 400;
    constexpr Milliseconds LeaseCheckInterval { 50 };
    constexpr Milliseconds HangCheckInterval { 20 };

} // namespace

FakePlatform::FakePlatform(std::span<const std::string> endpoints)
    : m_weightRefill(steadyNow())
{
    constexpr size_t ThreadsPerEndpoint = 3;
    for (const std::string& endpoint : endpoints) {
        m_faults[endpoint] = {};
        m_servers.push_back(std::make_unique<transport::HttpServer>(endpoint, ThreadsPerEndpoint,
            [this, endpoint](
                const transport::HttpExchangePointer& exchange) { handle(endpoint, exchange); }));
    }
}

void FakePlatform::run(const std::stop_token& token)
{
    while (sleepUnlessStopped(token, LeaseCheckInterval))
        m_store.expireLeases();
}

void FakePlatform::handle(
    const std::string& endpoint, const transport::HttpExchangePointer& exchange)
{
    const std::string& path = exchange->request().target;
    try {
        if (path.starts_with("/v3/"))
            return handleStore(endpoint, exchange);
        if (path == "/v1/vms" && exchange->request().method == "GET")
            return exchange->respond(transport::jsonResponse(200, vmList().dump()));
        if (path.starts_with("/weights/"))
            return exchange->respond(weights());
        if (path == "/counters")
            return exchange->respond(transport::jsonResponse(200, counters().dump()));
        const json body = json::parse(exchange->request().body);
        if (path == "/v1/vms")
            setVm(body);
        else if (path == "/faults")
            setFaults(endpoint, body);
        else
            return exchange->respond(transport::jsonResponse(NotFound, "{}"));
        exchange->respond(transport::jsonResponse(200, "{}"));
    } catch (const json::exception&) {
        exchange->respond(transport::jsonResponse(BadRequest, "{}"));
    }
}

void FakePlatform::handleStore(
    const std::string& endpoint, const transport::HttpExchangePointer& exchange)
{
    const std::string& path = exchange->request().target;
    EndpointFaults faults;
    {
        std::lock_guard lock(m_mutex);
        m_calls[path] += 1;
        faults = m_faults[endpoint];
    }
    std::this_thread::sleep_for(faults.delay);
    while (faults.isHanging) {
        std::this_thread::sleep_for(HangCheckInterval);
        std::lock_guard lock(m_mutex);
        faults = m_faults[endpoint];
    }
    if (faults.isDown)
        return exchange->abort();
    const json body = json::parse(exchange->request().body);
    if (path == "/v3/watch")
        return m_store.watch(body, exchange);
    const json response = storeResponse(path, body);
    {
        std::lock_guard lock(m_mutex);
        EndpointFaults& current = m_faults[endpoint];
        const bool isLost = path == "/v3/kv/txn" && current.responsesToLose > 0;
        if (isLost) {
            current.responsesToLose -= 1;
            return exchange->abort();
        }
    }
    exchange->respond(transport::jsonResponse(200, response.dump()));
}

json FakePlatform::storeResponse(const std::string& path, const json& body)
{
    if (path == "/v3/kv/range")
        return m_store.range(body);
    if (path == "/v3/kv/txn")
        return m_store.transact(body);
    if (path == "/v3/lease/grant")
        return m_store.grantLease(body);
    if (path == "/v3/lease/keepalive")
        return m_store.keepAlive(body);
    return m_store.revoke(body);
}

void FakePlatform::setFaults(const std::string& endpoint, const json& body)
{
    std::lock_guard lock(m_mutex);
    for (auto& [name, faults] : m_faults) {
        if (!body.value("all", false) && name != endpoint)
            continue;
        faults.isDown = body.value("down", false);
        faults.isHanging = body.value("hanging", false);
        faults.delay = Milliseconds(body.value("delay_ms", 0));
        faults.responsesToLose = body.value("lose_answers", 0);
    }
}

void FakePlatform::setVm(const json& body)
{
    std::lock_guard lock(m_mutex);
    m_vms[body.at("name")] = body.at("state");
}

json FakePlatform::vmList()
{
    std::lock_guard lock(m_mutex);
    json vms = json::array();
    for (const auto& [name, state] : m_vms)
        vms.push_back({ { "name", name }, { "state", state } });
    return { { "vms", vms } };
}

json FakePlatform::counters()
{
    std::lock_guard lock(m_mutex);
    return m_calls;
}

transport::HttpResponse FakePlatform::weights()
{
    std::lock_guard lock(m_mutex);
    const std::chrono::duration<double> elapsed = steadyNow() - m_weightRefill;
    m_weightRefill = steadyNow();
    m_weightTokens
        = std::min(WeightReadBurst, m_weightTokens + elapsed.count() * WeightReadsPerSecond);
    if (m_weightTokens < 1)
        return transport::jsonResponse(TooManyRequests, "{}");
    m_weightTokens -= 1;
    return transport::jsonResponse(200, "{}");
}

} // namespace citronspoke::fakes

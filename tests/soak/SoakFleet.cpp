#include "SoakFleet.h"

#include <algorithm>

#include <filesystem>

namespace citronspoke::soak {

namespace {

    constexpr Milliseconds SupervisionInterval { 50 };
    constexpr size_t DecodeEnginesAtStart = 2;
    constexpr size_t Versions = 2;
    /** Routes that nobody uses, in every other declaration, which is then a large document. */
    constexpr int FurtherRoutes = 350;

    std::string quoted(const std::string& text) { return "\"" + text + "\"\n"; }

} // namespace

SoakFleet::SoakFleet(const SoakOptions& options, RunHistory& history)
    : m_options(options)
    , m_history(history)
    , m_sidecarPort(m_ports.pick())
{
    std::filesystem::create_directories(m_options.folder);
    for (size_t number = 1; number <= m_options.gateways; ++number)
        addGateway(number);
    for (size_t number = 1; number <= m_options.engines; ++number)
        addTarget("engine-" + std::to_string(number), "llm");
    for (size_t number = 1; number <= m_options.applications; ++number)
        addTarget("app-" + std::to_string(number), "app");
}

SoakFleet::~SoakFleet()
{
    m_supervisor = {};
    // The loop's thread uses the proxies until it has ended.
    m_loop.stop();
    m_loopThread = {};
    m_gateways.clear();
    m_targets.clear();
}

fleet::Address SoakFleet::pickAddress() { return { "127.0.0.1", m_ports.pick() }; }

std::string SoakFleet::nextVmAddress() { return "127.0.1." + std::to_string(m_targets.size() + 1); }

void SoakFleet::addGateway(size_t number)
{
    GatewayPlace place;
    const fleet::Address own = pickAddress();
    place.callerLink = std::make_unique<FaultProxy>(m_loop, pickAddress(), own);
    place.storeLink = std::make_unique<FaultProxy>(m_loop, pickAddress(), m_store.address());
    const std::string name = "gateway-" + std::to_string(number);
    place.settings = "id = " + quoted(name) + "zone = " + quoted("zone-a") + "callers = "
        + quoted(own.text()) + "readiness = " + quoted(pickAddress().text()) + "operator = "
        + quoted(pickAddress().text()) + "store = " + quoted(place.storeLink->address().text())
        + "sidecar_port = " + std::to_string(m_sidecarPort)
        + "\napply_time_ms = 2000\ndrain_time_ms = 2000\nlimit_notice_ms = 3000\nstop_grace_s = 8\n"
          "retry_share = "
        + std::to_string(RetryLimit::Share)
        + "\nretry_fixed_part = " + std::to_string(RetryLimit::FixedPart) + "\nretry_window_s = "
        + std::to_string(RetryLimit::Window / std::chrono::seconds(1)) + "\n";
    place.process = std::make_unique<SoakProcess>(name, m_options.programs + "/citronspoke-gateway",
        place.settings, m_options.folder, m_history);
    m_gateways.push_back(std::move(place));
}

void SoakFleet::addTarget(const std::string& name, const std::string& pool)
{
    TargetPlace place;
    place.name = name;
    place.pool = pool;
    const std::string vm = nextVmAddress();
    place.link = std::make_unique<FaultProxy>(
        m_loop, fleet::Address { vm, m_ports.pick() }, m_store.address());
    if (pool == "llm") {
        const std::string settings = "id = " + quoted("sidecar-" + name)
            + "zone = " + quoted("zone-a") + "engine = " + quoted(place.link->address().text())
            + "operator = " + quoted(fleet::Address { vm, m_sidecarPort }.text());
        place.sidecar = std::make_unique<SoakProcess>("sidecar-" + name,
            m_options.programs + "/citronspoke-sidecar", settings, m_options.folder, m_history);
    }
    m_targets.push_back(std::move(place));
}

std::string SoakFleet::nextIncarnationId(TargetPlace& place)
{
    return place.name + "-" + std::to_string(++place.incarnations);
}

void SoakFleet::startTarget(TargetPlace& place, const std::string& id)
{
    std::optional<EngineRole> role;
    if (place.pool == "llm")
        role = place.incarnations <= 1
                && &place - m_targets.data() >= static_cast<ptrdiff_t>(DecodeEnginesAtStart)
            ? EngineRole::Prefill
            : EngineRole::Decode;
    const TargetContext context { m_history, m_handles, m_store,
        m_options.isPlannedOnly && m_options.checksTimeLimits ? std::optional(DrainLimit)
                                                              : std::nullopt,
        m_options.isPlannedOnly,
        [this](const std::string& gateway) { return runningSince(gateway); } };
    // Each start has another version than the one before, so that two serve side by side.
    const size_t index = static_cast<size_t>(&place - m_targets.data());
    const std::string version = "v" + std::to_string(1 + (index + place.starts++) % Versions);
    place.target = std::make_unique<SoakTarget>(context,
        SoakTarget::Identity { id, place.pool, role, version }, place.link->address(),
        stableHash(id));
    place.link->redirectTo(place.target->address());
    place.target->publish();
}

void SoakFleet::start()
{
    for (TargetPlace& place : m_targets)
        startTarget(place, nextIncarnationId(place));
    publishDeclaration();
    writeOddRecords();
    m_loopThread = std::jthread([this] { m_loop.run(); });
    for (GatewayPlace& place : m_gateways)
        place.process->start();
    for (TargetPlace& place : m_targets) {
        if (place.sidecar)
            place.sidecar->start();
    }
    m_supervisor = std::jthread([this](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            for (GatewayPlace& place : m_gateways)
                place.process->restartIfEnded();
            for (TargetPlace& place : m_targets) {
                if (place.sidecar)
                    place.sidecar->restartIfEnded();
            }
            copyStore();
            std::this_thread::sleep_for(SupervisionInterval);
        }
    });
}

void SoakFleet::checkLogs() const
{
    for (const GatewayPlace& place : m_gateways)
        place.process->checkLog();
    for (const TargetPlace& place : m_targets) {
        if (place.sidecar)
            place.sidecar->checkLog();
    }
}

bool SoakFleet::areGatewaysAnnounced() const
{
    const std::map<std::string, std::string> contents = m_store.contents();
    return std::all_of(m_gateways.begin(), m_gateways.end(), [&](const GatewayPlace& place) {
        return contents.contains("citronspoke/gateways/" + place.process->name());
    });
}

std::string SoakFleet::revisionPath(int revision) { return "/v/" + std::to_string(revision) + "/"; }

void SoakFleet::publishDeclaration()
{
    const int revision = publishedDeclaration().revision + 1;
    nlohmann::json routes = nlohmann::json::array();
    routes.push_back(fakes::routeDocument("/again/", { "idempotent" }));
    routes.push_back(fakes::routeDocument("/once/", { "non_idempotent" }));
    routes.push_back(fakes::routeDocument("/stream/", { "streaming", "llm", 3000, 3, true, true }));
    routes.push_back(
        fakes::routeDocument("/single/", { "streaming", "llm", 3000, 2, false, true }));
    routes.push_back(fakes::routeDocument(revisionPath(revision), { "idempotent" }));
    for (int number = 0; revision % 2 == 0 && number < FurtherRoutes; ++number)
        routes.push_back(
            fakes::routeDocument("/unused-" + std::to_string(number) + "/", { "idempotent" }));
    std::lock_guard lock(m_mutex);
    m_declarationText = fakes::declarationText(revision, routes);
    m_store.put("op/config", m_declarationText);
    m_publishedDeclaration = { revision, steadyNow() };
}

void SoakFleet::writeOddRecords()
{
    const std::string prefix(OddRecordPrefix);
    size_t number = 0;
    for (const std::string_view address :
        { "localhost:8080", "127.0.0.256:8080", "127.0.0.1:70000", "[::1]:8080", ":", "" })
        m_store.put(prefix + std::to_string(++number),
            fakes::entryText({ "app", std::string(address), "", "ready", "v1", 1 }));
    for (const std::string_view value : { "", "null", "[]", "{\"service\":\"app\"}", "\xff\xfe" })
        m_store.put(prefix + std::to_string(++number), std::string(value));
}

SoakFleet::PublishedDeclaration SoakFleet::publishedDeclaration() const
{
    std::lock_guard lock(m_mutex);
    return m_publishedDeclaration;
}

fleet::Address SoakFleet::callerAddress(size_t gateway) const
{
    return m_gateways[gateway].callerLink->address();
}

std::optional<SteadyTime> SoakFleet::runningSince(const std::string& gateway) const
{
    for (const GatewayPlace& place : m_gateways) {
        if (place.callerLink->address().text() == gateway)
            return place.process->runningSince();
    }
    return std::nullopt;
}

std::optional<SteadyTime> SoakFleet::runningSince(size_t gateway) const
{
    return m_gateways[gateway].process->runningSince();
}

void SoakFleet::replaceTarget(TargetPlace& place)
{
    // A planned leave waits until the running work is done.
    while (m_options.isPlannedOnly && place.target->running() > 0)
        std::this_thread::sleep_for(SupervisionInterval);
    const std::string key = "servers/" + place.target->id();
    place.target.reset();
    m_store.remove(key);
    startTarget(place, nextIncarnationId(place));
    place.hasFault = false;
}

} // namespace citronspoke::soak

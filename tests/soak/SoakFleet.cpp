#include "SoakFleet.h"

#include <filesystem>

namespace citronspoke::soak {

namespace {

    constexpr Milliseconds WatchInterval { 50 };
    /** The time in which leaving targets must get no more work, as the users' sites state it. */
    constexpr Milliseconds DrainLimit { 2000 };
    /** A leaving target serves for a little longer. */
    constexpr Milliseconds DrainExtra { 500 };
    constexpr size_t MakersAtStart = 2;

    std::string quoted(const std::string& text) { return "\"" + text + "\"\n"; }

    size_t below(std::mt19937_64& random, size_t count)
    {
        return std::uniform_int_distribution<size_t>(0, count - 1)(random);
    }

    Milliseconds drawDuration(std::mt19937_64& random)
    {
        constexpr int64_t ShortestMs = 100;
        constexpr int64_t LongestMs = 2000;
        return Milliseconds(std::uniform_int_distribution<int64_t>(ShortestMs, LongestMs)(random));
    }

} // namespace

SoakFleet::SoakFleet(const SoakOptions& options, RunHistory& history)
    : m_options(options)
    , m_history(history)
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
    m_watcher = {};
    // The proxies are used by the loop's thread until it has ended.
    m_loop.stop();
    m_loopThread = {};
    m_gateways.clear();
    m_targets.clear();
}

fleet::Address SoakFleet::pickAddress() { return { "127.0.0.1", m_ports.pick() }; }

void SoakFleet::addGateway(size_t number)
{
    GatewayPlace place;
    const fleet::Address own = pickAddress();
    place.callers = std::make_unique<FaultProxy>(m_loop, pickAddress(), own);
    place.store = std::make_unique<FaultProxy>(m_loop, pickAddress(), m_store.address());
    const std::string name = "gateway-" + std::to_string(number);
    place.settings = "id = " + quoted(name) + "zone = " + quoted("zone-a") + "callers = "
        + quoted(own.text()) + "readiness = " + quoted(pickAddress().text()) + "operator = "
        + quoted(pickAddress().text()) + "store = " + quoted(place.store->address().text())
        + "stop_grace_s = 8\nretry_share = 0.2\nretry_fixed_part = 58\nretry_window_s = 10\n";
    place.process = std::make_unique<SoakProcess>(name, m_options.programs + "/citronspoke-gateway",
        place.settings, m_options.folder, m_history);
    m_gateways.push_back(std::move(place));
}

void SoakFleet::addTarget(const std::string& name, const std::string& pool)
{
    TargetPlace place;
    place.name = name;
    place.pool = pool;
    place.link = std::make_unique<FaultProxy>(m_loop, pickAddress(), m_store.address());
    if (pool == "llm") {
        const std::string settings = "id = " + quoted("sidecar-" + name) + "zone = "
            + quoted("zone-a") + "engine = " + quoted(place.link->address().text()) + "operator = "
            + quoted(pickAddress().text()) + "store = " + quoted(m_store.address().text());
        place.sidecar = std::make_unique<SoakProcess>("sidecar-" + name,
            m_options.programs + "/citronspoke-sidecar", settings, m_options.folder, m_history);
    }
    m_targets.push_back(std::move(place));
}

std::string SoakFleet::nextId(TargetPlace& place)
{
    return place.name + "-" + std::to_string(++place.lives);
}

void SoakFleet::startTarget(TargetPlace& place, const std::string& id)
{
    std::optional<EngineRole> role;
    if (place.pool == "llm")
        role
            = place.lives <= 1 && &place - m_targets.data() >= static_cast<ptrdiff_t>(MakersAtStart)
            ? EngineRole::Prefill
            : EngineRole::Decode;
    const TargetSurroundings surroundings { m_history, m_handles, m_store,
        m_options.isPlannedOnly && m_options.isTimed ? std::optional(DrainLimit) : std::nullopt };
    place.target = std::make_unique<SoakTarget>(
        surroundings, id, place.pool, role, place.link->address(), stableHash(id));
    place.link->moveTo(place.target->address());
    place.target->publish();
}

void SoakFleet::start()
{
    for (TargetPlace& place : m_targets)
        startTarget(place, nextId(place));
    declare();
    m_loopThread = std::jthread([this] { m_loop.run(); });
    for (GatewayPlace& place : m_gateways)
        place.process->start();
    for (TargetPlace& place : m_targets) {
        if (place.sidecar)
            place.sidecar->start();
    }
    m_watcher = std::jthread([this](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            for (GatewayPlace& place : m_gateways)
                place.process->watch();
            for (TargetPlace& place : m_targets) {
                if (place.sidecar)
                    place.sidecar->watch();
            }
            std::this_thread::sleep_for(WatchInterval);
        }
    });
}

std::string SoakFleet::pathOf(int revision) { return "/v/" + std::to_string(revision) + "/"; }

void SoakFleet::declare()
{
    const int revision = declared().revision + 1;
    nlohmann::json routes = nlohmann::json::array();
    routes.push_back(fakes::routeDocument("/again/", { "idempotent" }));
    routes.push_back(fakes::routeDocument("/once/", { "non_idempotent" }));
    routes.push_back(fakes::routeDocument("/stream/", { "streaming", "llm", 3000, 3, true, true }));
    routes.push_back(
        fakes::routeDocument("/single/", { "streaming", "llm", 3000, 2, false, true }));
    routes.push_back(fakes::routeDocument(pathOf(revision), { "idempotent" }));
    m_store.put("op/config", fakes::declarationText(revision, routes));
    std::lock_guard lock(m_mutex);
    m_declared = { revision, steadyNow() };
}

SoakFleet::Declared SoakFleet::declared() const
{
    std::lock_guard lock(m_mutex);
    return m_declared;
}

fleet::Address SoakFleet::callersOf(size_t gateway) const
{
    return m_gateways[gateway].callers->address();
}

std::optional<SteadyTime> SoakFleet::runningSince(size_t gateway) const
{
    return m_gateways[gateway].process->runningSince();
}

void SoakFleet::retire(TargetPlace& place)
{
    // A target that leaves by plan ends when its work is done.
    while (m_options.isPlannedOnly && place.target->running() > 0)
        std::this_thread::sleep_for(WatchInterval);
    const std::string key = "servers/" + place.target->id();
    place.target.reset();
    m_store.remove(key);
    startTarget(place, nextId(place));
    place.isBusy = false;
}

SoakFleet::GatewayPlace& SoakFleet::anyGateway(std::mt19937_64& random)
{
    return m_gateways[below(random, m_gateways.size())];
}

SoakFleet::TargetPlace& SoakFleet::anyTarget(std::mt19937_64& random)
{
    return m_targets[below(random, m_targets.size())];
}

SoakProcess& SoakFleet::anyProcess(std::mt19937_64& random)
{
    TargetPlace& place = anyTarget(random);
    constexpr size_t SidecarIsOneIn = 4;
    if (place.sidecar && below(random, SidecarIsOneIn) == 0)
        return *place.sidecar;
    return *anyGateway(random).process;
}

Fault SoakFleet::drawFault(std::mt19937_64& random)
{
    if (m_options.isPlannedOnly)
        return plannedFault(random);
    switch (below(random, 6)) {
    case 0:
        return plannedFault(random);
    case 1:
        return storeFault(random);
    case 2:
        return linkFault(random);
    case 3:
        return targetFault(random);
    default:
        return processFault(random);
    }
}

Fault SoakFleet::plannedFault(std::mt19937_64& random)
{
    GatewayPlace& gateway = anyGateway(random);
    TargetPlace& place = anyTarget(random);
    switch (below(random, 4)) {
    case 0: {
        SoakProcess& process = anyProcess(random);
        return { "stop " + process.name(), [&] { process.terminate(); }, {}, {} };
    }
    case 1: {
        const std::string grace = "\nstop_grace_s = " + std::to_string(6 + below(random, 3));
        const std::string changed
            = std::string(gateway.settings)
                  .replace(gateway.settings.find("\nstop_grace_s = 8"), grace.size(), grace);
        return { "reload " + gateway.process->name(),
            [&gateway, changed] { gateway.process->reload(changed); }, {}, {} };
    }
    case 2:
        return { "declare", [this] { declare(); }, {}, {} };
    default:
        if (place.isBusy)
            return { "declare", [this] { declare(); }, {}, {} };
        place.isBusy = true;
        return { "leave " + place.target->id(), [&place] { place.target->leave(); },
            [this, &place] { retire(place); }, DrainLimit + DrainExtra };
    }
}

Fault SoakFleet::processFault(std::mt19937_64& random)
{
    SoakProcess& process = anyProcess(random);
    const Milliseconds duration = drawDuration(random);
    switch (below(random, 5)) {
    case 0:
    case 1:
        return { "kill " + process.name(), [&process] { process.kill(); }, {}, {} };
    case 2:
        return { "kill all gateways",
            [this] {
                for (GatewayPlace& place : m_gateways)
                    place.process->kill();
            },
            {}, {} };
    default:
        return { "pause " + process.name(), [&process] { process.pause(); },
            [&process] { process.resume(); }, duration };
    }
}

Fault SoakFleet::linkFault(std::mt19937_64& random)
{
    FaultProxy* link = nullptr;
    std::string name;
    switch (below(random, 3)) {
    case 0: {
        GatewayPlace& gateway = anyGateway(random);
        link = gateway.callers.get();
        name = " link of callers to " + gateway.process->name();
        break;
    }
    case 1: {
        GatewayPlace& gateway = anyGateway(random);
        link = gateway.store.get();
        name = " link to the store of " + gateway.process->name();
        break;
    }
    default: {
        TargetPlace& place = anyTarget(random);
        link = place.link.get();
        name = " link to " + place.name;
        break;
    }
    }
    const Milliseconds duration = drawDuration(random);
    LinkHarm harm;
    switch (below(random, 5)) {
    case 0:
        return { "reset" + name, [link] { link->resetConnections(); }, {}, {} };
    case 1:
        harm.holdsRequests = true;
        name = "cut one way, requests," + name;
        break;
    case 2:
        harm.holdsAnswers = true;
        name = "cut one way, answers," + name;
        break;
    case 3:
        harm = { {}, true, true };
        name = "cut" + name;
        break;
    default:
        harm.delay = Milliseconds(20 + static_cast<int64_t>(below(random, 200)));
        name = "delay" + name;
        break;
    }
    return { name, [link, harm] { link->harm(harm); }, [link] { link->harm({}); }, duration };
}

Fault SoakFleet::storeFault(std::mt19937_64& random)
{
    const Milliseconds duration = drawDuration(random);
    switch (below(random, 5)) {
    case 0:
        return { "store refuses", [this] { m_store.refuse(true); },
            [this] { m_store.refuse(false); }, duration };
    case 1:
        return { "store is slow", [this] { m_store.slowDown(Milliseconds(200)); },
            [this] { m_store.slowDown(Milliseconds(0)); }, duration };
    case 2:
        return { "store loses answers", [this] { m_store.loseAnswers(true); },
            [this] { m_store.loseAnswers(false); }, duration };
    case 3:
        return { "store drops its history", [this] { m_store.dropHistory(); }, {}, {} };
    default:
        return { "leases end", [this] { m_store.endLeases(); }, {}, {} };
    }
}

Fault SoakFleet::crash(TargetPlace& place, bool keepsId)
{
    place.isBusy = true;
    const std::string id = place.target->id();
    return { "crash " + id, [&place] { place.target.reset(); },
        [this, &place, id, keepsId] {
            m_store.remove("servers/" + id);
            startTarget(place, keepsId ? id : nextId(place));
            place.isBusy = false;
        },
        {} };
}

Fault SoakFleet::targetFault(std::mt19937_64& random)
{
    TargetPlace& place = anyTarget(random);
    const Milliseconds duration = drawDuration(random);
    if (place.isBusy)
        return { "declare", [this] { declare(); }, {}, {} };
    constexpr double HarmedShare = 0.4;
    TargetHarm harm;
    std::string name;
    switch (below(random, 6)) {
    case 0:
        harm.fails = HarmedShare;
        name = "fails";
        break;
    case 1:
        harm.losesAnswers = HarmedShare;
        name = "loses answers";
        break;
    case 2:
        harm.garbles = HarmedShare;
        name = "garbles";
        break;
    case 3:
        harm.hangs = true;
        name = "hangs";
        break;
    default: {
        Fault fault = crash(place, below(random, 2) == 0);
        fault.duration = duration;
        return fault;
    }
    }
    place.isBusy = true;
    return { place.target->id() + " " + name, [&place, harm] { place.target->harm(harm); },
        [&place] {
            place.target->harm({});
            place.isBusy = false;
        },
        duration };
}

} // namespace citronspoke::soak

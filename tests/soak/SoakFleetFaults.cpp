// The faults and planned changes of a run.
#include "SoakFleet.h"

namespace citronspoke::soak {

namespace {

    constexpr Milliseconds PollInterval { 50 };
    /** A draining target keeps serving for this much longer than the limit. */
    constexpr Milliseconds DrainExtra { 500 };
    /** Time from a target's announcement in responses to that in its record. */
    constexpr Milliseconds RecordDelay { 1800 };
    constexpr Milliseconds RequestedPause { 1500 };
    /** The store is restored from a copy that is about this old. */
    constexpr Milliseconds CopyInterval { 1000 };
    constexpr size_t KeptCopies = 3;
    /** Of the planned declarations, one in so many is a restore instead. */
    constexpr size_t DeclarationsPerRestore = 3;
    /** Until the operator and the targets have written again after a restore. */
    constexpr Milliseconds RewriteDelay { 1200 };

    size_t randomIndex(std::mt19937_64& random, size_t count)
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

SoakFleet::GatewayPlace& SoakFleet::randomGateway(std::mt19937_64& random)
{
    return m_gateways[randomIndex(random, m_gateways.size())];
}

SoakFleet::TargetPlace& SoakFleet::randomTarget(std::mt19937_64& random)
{
    return m_targets[randomIndex(random, m_targets.size())];
}

SoakProcess& SoakFleet::randomProcess(std::mt19937_64& random)
{
    TargetPlace& place = randomTarget(random);
    constexpr size_t SidecarIsOneIn = 4;
    if (place.sidecar && randomIndex(random, SidecarIsOneIn) == 0)
        return *place.sidecar;
    return *randomGateway(random).process;
}

Fault SoakFleet::drawFault(std::mt19937_64& random)
{
    if (m_options.isPlannedOnly)
        return plannedFault(random);
    switch (randomIndex(random, 6)) {
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
    GatewayPlace& gateway = randomGateway(random);
    TargetPlace& place = randomTarget(random);
    switch (randomIndex(random, 4)) {
    case 0: {
        SoakProcess& process = randomProcess(random);
        return { "stop " + process.name(), [&] { process.terminate(); }, {}, {} };
    }
    case 1: {
        const std::string grace = "\nstop_grace_s = " + std::to_string(6 + randomIndex(random, 3));
        const std::string changed
            = std::string(gateway.settings)
                  .replace(gateway.settings.find("\nstop_grace_s = 8"), grace.size(), grace);
        return { "reload " + gateway.process->name(),
            [&gateway, changed] { gateway.process->reload(changed); }, {}, {} };
    }
    case 2:
        // The kind does not draw from the seed, so that the rest of earlier plans stays as it is.
        m_declarations += 1;
        if (m_declarations % DeclarationsPerRestore == 0)
            return restoreFault();
        return { "declare", [this] { publishDeclaration(); }, {}, {} };
    default:
        if (place.hasFault)
            return { "declare", [this] { publishDeclaration(); }, {}, {} };
        place.hasFault = true;
        return leaveFault(place);
    }
}

Fault SoakFleet::leaveFault(TargetPlace& place)
{
    const std::string& id = place.target->id();
    // The form does not draw from the seed, so that the plans of earlier seeds stay as they are.
    switch (stableHash(id) % 3) {
    case 0:
        return { "leave " + id, [&place] { place.target->startDraining(); },
            [this, &place] { replaceTarget(place); }, DrainLimit + DrainExtra };
    case 1:
        return { "leave, announced in responses, " + id,
            [&place] {
                place.target->announceLeaving();
                place.departure = std::jthread([&place](const std::stop_token& stop) {
                    const SteadyTime end = steadyNow() + RecordDelay;
                    while (!stop.stop_requested() && steadyNow() < end)
                        std::this_thread::sleep_for(PollInterval);
                    place.target->startDraining();
                });
            },
            [this, &place] {
                place.departure = {};
                replaceTarget(place);
            },
            RecordDelay + DrainLimit + DrainExtra };
    default:
        return { "pauses at " + id,
            [&place] {
                TargetFaults faults;
                faults.pause = RequestedPause;
                place.target->setFaults(faults);
            },
            [&place] {
                place.target->endFaults();
                place.hasFault = false;
            },
            DrainLimit };
    }
}

void SoakFleet::killAllGateways()
{
    m_history.recordKillOfAll();
    for (GatewayPlace& place : m_gateways)
        place.process->kill();
}

Fault SoakFleet::processFault(std::mt19937_64& random)
{
    SoakProcess& process = randomProcess(random);
    const Milliseconds duration = drawDuration(random);
    switch (randomIndex(random, 5)) {
    case 0:
    case 1:
        return { "kill " + process.name(), [&process] { process.kill(); }, {}, {} };
    case 2:
        return { "kill all gateways", [this] { killAllGateways(); }, {}, {} };
    default:
        return { "pause " + process.name(), [&process] { process.pause(); },
            [&process] { process.resume(); }, duration };
    }
}

Fault SoakFleet::linkFault(std::mt19937_64& random)
{
    FaultProxy* link = nullptr;
    std::string name;
    switch (randomIndex(random, 3)) {
    case 0: {
        GatewayPlace& gateway = randomGateway(random);
        link = gateway.callerLink.get();
        name = " link of callers to " + gateway.process->name();
        break;
    }
    case 1: {
        GatewayPlace& gateway = randomGateway(random);
        link = gateway.storeLink.get();
        name = " link to the store of " + gateway.process->name();
        break;
    }
    default: {
        TargetPlace& place = randomTarget(random);
        link = place.link.get();
        name = " link to " + place.name;
        break;
    }
    }
    const Milliseconds duration = drawDuration(random);
    LinkFaults faults;
    switch (randomIndex(random, 5)) {
    case 0:
        return { "reset" + name, [link] { link->resetConnections(); }, {}, {} };
    case 1:
        faults.holdsRequests = true;
        name = "cut one way, requests," + name;
        break;
    case 2:
        faults.holdsResponses = true;
        name = "cut one way, responses," + name;
        break;
    case 3:
        faults = { {}, true, true };
        name = "cut" + name;
        break;
    default:
        faults.delay = Milliseconds(20 + static_cast<int64_t>(randomIndex(random, 200)));
        name = "delay" + name;
        break;
    }
    return { name, [link, faults] { link->setFaults(faults); }, [link] { link->setFaults({}); },
        duration };
}

Fault SoakFleet::storeFault(std::mt19937_64& random)
{
    const Milliseconds duration = drawDuration(random);
    switch (randomIndex(random, 5)) {
    case 0:
        return { "store refuses", [this] { m_store.refuse(true); },
            [this] { m_store.refuse(false); }, duration };
    case 1:
        return { "store is slow", [this] { m_store.slowDown(Milliseconds(200)); },
            [this] { m_store.slowDown(Milliseconds(0)); }, duration };
    case 2:
        return { "store loses responses", [this] { m_store.loseAnswers(true); },
            [this] { m_store.loseAnswers(false); }, duration };
    case 3:
        // The kind does not draw from the seed, so that the plans of earlier seeds stay as they
        // are.
        m_restoresNext = !m_restoresNext;
        if (!m_restoresNext)
            return restoreFault();
        return { "store drops its history", [this] { m_store.dropHistory(); }, {}, {} };
    default:
        return { "leases end", [this] { m_store.endLeases(); }, {}, {} };
    }
}

void SoakFleet::copyStore()
{
    std::lock_guard lock(m_mutex);
    if (steadyNow() - m_copiedAt < CopyInterval)
        return;
    m_copiedAt = steadyNow();
    m_copies.push_back(m_store.copy());
    if (m_copies.size() > KeptCopies)
        m_copies.pop_front();
}

Fault SoakFleet::restoreFault()
{
    return { "store is restored",
        [this] {
            std::lock_guard lock(m_mutex);
            if (!m_copies.empty())
                m_store.restore(*m_copies.front());
        },
        [this] { writeAgain(); }, RewriteDelay };
}

void SoakFleet::writeAgain()
{
    {
        std::lock_guard lock(m_mutex);
        m_store.put("op/config", m_declarationText);
        m_publishedDeclaration.publishedAt = steadyNow();
    }
    std::set<std::string> live;
    for (const TargetPlace& place : m_targets) {
        if (!place.target)
            continue;
        live.insert("servers/" + place.target->id());
        place.target->publish();
    }
    for (const auto& [key, value] : m_store.contents()) {
        if (key.starts_with("servers/") && !key.starts_with(OddRecordPrefix) && !live.contains(key))
            m_store.remove(key);
    }
}

Fault SoakFleet::crashFault(TargetPlace& place, bool keepsId, Milliseconds duration)
{
    place.hasFault = true;
    const std::string id = place.target->id();
    return { "crash " + id, [&place] { place.target.reset(); },
        [this, &place, id, keepsId] {
            m_store.remove("servers/" + id);
            startTarget(place, keepsId ? id : nextIncarnationId(place));
            place.hasFault = false;
        },
        duration };
}

Fault SoakFleet::targetFault(std::mt19937_64& random)
{
    TargetPlace& place = randomTarget(random);
    const Milliseconds duration = drawDuration(random);
    if (place.hasFault)
        return { "declare", [this] { publishDeclaration(); }, {}, {} };
    constexpr double FaultyShare = 0.4;
    TargetFaults faults;
    std::string name;
    switch (randomIndex(random, 7)) {
    case 0:
        faults.failureShare = FaultyShare;
        name = "fails";
        break;
    case 1:
        faults.lostResponseShare = FaultyShare;
        name = "loses responses";
        break;
    case 2:
        faults.garbledShare = FaultyShare;
        name = "garbles";
        break;
    case 3:
        faults.hangs = true;
        name = "hangs";
        break;
    case 4:
        faults.requestLimit = static_cast<double>(randomIndex(random, 20)) / 4;
        name = "states a request limit";
        break;
    default:
        return crashFault(place, randomIndex(random, 2) == 0, duration);
    }
    place.hasFault = true;
    return { place.target->id() + " " + name, [&place, faults] { place.target->setFaults(faults); },
        [&place] {
            place.target->endFaults();
            place.hasFault = false;
        },
        duration };
}

} // namespace citronspoke::soak

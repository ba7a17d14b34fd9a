#include "StreamRegistry.h"

#include "Durations.h"
#include "PeerGroup.h"
#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::gateway {

namespace {

    /** About 12 MB; at 1900 streams a second in a deployment, a gateway has a few hundred. */
    constexpr size_t MaxOrigins = 50000;
    /** A datagram between zones takes a few milliseconds there and back. */
    constexpr Milliseconds QueryInterval { 50 };
    constexpr uint32_t QueryRounds = 3;
    /** A gateway that is announced gets the origins of streams that began within this time, most
     * of which are still open. */
    constexpr Milliseconds RecentTime { 3000 };

} // namespace

/** A search for the origin of one stream that waits for replies. */
struct StreamRegistry::Search {
    Search(
        StreamRegistry& registry, Resume resume, streams::OriginSearch collected, Handler handler)
        : registry(registry)
        , resume(std::move(resume))
        , collected(std::move(collected))
        , handler(std::move(handler))
        , startedAt(steadyNow())
        , timer(registry.m_context.loop)
    {
    }
    ~Search() { registry.m_searches.erase(number); }
    Search(const Search&) = delete;
    Search& operator=(const Search&) = delete;

    StreamRegistry& registry;
    Resume resume;
    streams::OriginSearch collected;
    Handler handler;
    SteadyTime startedAt;
    uint64_t number = 0;
    uint32_t rounds = 0;
    std::vector<EntryId> asked;
    std::vector<fleet::Address> askedSidecars;
    channels::Timer timer;
};

StreamRegistry::StreamRegistry(GatewayContext& context, PeerGroup& peers, VersionRecords& versions,
    const fleet::Address& ownAddress)
    : m_context(context)
    , m_peers(peers)
    , m_versions(versions)
    , m_sidecars(context, peers)
    , m_ownAddress(ownAddress)
    , m_origins(MaxOrigins)
{
}

StreamRegistry::~StreamRegistry() = default;

void StreamRegistry::noteBegun(const RequestId& attempt, const streams::OriginRecord& origin)
{
    if (attempt.text().size() > streams::MaxAttemptLength)
        return;
    const streams::OriginNote note { attempt, origin };
    noteOrigin(note);
    const SteadyTime now = steadyNow();
    while (!m_recentNotes.empty() && now - m_recentNotes.front().first > RecentTime)
        m_recentNotes.pop_front();
    m_recentNotes.emplace_back(now, note);
    sendToHolders(note, m_gateways);
    m_sidecars.note(note);
}

void StreamRegistry::updateGateways(std::span<const EntryId> gateways)
{
    std::set<EntryId> added(gateways.begin(), gateways.end());
    for (const EntryId& known : std::exchange(m_gateways, added))
        added.erase(known);
    if (added.empty())
        return;
    for (const auto& [begunAt, note] : m_recentNotes)
        sendToHolders(note, added);
}

void StreamRegistry::sendToHolders(
    const streams::OriginNote& note, const std::set<EntryId>& receivers)
{
    const std::string datagram = peers::encode(note);
    for (const EntryId& holder : streams::holdersOf(
             note.attempt, m_peers.gateways(), m_peers.id(), streams::HoldersPerStream)) {
        if (receivers.contains(holder))
            m_peers.send(holder, datagram);
    }
}

std::shared_ptr<void> StreamRegistry::findOrigin(const Resume& request, Handler handler)
{
    Resume resume = request;
    // A caller that sends its first attempt again does not name it.
    if (resume.firstAttempt.empty())
        resume.firstAttempt = resume.attempt;
    if (const std::optional<streams::OriginRecord> record = m_origins.find(resume.firstAttempt)) {
        const streams::Origin origin { streams::Origin::Basis::Record, record->version,
            record->pool };
        report(resume, origin, 0, Milliseconds(0));
        handler(origin);
        return nullptr;
    }
    return startSearch(resume, m_versions.viewOf(resume.pools), std::move(handler));
}

std::shared_ptr<void> StreamRegistry::startSearch(
    const Resume& resume, streams::VersionView&& own, Handler&& handler)
{
    std::vector<EntryId> asked;
    std::vector<fleet::Address> sidecars;
    if (resume.firstAttempt.text().size() <= streams::MaxAttemptLength) {
        asked = streams::holdersOf(
            resume.firstAttempt, m_peers.gateways(), m_peers.id(), streams::QueriedGateways);
        for (const PoolId& pool : resume.pools)
            std::ranges::move(
                m_sidecars.holders(pool, resume.firstAttempt, streams::QueriedSidecars),
                std::back_inserter(sidecars));
    }
    const std::shared_ptr<Search> search = std::make_shared<Search>(*this, resume,
        streams::OriginSearch(std::move(own), { asked.size(), sidecars.size() }),
        std::move(handler));
    search->number = ++m_lastNumber;
    search->asked = std::move(asked);
    search->askedSidecars = std::move(sidecars);
    m_searches[search->number] = search.get();
    if (search->collected.isComplete()) {
        finish(*search);
        return nullptr;
    }
    askHolders(*search);
    return search;
}

void StreamRegistry::askHolders(Search& search)
{
    if (search.rounds == QueryRounds) {
        finish(search);
        return;
    }
    search.rounds += 1;
    const std::string datagram = peers::encode(streams::OriginQuery {
        search.number, search.resume.firstAttempt, search.resume.pools, m_ownAddress });
    for (const EntryId& gateway : search.asked)
        m_peers.send(gateway, datagram);
    for (const fleet::Address& sidecar : search.askedSidecars)
        m_peers.send(sidecar, datagram);
    search.timer.arm(QueryInterval, [this, &search] { askHolders(search); });
}

void StreamRegistry::onNote(const streams::OriginNote& note)
{
    if (note.attempt.text().size() <= streams::MaxAttemptLength)
        noteOrigin(note);
}

void StreamRegistry::noteOrigin(const streams::OriginNote& note)
{
    const SteadyTime now = steadyNow();
    m_origins.expire(now, m_versions.window());
    m_origins.note(note, now);
}

void StreamRegistry::onQuery(const streams::OriginQuery& query)
{
    const streams::OriginReply reply { query.number, query.attempt, m_peers.id(),
        m_origins.find(query.attempt), m_versions.viewOf(query.pools) };
    m_peers.send(query.replyTo, peers::encode(reply));
}

void StreamRegistry::onReply(const streams::OriginReply& reply)
{
    const auto found = m_searches.find(reply.number);
    if (found == m_searches.end() || found->second->resume.firstAttempt != reply.attempt)
        return;
    Search& search = *found->second;
    const bool isFromGateway
        = std::find(search.asked.begin(), search.asked.end(), reply.gateway) != search.asked.end();
    if (isFromGateway)
        search.collected.add(reply);
    else
        search.collected.addFromSidecar(reply);
    if (search.collected.isComplete())
        finish(search);
}

void StreamRegistry::finish(Search& search)
{
    const streams::Origin origin = search.collected.result();
    // The handler may destroy the search.
    m_searches.erase(search.number);
    search.timer.cancel();
    if (origin.basis == streams::Origin::Basis::Record)
        noteOrigin({ search.resume.firstAttempt, { origin.version, origin.pool } });
    report(search.resume, origin, search.collected.replies(), since(search.startedAt));
    const Handler handler = std::move(search.handler);
    handler(origin);
}

void StreamRegistry::report(
    const Resume& resume, const streams::Origin& origin, size_t replies, Milliseconds took)
{
    const std::string basis(streams::toText(origin.basis));
    telemetry::logInfo("streams", "Looked up where a stream began.",
        { { "id", resume.attempt.text() }, { "resumes", resume.firstAttempt.text() },
            { "basis", basis }, { "version", origin.version.text() },
            { "pool", origin.pool.text() }, { "replies", std::to_string(replies) },
            { "took_ms", millisecondsText(took) } });
    telemetry::count("stream_origins", { { "basis", basis } });
}

} // namespace citronspoke::gateway

#pragma once

#include "GatewayContext.h"
#include "SidecarOrigins.h"
#include "VersionRecords.h"

namespace citronspoke::gateway {

/**
 * Knows at which software version, and in which pool, streams began. A gateway sends the origin of
 * each stream that callers may resume to some other gateways and sidecars, which the id of the
 * caller's attempt determines, and asks those when a caller resumes a stream that it does not know.
 * Used by the event loop's thread only.
 */
class StreamRegistry {
public:
    StreamRegistry(GatewayContext& context, PeerGroup& peers, VersionRecords& versions,
        const fleet::Address& ownAddress);
    ~StreamRegistry();
    StreamRegistry(const StreamRegistry&) = delete;
    StreamRegistry& operator=(const StreamRegistry&) = delete;

    /** Sends recent origins to the gateways that are new among all gateways. */
    void updateGateways(std::span<const EntryId> gateways);
    /** A stream has begun. To be called before the caller gets its first event. */
    void noteBegun(const RequestId& attempt, const streams::OriginRecord& origin);

    /** A caller's request to resume a stream. */
    struct Resume {
        /** The caller's current attempt. */
        RequestId attempt;
        /** The attempt that began the stream; empty when it is the current one. */
        RequestId firstAttempt;
        /** Those to which the route leads. */
        std::vector<PoolId> pools;
    };
    using Handler = std::function<void(const streams::Origin&)>;
    /**
     * Finds out at which version, and in which pool, a stream began.
     * @param handler called once: now, or within 150 ms.
     * @return owner of the search; destroying it cancels the search, and the handler is not called.
     *         Null when the handler has been called.
     */
    std::shared_ptr<void> findOrigin(const Resume& request, Handler handler);

    void onNote(const streams::OriginNote& note);
    void onQuery(const streams::OriginQuery& query);
    void onReply(const streams::OriginReply& reply);

private:
    struct Search;

    void noteOrigin(const streams::OriginNote& note);
    /** @param receivers the holders among these get the note. */
    void sendToHolders(const streams::OriginNote& note, const std::set<EntryId>& receivers);
    std::shared_ptr<void> startSearch(
        const Resume& resume, streams::VersionView&& own, Handler&& handler);
    void askHolders(Search& search);
    void finish(Search& search);
    void report(
        const Resume& resume, const streams::Origin& origin, size_t replies, Milliseconds took);

    GatewayContext& m_context;
    PeerGroup& m_peers;
    VersionRecords& m_versions;
    SidecarOrigins m_sidecars;
    fleet::Address m_ownAddress;
    streams::StreamOrigins m_origins;
    /** Of streams that began here lately; oldest first. */
    std::deque<std::pair<SteadyTime, streams::OriginNote>> m_recentNotes;
    std::set<EntryId> m_gateways;
    /** Searches that wait for replies; their requests own them. */
    std::map<uint64_t, Search*> m_searches;
    uint64_t m_lastNumber = 0;
};

} // namespace citronspoke::gateway

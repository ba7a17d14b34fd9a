#include "DutyCodec.h"
#include "OriginKind.h"
#include "UseCodec.h"

namespace citronspoke::peers {

namespace {

    /** Kind, attempt, version, pool. */
    using NoteTuple = std::tuple<uint8_t, std::string, std::string, std::string>;
    /** Kind, number, attempt, pools, address for the reply. */
    using QueryTuple
        = std::tuple<uint8_t, uint64_t, std::string, std::vector<std::string>, std::string>;
    /** Kind, number, attempt, gateway, whether there is a record, its version and pool, versions
     * seen, whether they cover the window, whether they are current. */
    using ReplyTuple = std::tuple<uint8_t, uint64_t, std::string, std::string, bool, std::string,
        std::string, std::vector<std::string>, bool, bool>;

} // namespace

std::string encode(const streams::OriginNote& note)
{
    return pack(NoteTuple(static_cast<uint8_t>(OriginKind::Note), note.attempt.text(),
        note.origin.version.text(), note.origin.pool.text()));
}

std::string encode(const streams::OriginQuery& query)
{
    std::vector<std::string> pools;
    for (const PoolId& pool : query.pools)
        pools.push_back(pool.text());
    return pack(QueryTuple(static_cast<uint8_t>(OriginKind::Query), query.number,
        query.attempt.text(), std::move(pools), query.replyTo.text()));
}

std::string encode(const streams::OriginReply& reply)
{
    // Two versions show that there is more than one; the datagram stays small.
    constexpr size_t MaxVersions = 2;
    std::vector<std::string> versions;
    for (const SoftwareVersion& version : reply.view.versions) {
        if (versions.size() < MaxVersions)
            versions.push_back(version.text());
    }
    const streams::OriginRecord origin = reply.origin.value_or(streams::OriginRecord());
    return pack(ReplyTuple(static_cast<uint8_t>(OriginKind::Reply), reply.number,
        reply.attempt.text(), reply.gateway.text(), reply.origin.has_value(), origin.version.text(),
        origin.pool.text(), std::move(versions), reply.view.coversWindow, reply.view.isCurrent));
}

namespace {

    Message decodeOriginMessage(const msgpack::object& object)
    {
        switch (static_cast<OriginKind>(object.via.array.ptr[0].as<uint8_t>())) {
        case OriginKind::Note: {
            const auto [kind, attempt, version, pool] = unpackArray<NoteTuple>(object);
            return streams::OriginNote { RequestId(attempt),
                { SoftwareVersion(version), PoolId(pool) } };
        }
        case OriginKind::Query: {
            const auto [kind, number, attempt, pools, replyTo] = unpackArray<QueryTuple>(object);
            streams::OriginQuery query { number, RequestId(attempt), {},
                fleet::requireAddress(replyTo) };
            for (const std::string& pool : pools)
                query.pools.emplace_back(pool);
            return query;
        }
        case OriginKind::Reply: {
            const auto [kind, number, attempt, gateway, hasOrigin, version, pool, versions,
                coversWindow, isCurrent]
                = unpackArray<ReplyTuple>(object);
            streams::OriginReply reply { number, RequestId(attempt), EntryId(gateway), std::nullopt,
                { {}, coversWindow, isCurrent } };
            if (hasOrigin)
                reply.origin = streams::OriginRecord { SoftwareVersion(version), PoolId(pool) };
            for (const std::string& seen : versions)
                reply.view.versions.insert(SoftwareVersion(seen));
            return reply;
        }
        case OriginKind::Batch:
            // Only sidecars receive these.
            break;
        }
        throw UpdateUnreadable();
    }

} // namespace

Message decodeMessage(std::string_view datagram)
{
    if (isUseReport(datagram))
        return decodeUseReport(datagram);
    if (!isOriginMessage(datagram))
        return decode(datagram);
    try {
        const msgpack::object_handle handle = msgpack::unpack(datagram.data(), datagram.size());
        const uint8_t kind = handle.get().via.array.ptr[0].as<uint8_t>();
        return isDutyKind(kind) ? decodeDutyMessage(kind, handle.get())
                                : decodeOriginMessage(handle.get());
    } catch (const std::exception&) {
        // The exceptions of msgpack share no more specific base class; an unreadable address is an
        // error of the sender too.
        throw UpdateUnreadable();
    }
}

} // namespace citronspoke::peers

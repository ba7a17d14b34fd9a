#include "DutyCodec.h"
#include "OriginKind.h"
#include "UseCodec.h"

namespace citronspoke::peers {

namespace {

    /** Kind, attempt, version. */
    using NoteTuple = std::tuple<uint8_t, std::string, std::string>;
    /** Kind, number, attempt, pool, address for the reply. */
    using QueryTuple = std::tuple<uint8_t, uint64_t, std::string, std::string, std::string>;
    /** Kind, number, attempt, gateway, whether there is a record, its version, versions seen,
     * whether they cover the window, whether they are current. */
    using ReplyTuple = std::tuple<uint8_t, uint64_t, std::string, std::string, bool, std::string,
        std::vector<std::string>, bool, bool>;

} // namespace

std::string encode(const streams::OriginNote& note)
{
    return pack(NoteTuple(
        static_cast<uint8_t>(OriginKind::Note), note.attempt.text(), note.version.text()));
}

std::string encode(const streams::OriginQuery& query)
{
    return pack(QueryTuple(static_cast<uint8_t>(OriginKind::Query), query.number,
        query.attempt.text(), query.pool.text(), query.replyTo.text()));
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
    return pack(ReplyTuple(static_cast<uint8_t>(OriginKind::Reply), reply.number,
        reply.attempt.text(), reply.gateway.text(), reply.origin.has_value(),
        reply.origin.value_or(SoftwareVersion()).text(), std::move(versions),
        reply.view.coversWindow, reply.view.isCurrent));
}

namespace {

    Message decodeOriginMessage(const msgpack::object& object)
    {
        switch (static_cast<OriginKind>(object.via.array.ptr[0].as<uint8_t>())) {
        case OriginKind::Note: {
            const auto [kind, attempt, version] = unpackArray<NoteTuple>(object);
            return streams::OriginNote { RequestId(attempt), SoftwareVersion(version) };
        }
        case OriginKind::Query: {
            const auto [kind, number, attempt, pool, replyTo] = unpackArray<QueryTuple>(object);
            return streams::OriginQuery { number, RequestId(attempt), PoolId(pool),
                fleet::requireAddress(replyTo) };
        }
        case OriginKind::Reply: {
            const auto [kind, number, attempt, gateway, hasOrigin, origin, versions, coversWindow,
                isCurrent]
                = unpackArray<ReplyTuple>(object);
            streams::OriginReply reply { number, RequestId(attempt), EntryId(gateway), std::nullopt,
                { {}, coversWindow, isCurrent } };
            if (hasOrigin)
                reply.origin = SoftwareVersion(origin);
            for (const std::string& version : versions)
                reply.view.versions.insert(SoftwareVersion(version));
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

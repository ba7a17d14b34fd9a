#include "Pack.h"
#include "UseCodec.h"

namespace citronspoke::peers {

namespace {

    /** The kind of a message about the origin of a stream; updates begin with a text instead. */
    enum class OriginKind : uint8_t { Note = 1, Query = 2, Reply = 3 };
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

    /** @return whether the datagram is a short array that begins with a small number. Updates,
     * which are much more frequent, are not decoded twice to find out. */
    bool isOriginMessage(std::string_view datagram)
    {
        constexpr uint8_t ShortArray = 0x90;
        constexpr uint8_t TypeMask = 0xf0;
        constexpr uint8_t LargestSmallNumber = 0x7f;
        return datagram.size() > 1 && (static_cast<uint8_t>(datagram[0]) & TypeMask) == ShortArray
            && static_cast<uint8_t>(datagram[1]) <= LargestSmallNumber;
    }

    /** @throws UpdateUnreadable when the array is shorter than the tuple. */
    template <typename Tuple> Tuple unpackArray(const msgpack::object& object)
    {
        // The conversion alone would leave missing elements empty.
        if (object.via.array.size < std::tuple_size_v<Tuple>)
            throw UpdateUnreadable();
        return object.as<Tuple>();
    }

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
        return decodeOriginMessage(handle.get());
    } catch (const std::exception&) {
        // The exceptions of msgpack share no more specific base class; an unreadable address is an
        // error of the sender too.
        throw UpdateUnreadable();
    }
}

} // namespace citronspoke::peers

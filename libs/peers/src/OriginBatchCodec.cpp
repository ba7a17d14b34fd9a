#include "OriginKind.h"
#include "Pack.h"
#include "peers/Peers.h"

namespace citronspoke::peers {

namespace {

    /** A version, its pool and the attempts that began at it. */
    using GroupTuple = std::tuple<std::string, std::string, std::vector<std::string>>;
    /** Kind, groups. */
    using BatchTuple = std::tuple<uint8_t, std::vector<GroupTuple>>;

    OriginBatch decodeBatch(std::string_view datagram)
    {
        try {
            BatchTuple tuple;
            msgpack::unpack(datagram.data(), datagram.size()).get().convert(tuple);
            if (std::get<0>(tuple) != static_cast<uint8_t>(OriginKind::Batch))
                throw UpdateUnreadable();
            OriginBatch batch;
            for (const auto& [version, pool, attempts] : std::get<1>(tuple)) {
                const streams::OriginRecord origin { SoftwareVersion(version), PoolId(pool) };
                for (const std::string& attempt : attempts)
                    batch.notes.push_back({ RequestId(attempt), origin });
            }
            return batch;
        } catch (const std::exception&) {
            // The exceptions of msgpack share no more specific base class.
            throw UpdateUnreadable();
        }
    }

} // namespace

std::string encode(const OriginBatch& batch)
{
    std::map<std::pair<std::string, std::string>, std::vector<std::string>> byOrigin;
    for (const streams::OriginNote& note : batch.notes)
        byOrigin[{ note.origin.version.text(), note.origin.pool.text() }].push_back(
            note.attempt.text());
    std::vector<GroupTuple> groups;
    groups.reserve(byOrigin.size());
    for (auto& [origin, attempts] : byOrigin)
        groups.emplace_back(origin.first, origin.second, std::move(attempts));
    return pack(BatchTuple(static_cast<uint8_t>(OriginKind::Batch), std::move(groups)));
}

SidecarMessage decodeSidecarMessage(std::string_view datagram)
{
    if (!isOriginMessage(datagram))
        return decodeRoleRequest(datagram);
    if (datagram[1] == static_cast<char>(OriginKind::Batch))
        return decodeBatch(datagram);
    const Message message = decodeMessage(datagram);
    if (const streams::OriginQuery* query = std::get_if<streams::OriginQuery>(&message))
        return *query;
    throw UpdateUnreadable();
}

} // namespace citronspoke::peers

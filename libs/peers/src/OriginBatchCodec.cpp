#include "OriginKind.h"
#include "Pack.h"
#include "peers/Peers.h"

namespace citronspoke::peers {

namespace {

    /** A version and the attempts that began at it. */
    using GroupTuple = std::tuple<std::string, std::vector<std::string>>;
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
            for (const auto& [version, attempts] : std::get<1>(tuple)) {
                for (const std::string& attempt : attempts)
                    batch.notes.push_back({ RequestId(attempt), SoftwareVersion(version) });
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
    std::map<std::string, std::vector<std::string>> byVersion;
    for (const streams::OriginNote& note : batch.notes)
        byVersion[note.version.text()].push_back(note.attempt.text());
    return pack(BatchTuple(static_cast<uint8_t>(OriginKind::Batch),
        std::vector<GroupTuple>(byVersion.begin(), byVersion.end())));
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

#include "peers/Peers.h"

#include <msgpack.hpp>

namespace citronspoke::peers {

namespace {

    using LoadTuple = std::tuple<std::string, uint32_t,
        std::array<uint64_t, dispatch::UrgencyLevels>, uint64_t>;
    using PartTuple = std::tuple<std::string, uint32_t>;
    using PartsTuple = std::tuple<std::string, std::vector<PartTuple>>;
    using CrashTuple = std::tuple<uint64_t, std::vector<uint64_t>>;
    using UpdateTuple = std::tuple<std::string, int64_t, uint64_t, std::vector<LoadTuple>,
        std::vector<PartsTuple>, std::vector<std::string>, std::vector<CrashTuple>,
        std::vector<uint64_t>>;

} // namespace

std::string encode(const Update& update)
{
    std::vector<LoadTuple> loads;
    for (const LoadReport& report : update.loads)
        loads.emplace_back(report.target.text(), report.load.requests, report.load.promptTokens,
            report.load.usedCacheTokens);
    std::vector<PartsTuple> parts;
    for (const CachedPartsReport& report : update.parts) {
        std::vector<PartTuple> list;
        for (const fleet::PromptPart& part : report.parts)
            list.emplace_back(part.id, part.tokens);
        parts.emplace_back(report.engine.text(), std::move(list));
    }
    std::vector<std::string> replaced;
    for (const TargetId& target : update.replaced)
        replaced.push_back(target.text());
    std::vector<CrashTuple> crashes;
    for (const CrashReport& report : update.crashes)
        crashes.emplace_back(report.fingerprint, report.crashes);
    msgpack::sbuffer buffer;
    msgpack::pack(buffer,
        UpdateTuple(update.sender.text(), update.senderStartedAt.value(), update.sequenceNumber,
            std::move(loads), std::move(parts), std::move(replaced), std::move(crashes),
            update.cleared));
    return std::string(buffer.data(), buffer.size());
}

Update decode(std::string_view datagram)
{
    try {
        UpdateTuple tuple;
        msgpack::unpack(datagram.data(), datagram.size()).get().convert(tuple);
        Update update;
        update.sender = EntryId(std::get<0>(tuple));
        update.senderStartedAt = UnixMillis(std::get<1>(tuple));
        update.sequenceNumber = std::get<2>(tuple);
        for (const auto& [target, requests, promptTokens, cacheTokens] : std::get<3>(tuple))
            update.loads.push_back({ TargetId(target), { requests, promptTokens, cacheTokens } });
        for (const auto& [engine, list] : std::get<4>(tuple)) {
            CachedPartsReport report { TargetId(engine), {} };
            for (const auto& [id, tokens] : list)
                report.parts.push_back({ id, tokens });
            update.parts.push_back(std::move(report));
        }
        for (const std::string& target : std::get<5>(tuple))
            update.replaced.emplace_back(target);
        for (const auto& [fingerprint, crashes] : std::get<6>(tuple))
            update.crashes.push_back({ fingerprint, crashes });
        update.cleared = std::get<7>(tuple);
        return update;
    } catch (const std::exception&) {
        // The exceptions of msgpack share no more specific base class.
        throw UpdateUnreadable();
    }
}

} // namespace citronspoke::peers

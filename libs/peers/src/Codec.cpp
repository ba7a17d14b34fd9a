#include "Pack.h"
#include "peers/Peers.h"

namespace citronspoke::peers {

namespace {

    using LoadTuple = std::tuple<std::string, uint32_t,
        std::array<uint64_t, dispatch::UrgencyLevels>, uint64_t>;
    using PartTuple = std::tuple<std::string, uint32_t>;
    using PartsTuple = std::tuple<std::string, std::vector<PartTuple>>;
    using CrashTuple = std::tuple<uint64_t, std::vector<uint64_t>>;
    /** Engine, start of its incarnation, whether it decodes, whether it is changing. */
    using RoleTuple = std::tuple<std::string, int64_t, bool, bool>;
    /** Pool, decode engines, prefill engines, prompts a second. */
    using DemandTuple = std::tuple<std::string, float, float, float>;
    /** Target, start of its incarnation, whether it states a limit, requests a second, age of the
     * statement and of the first one in milliseconds, whether requests were refused. */
    using LimitTuple = std::tuple<std::string, int64_t, bool, double, int64_t, int64_t, bool>;
    /** Target, start of its incarnation. */
    using IncarnationTuple = std::tuple<std::string, int64_t>;
    /** Part, crashes, whether it is quarantined, the latest crash if there is one. */
    using PartCrashTuple
        = std::tuple<std::string, std::vector<int64_t>, bool, std::vector<int64_t>>;
    using UpdateTuple = std::tuple<std::string, int64_t, uint64_t, std::vector<LoadTuple>,
        std::vector<PartsTuple>, std::vector<std::string>, std::vector<CrashTuple>,
        std::vector<uint64_t>, std::vector<std::string>, std::vector<RoleTuple>,
        std::vector<DemandTuple>, std::vector<LimitTuple>, std::vector<IncarnationTuple>,
        std::vector<PartCrashTuple>, std::vector<std::string>, std::vector<int64_t>>;
    /** Gateway, its address, engine, start of its incarnation, whether it should decode, planners.
     */
    using RoleRequestTuple
        = std::tuple<std::string, std::string, std::string, int64_t, bool, uint32_t>;

    EngineRole roleOf(bool decodes) { return decodes ? EngineRole::Decode : EngineRole::Prefill; }

    template <typename Tag> std::vector<std::string> texts(const std::vector<Id<Tag>>& ids)
    {
        std::vector<std::string> list;
        list.reserve(ids.size());
        for (const Id<Tag>& id : ids)
            list.push_back(id.text());
        return list;
    }

    std::vector<int64_t> valuesOf(const std::vector<quarantine::CrashKey>& crashes)
    {
        std::vector<int64_t> values;
        values.reserve(crashes.size());
        for (const quarantine::CrashKey crash : crashes)
            values.push_back(crash.value());
        return values;
    }

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
    std::vector<CrashTuple> crashes;
    for (const CrashReport& report : update.crashes)
        crashes.emplace_back(report.fingerprint, report.crashes);
    std::vector<RoleTuple> roleTuples;
    for (const roles::RoleReport& report : update.roles)
        roleTuples.emplace_back(report.engine.text(), report.engineStartedAt.value(),
            report.role == EngineRole::Decode, report.isChanging);
    std::vector<DemandTuple> demands;
    for (const DemandReport& report : update.demands)
        demands.emplace_back(report.pool.text(), static_cast<float>(report.demand.decodeEngines),
            static_cast<float>(report.demand.prefillEngines),
            static_cast<float>(report.demand.prompts));
    std::vector<LimitTuple> limits;
    for (const conditions::LimitReport& report : update.limits)
        limits.emplace_back(report.target.text(), report.targetStartedAt.value(),
            report.limit.has_value(), report.limit.value_or(0), report.age.count(),
            report.ageOfFirst.count(), report.isShort);
    std::vector<IncarnationTuple> leaving;
    for (const fleet::Incarnation& incarnation : update.leaving)
        leaving.emplace_back(incarnation.target.text(), incarnation.startedAt.value());
    std::vector<PartCrashTuple> partCrashes;
    for (const quarantine::PartCrashReport& report : update.partCrashes) {
        std::vector<quarantine::CrashKey> latest;
        if (report.latest)
            latest.push_back(*report.latest);
        partCrashes.emplace_back(
            report.part.text(), valuesOf(report.crashes), report.isQuarantined, valuesOf(latest));
    }
    return pack(UpdateTuple(update.sender.text(), update.senderStartedAt.value(),
        update.sequenceNumber, std::move(loads), std::move(parts), texts(update.replaced),
        std::move(crashes), update.cleared, texts(update.unreachable), std::move(roleTuples),
        std::move(demands), std::move(limits), std::move(leaving), std::move(partCrashes),
        texts(update.servedParts), valuesOf(update.withdrawnCrashes)));
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
        for (const std::string& target : std::get<8>(tuple))
            update.unreachable.emplace_back(target);
        for (const auto& [engine, startedAt, decodes, isChanging] : std::get<9>(tuple))
            update.roles.push_back(
                { TargetId(engine), UnixMillis(startedAt), roleOf(decodes), isChanging });
        for (const auto& [pool, decodeEngines, prefillEngines, prompts] : std::get<10>(tuple))
            update.demands.push_back({ PoolId(pool), { decodeEngines, prefillEngines, prompts } });
        for (const auto& [target, startedAt, hasLimit, limit, age, ageOfFirst, isShort] :
            std::get<11>(tuple)) {
            conditions::LimitReport report { TargetId(target), UnixMillis(startedAt), std::nullopt,
                Milliseconds(age), Milliseconds(ageOfFirst), isShort };
            if (hasLimit)
                report.limit = limit;
            update.limits.push_back(std::move(report));
        }
        for (const auto& [target, startedAt] : std::get<12>(tuple))
            update.leaving.push_back({ TargetId(target), UnixMillis(startedAt) });
        for (const auto& [part, crashes, isQuarantined, latest] : std::get<13>(tuple)) {
            quarantine::PartCrashReport report { quarantine::PromptPartId(part),
                { crashes.begin(), crashes.end() }, isQuarantined, std::nullopt };
            if (!latest.empty())
                report.latest = quarantine::CrashKey(latest.front());
            update.partCrashes.push_back(std::move(report));
        }
        for (const std::string& part : std::get<14>(tuple))
            update.servedParts.emplace_back(part);
        for (const int64_t crash : std::get<15>(tuple))
            update.withdrawnCrashes.emplace_back(crash);
        return update;
    } catch (const std::exception&) {
        // The exceptions of msgpack share no more specific base class.
        throw UpdateUnreadable();
    }
}

std::string encode(const roles::RoleRequest& request)
{
    return pack(RoleRequestTuple(request.gateway.text(), request.replyTo.text(),
        request.change.engine.text(), request.change.engineStartedAt.value(),
        request.change.role == EngineRole::Decode, request.planners));
}

roles::RoleRequest decodeRoleRequest(std::string_view datagram)
{
    try {
        RoleRequestTuple tuple;
        msgpack::unpack(datagram.data(), datagram.size()).get().convert(tuple);
        const auto& [gateway, replyTo, engine, startedAt, decodes, planners] = tuple;
        return { EntryId(gateway), fleet::requireAddress(replyTo),
            { TargetId(engine), UnixMillis(startedAt), roleOf(decodes) }, planners };
    } catch (const std::exception&) {
        // As above; an unreadable address is an error of the sender too.
        throw UpdateUnreadable();
    }
}

} // namespace citronspoke::peers

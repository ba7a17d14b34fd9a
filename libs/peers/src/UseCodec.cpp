#include "UseCodec.h"

#include "Pack.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::peers {

namespace {

    /** Far from the kinds of messages about streams, which are numbered from 1. */
    constexpr uint8_t UseKind = 32;
    /** Four times the work of 1,000 engines in the window. */
    constexpr uint64_t MaxUnits = uint64_t { 1000 } * 5000;
    /** Numbers below 65,536 take three bytes instead of five: 262 s of engine time. */
    constexpr double UnitMilliseconds = 4;
    /** Organisation, engine time used, engine time wanted beyond that. */
    using TimeTuple = std::tuple<std::string, uint64_t, uint64_t>;
    /** Kind, sender, pool, scope, the heaviest organisations, used and wanted by the others. */
    using ReportTuple = std::tuple<uint8_t, std::string, std::string, uint8_t,
        std::vector<TimeTuple>, uint64_t, uint64_t>;

    uint64_t unitsOf(shares::EngineMilliseconds time)
    {
        return std::min(
            static_cast<uint64_t>(std::llround(std::max(0.0, time / UnitMilliseconds))), MaxUnits);
    }

    shares::EngineTime engineTime(uint64_t used, uint64_t wantedBeyond)
    {
        if (used > MaxUnits || wantedBeyond > MaxUnits)
            throw UpdateUnreadable();
        return { UnitMilliseconds * static_cast<double>(used),
            UnitMilliseconds * static_cast<double>(used + wantedBeyond) };
    }

} // namespace

std::string encode(const shares::UseReport& report)
{
    std::vector<TimeTuple> heaviest;
    for (const auto& [organisation, time] : report.use.heaviest)
        heaviest.emplace_back(
            organisation.text(), unitsOf(time.used), unitsOf(time.wanted - time.used));
    const shares::EngineTime& others = report.use.others;
    return pack(ReportTuple(UseKind, report.sender.text(), report.pool.text(),
        static_cast<uint8_t>(report.scope), std::move(heaviest), unitsOf(others.used),
        unitsOf(others.wanted - others.used)));
}

bool isUseReport(std::string_view datagram) noexcept
{
    constexpr uint8_t ArrayOfTuple = 0x90 + std::tuple_size_v<ReportTuple>;
    return datagram.size() > 1 && static_cast<uint8_t>(datagram[0]) == ArrayOfTuple
        && static_cast<uint8_t>(datagram[1]) == UseKind;
}

shares::UseReport decodeUseReport(std::string_view datagram)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(datagram.data(), datagram.size());
        const auto [kind, sender, pool, scope, heaviest, used, wantedBeyond]
            = handle.get().as<ReportTuple>();
        if (scope > static_cast<uint8_t>(shares::UseScope::All)
            || heaviest.size() > shares::MaxReportedOrganisations)
            throw UpdateUnreadable();
        shares::UseReport report { EntryId(sender), PoolId(pool),
            static_cast<shares::UseScope>(scope), {} };
        for (const auto& [organisation, itsUsed, itsWantedBeyond] : heaviest)
            report.use.heaviest[OrganisationId(organisation)]
                += engineTime(itsUsed, itsWantedBeyond);
        report.use.others = engineTime(used, wantedBeyond);
        return report;
    } catch (const std::exception&) {
        // The exceptions of msgpack share no more specific base class.
        throw UpdateUnreadable();
    }
}

} // namespace citronspoke::peers

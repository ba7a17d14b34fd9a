#include "peers/Peers.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::peers;

namespace {

/** @return a full report of one of 330 gateways that share 840 engines: 12.7 s of engine time in a
 * window, and as much again that was wanted. */
shares::UseReport fullReport()
{
    shares::UseReport report { EntryId("edge-khi-korangi-11"), PoolId("huvo11a"),
        shares::UseScope::Group, {} };
    for (size_t index = 0; index < shares::MaxReportedOrganisations; ++index)
        report.use.heaviest[OrganisationId("hule9" + std::to_string(100 + index))] = { 600, 1200 };
    report.use.others = { 3000, 6000 };
    return report;
}

} // namespace

Test(use_reports, survive_encoding_and_fit_into_a_network_packet)
{
    const shares::UseReport report = fullReport();
    const std::string datagram = encode(report);
    cr_assert_leq(datagram.size(), 1400U);
    const shares::UseReport decoded = std::get<shares::UseReport>(decodeMessage(datagram));
    cr_assert(decoded.sender == report.sender && decoded.pool == report.pool);
    cr_assert(decoded.scope == report.scope && decoded.use == report.use);
}

// Guards against broken datagrams that end the process or are taken for something else.
Test(use_reports, broken_datagrams_are_rejected)
{
    const std::string datagram = encode(fullReport());
    for (size_t length = 2; length < datagram.size(); ++length)
        cr_assert_throw(decodeMessage(datagram.substr(0, length)), UpdateUnreadable);
    shares::UseReport report = fullReport();
    report.use.heaviest[OrganisationId("one more")] = { 1, 1 };
    cr_assert_throw(decodeMessage(encode(report)), UpdateUnreadable);
    report = fullReport();
    report.scope = static_cast<shares::UseScope>(3);
    cr_assert_throw(decodeMessage(encode(report)), UpdateUnreadable);
}

// Guards against reports that need more than the 26 KB/s for all control traffic of a node.
Test(use_reports, stay_small_with_330_gateways)
{
    constexpr size_t Gateways = 330;
    constexpr double HeaderBytes = 28;
    constexpr double ReportsPerSecond = 2;
    constexpr double MaxBytesPerSecond = 26000;
    std::vector<EntryId> ids;
    std::vector<shares::UseExchange> exchanges;
    for (size_t index = 0; index < Gateways; ++index) {
        ids.emplace_back("edge-khi-korangi-" + std::to_string(index));
        exchanges.emplace_back(ids.back(), PoolId("huvo11a"));
    }
    for (shares::UseExchange& exchange : exchanges)
        exchange.updateGateways(ids);
    std::vector<double> sent(Gateways);
    std::vector<double> received(Gateways);
    const SteadyTime start { std::chrono::hours(1) };
    for (int round = 0; round < 4; ++round) {
        std::fill(sent.begin(), sent.end(), 0);
        std::fill(received.begin(), received.end(), 0);
        for (size_t index = 0; index < Gateways; ++index) {
            for (const auto& [report, recipients] : exchanges[index].takeReports(
                     fullReport().use, start + round * shares::UseReportInterval)) {
                const double bytes
                    = (static_cast<double>(encode(report).size()) + HeaderBytes) * ReportsPerSecond;
                for (const EntryId& recipient : recipients) {
                    const size_t to = static_cast<size_t>(
                        std::find(ids.begin(), ids.end(), recipient) - ids.begin());
                    sent[index] += bytes;
                    received[to] += bytes;
                    exchanges[to].onReport(report, start + round * shares::UseReportInterval);
                }
            }
        }
    }
    double sum = 0;
    for (const double bytes : sent)
        sum += bytes;
    std::printf("bytes a second: mean %.0f, most sent %.0f, most received %.0f\n", sum / Gateways,
        *std::max_element(sent.begin(), sent.end()),
        *std::max_element(received.begin(), received.end()));
    cr_expect_leq(*std::max_element(sent.begin(), sent.end()), MaxBytesPerSecond);
    cr_expect_leq(*std::max_element(received.begin(), received.end()), MaxBytesPerSecond);
}

#include "peers/Peers.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::peers;

Test(updates, survive_encoding_and_fit_into_network_packets)
{
    Outbox outbox;
    for (int index = 0; index < 50; ++index) {
        dispatch::Load load { 3, {}, 4000 };
        load.promptTokens[2] = 1234;
        outbox.add(LoadReport { TargetId("i-0123456789-" + std::to_string(index)), load });
    }
    outbox.add(CachedPartsReport { TargetId("i-1"), { { "5c1e07a2", 800 }, { "91bd3f06", 410 } } });
    outbox.addReplaced(TargetId("i-2"));
    for (uint64_t fingerprint = 1; fingerprint <= 70; ++fingerprint)
        outbox.add(CrashReport { fingerprint, { 7, 8, 9 } });
    outbox.addCleared(99);
    outbox.add(conditions::LimitReport {
        TargetId("i-3"), UnixMillis(7), 4.3, Milliseconds(20), Milliseconds(900), true });
    outbox.add(conditions::LimitReport {
        TargetId("i-4"), UnixMillis(8), std::nullopt, Milliseconds(0), Milliseconds(0), false });
    for (int64_t index = 0; index < 10; ++index)
        outbox.addLeaving({ TargetId("i-0123456789-" + std::to_string(index)), UnixMillis(index) });
    const std::string longPart(32, 'a');
    for (int64_t index = 0; index < 9; ++index) {
        quarantine::PartCrashReport report { quarantine::PromptPartId(longPart), {}, index == 8,
            {} };
        if (index == 8)
            report.latest = quarantine::CrashKey(-5);
        for (int64_t crash = 0; crash < 16; ++crash)
            report.crashes.emplace_back(std::numeric_limits<int64_t>::min() + crash);
        outbox.add(std::move(report));
        outbox.addServed(quarantine::PromptPartId(longPart + std::to_string(index)));
        outbox.addWithdrawn(quarantine::CrashKey(-index));
    }
    std::vector<quarantine::PartCrashReport> partCrashes;
    std::vector<quarantine::PromptPartId> servedParts;
    std::vector<quarantine::CrashKey> withdrawn;
    std::vector<fleet::Incarnation> leaving;
    std::vector<conditions::LimitReport> limits;
    constexpr size_t PacketBytes = 1400;
    size_t loads = 0;
    size_t parts = 0;
    size_t replaced = 0;
    size_t crashes = 0;
    size_t cleared = 0;
    for (const std::string& datagram : outbox.takeDatagrams(EntryId("g"), UnixMillis(5))) {
        cr_expect_leq(datagram.size(), PacketBytes);
        const Update update = decode(datagram);
        loads += update.loads.size();
        parts += update.parts.size();
        replaced += update.replaced.size();
        crashes += update.crashes.size();
        cleared += update.cleared.size();
        limits.insert(limits.end(), update.limits.begin(), update.limits.end());
        leaving.insert(leaving.end(), update.leaving.begin(), update.leaving.end());
        partCrashes.insert(partCrashes.end(), update.partCrashes.begin(), update.partCrashes.end());
        servedParts.insert(servedParts.end(), update.servedParts.begin(), update.servedParts.end());
        withdrawn.insert(
            withdrawn.end(), update.withdrawnCrashes.begin(), update.withdrawnCrashes.end());
        for (const CrashReport& report : update.crashes)
            cr_expect(report.crashes == std::vector<uint64_t>({ 7, 8, 9 }));
        for (const LoadReport& report : update.loads)
            cr_expect(report.load.promptTokens[2] == 1234 && report.load.usedCacheTokens == 4000);
    }
    cr_assert_eq(loads, 50U);
    cr_assert_eq(parts, 1U);
    cr_assert_eq(replaced, 1U);
    cr_assert_eq(crashes, 70U);
    cr_assert_eq(cleared, 1U);
    cr_assert_eq(leaving.size(), 10U);
    cr_assert_eq(partCrashes.size(), 9U);
    cr_assert(partCrashes[8].part == quarantine::PromptPartId(longPart));
    cr_assert(partCrashes[8].isQuarantined && !partCrashes[7].isQuarantined);
    cr_assert(partCrashes[8].latest == quarantine::CrashKey(-5) && !partCrashes[7].latest);
    cr_assert(partCrashes[8].crashes.size() == 16U
        && partCrashes[8].crashes[1].value() == std::numeric_limits<int64_t>::min() + 1);
    cr_assert_eq(servedParts.size(), 9U);
    cr_assert(servedParts[8] == quarantine::PromptPartId(longPart + "8"));
    cr_assert_eq(withdrawn.size(), 9U);
    cr_assert(withdrawn[8] == quarantine::CrashKey(-8));
    cr_assert(leaving[7] == (fleet::Incarnation { TargetId("i-0123456789-7"), UnixMillis(7) }));
    cr_assert_eq(limits.size(), 2U);
    cr_assert(limits[0].target == TargetId("i-3") && limits[0].targetStartedAt == UnixMillis(7));
    cr_assert(limits[0].limit == 4.3 && limits[0].age == Milliseconds(20)
        && limits[0].ageOfFirst == Milliseconds(900) && limits[0].isShort);
    cr_assert(limits[1].target == TargetId("i-4") && !limits[1].limit.has_value());
    cr_assert(outbox.empty());
}

Test(updates, that_are_stale_or_duplicate_are_rejected)
{
    StaleUpdateFilter filter;
    Update update;
    update.sender = EntryId("g");
    update.senderStartedAt = UnixMillis(5);
    update.sequenceNumber = 2;
    cr_assert(filter.accept(update));
    cr_assert_not(filter.accept(update));
    update.sequenceNumber = 1;
    cr_assert_not(filter.accept(update));
    // Sequence numbers restart with each incarnation of the sender.
    update.senderStartedAt = UnixMillis(6);
    cr_assert(filter.accept(update));
    update.senderStartedAt = UnixMillis(5);
    update.sequenceNumber = 9;
    cr_assert_not(filter.accept(update));
}

Test(updates, of_a_sender_that_restarts_after_its_clock_was_set_back_are_accepted)
{
    StaleUpdateFilter filter;
    Update update;
    update.sender = EntryId("g");
    update.senderStartedAt = UnixMillis(5000);
    update.sequenceNumber = 9;
    cr_assert(filter.accept(update));
    update.senderStartedAt = UnixMillis(3000);
    update.sequenceNumber = 1;
    cr_assert(filter.accept(update));
    update.sequenceNumber = 2;
    cr_assert(filter.accept(update));
    // A late datagram of the incarnation before.
    update.senderStartedAt = UnixMillis(5000);
    update.sequenceNumber = 10;
    cr_assert_not(filter.accept(update));
}

Test(role_messages, survive_encoding)
{
    const roles::RoleRequest request { EntryId("g"), { "10.0.0.1", 7380 },
        { TargetId("e"), UnixMillis(7), EngineRole::Decode }, 5 };
    const roles::RoleRequest decoded = decodeRoleRequest(encode(request));
    cr_expect(decoded.gateway == request.gateway && decoded.replyTo == request.replyTo);
    cr_expect(decoded.change == request.change);
    cr_expect_eq(decoded.planners, request.planners);
    Outbox outbox;
    const roles::RoleReport report { TargetId("e"), UnixMillis(7), EngineRole::Prefill, true };
    outbox.add(report);
    outbox.add(DemandReport { PoolId("p"), { 1.5, 7.25 } });
    outbox.addUnreachable(TargetId("lost"));
    const std::vector<std::string> datagrams = outbox.takeDatagrams(EntryId("side"), UnixMillis(1));
    cr_assert_eq(datagrams.size(), 1U);
    const Update update = decode(datagrams.front());
    cr_assert_eq(update.roles.size(), 1U);
    cr_expect(update.roles.front() == report);
    cr_assert_eq(update.demands.size(), 1U);
    cr_expect_eq(update.demands.front().demand.prefillEngines, 7.25);
    cr_expect(update.unreachable == std::vector<TargetId> { TargetId("lost") });
}

Test(role_messages, that_cannot_be_decoded_throw_update_unreadable)
{
    for (const std::string& bytes : { std::string(), std::string("text"),
             encode(roles::RoleRequest {}), std::string("\x96\xa1g\xa1x") }) {
        bool isRejected = false;
        try {
            decodeRoleRequest(bytes);
        } catch (const UpdateUnreadable&) {
            isRejected = true;
        }
        cr_expect(isRejected);
    }
}

Test(updates, that_cannot_be_decoded_throw_update_unreadable)
{
    for (const std::string_view bytes : { "", "\xc1", "text", "\x95\xa1g\x05" }) {
        bool isRejected = false;
        try {
            decode(bytes);
        } catch (const UpdateUnreadable&) {
            isRejected = true;
        }
        cr_expect(isRejected);
    }
}

Test(origin_messages, survive_encoding_and_are_told_from_updates)
{
    const streams::OriginRecord origin { SoftwareVersion("v1"), PoolId("llm") };
    const Message note = decodeMessage(encode(streams::OriginNote { RequestId("a1"), origin }));
    cr_assert(std::get<streams::OriginNote>(note).attempt == RequestId("a1"));
    cr_assert(std::get<streams::OriginNote>(note).origin == origin);
    const std::vector<PoolId> pools { PoolId("llm"), PoolId("other") };
    const Message query = decodeMessage(
        encode(streams::OriginQuery { 300, RequestId("a1"), pools, { "127.0.0.1", 9000 } }));
    cr_assert_eq(std::get<streams::OriginQuery>(query).number, 300U);
    cr_assert(std::get<streams::OriginQuery>(query).pools == pools);
    cr_assert_eq(std::get<streams::OriginQuery>(query).replyTo.port, 9000);
    streams::OriginReply reply { 300, RequestId("a1"), EntryId("g"), origin, {} };
    reply.view = { { SoftwareVersion("v1"), SoftwareVersion("v2") }, true, false };
    const Message received = decodeMessage(encode(reply));
    const streams::OriginReply& decoded = std::get<streams::OriginReply>(received);
    cr_assert(decoded.number == 300 && decoded.attempt == RequestId("a1")
        && decoded.gateway == EntryId("g"));
    cr_assert(decoded.origin == origin);
    cr_assert(decoded.view.versions == reply.view.versions);
    cr_assert(decoded.view.coversWindow && !decoded.view.isCurrent);
    Outbox outbox;
    outbox.addCleared(1);
    const std::string update = outbox.takeDatagrams(EntryId("g"), UnixMillis(5)).front();
    cr_assert(std::holds_alternative<Update>(decodeMessage(update)));
}

Test(origin_batches, survive_encoding_and_are_told_from_role_requests_and_queries)
{
    const streams::OriginRecord first { SoftwareVersion("v1"), PoolId("llm") };
    const streams::OriginRecord otherVersion { SoftwareVersion("v2"), PoolId("llm") };
    const streams::OriginRecord otherPool { SoftwareVersion("v1"), PoolId("other") };
    const std::vector<streams::OriginNote> notes { { RequestId("a1"), first },
        { RequestId("a2"), otherVersion }, { RequestId("a3"), first },
        { RequestId("a4"), otherPool } };
    const SidecarMessage batch = decodeSidecarMessage(encode(OriginBatch { notes }));
    std::map<RequestId, streams::OriginRecord> received;
    for (const streams::OriginNote& note : std::get<OriginBatch>(batch).notes)
        received[note.attempt] = note.origin;
    cr_assert_eq(received.size(), notes.size());
    for (const streams::OriginNote& note : notes)
        cr_assert(received[note.attempt] == note.origin);
    const fleet::Address gateway { "127.0.0.1", 9000 };
    const SidecarMessage query = decodeSidecarMessage(
        encode(streams::OriginQuery { 7, RequestId("a1"), { PoolId("llm") }, gateway }));
    cr_assert(std::get<streams::OriginQuery>(query).replyTo == gateway);
    const roles::RoleChange change { TargetId("e1"), UnixMillis(5), EngineRole::Decode };
    const SidecarMessage request
        = decodeSidecarMessage(encode(roles::RoleRequest { EntryId("g"), gateway, change, 3 }));
    cr_assert(std::get<roles::RoleRequest>(request).change == change);
}

Test(origin_batches, that_are_malformed_are_rejected)
{
    const std::string batch
        = encode(OriginBatch { { { RequestId("a1"), { SoftwareVersion("v1"), {} } } } });
    const std::string reply = encode(streams::OriginReply {});
    const std::string note = encode(streams::OriginNote {});
    for (const std::string& malformed :
        { std::string(), batch.substr(0, batch.size() - 1), batch.substr(0, 2), reply, note }) {
        bool isRejected = false;
        try {
            decodeSidecarMessage(malformed);
        } catch (const UpdateUnreadable&) {
            isRejected = true;
        }
        cr_expect(isRejected);
    }
}

Test(origin_messages, that_are_malformed_are_rejected)
{
    const std::string query = encode(
        streams::OriginQuery { 7, RequestId("a1"), { PoolId("llm") }, { "127.0.0.1", 9000 } });
    for (const std::string& malformed : { std::string(), std::string("\x91\x09", 2),
             std::string("\x91\x01", 2), query.substr(0, query.size() - 1), query.substr(0, 3) }) {
        bool isRejected = false;
        try {
            decodeMessage(malformed);
        } catch (const UpdateUnreadable&) {
            isRejected = true;
        }
        cr_expect(isRejected);
    }
}

// Guards against counts and statuses of duties that are lost or cut in transit.
Test(duty_messages, decode_to_what_was_encoded)
{
    duties::CountsMessage counts { { EntryId("g"), UnixMillis(5) }, UnixMillis(7),
        duties::WindowNumber(9), {} };
    constexpr int Organisations = 200;
    for (int number = 0; number < Organisations; ++number)
        counts.counts[OrganisationId("organisation-" + std::to_string(number))] = 100000U + number;
    duties::Counts received;
    constexpr size_t PacketBytes = 1400;
    for (const std::string& datagram : encodeInParts(counts)) {
        cr_assert_leq(datagram.size(), PacketBytes);
        const Message message = decodeMessage(datagram);
        const duties::CountsMessage& part = std::get<duties::CountsMessage>(message);
        cr_assert(part.source == counts.source && part.window == counts.window);
        cr_assert_eq(part.clock.value(), 7);
        received.insert(part.counts.begin(), part.counts.end());
    }
    cr_assert(received == counts.counts);
    cr_assert_eq(encodeInParts({ counts.source, {}, {}, {} }).size(), 1U);

    const duties::DutyStatus status { counts.source, UnixMillis(1), FencingNumber(2), std::nullopt,
        duties::WindowNumber(4) };
    const Message message = decodeMessage(encode(status));
    const duties::DutyStatus& decoded = std::get<duties::DutyStatus>(message);
    cr_assert(decoded.sender == status.sender && decoded.trueTime == status.trueTime);
    cr_assert_eq(decoded.greatestNumber.value(), 2);
    cr_assert(!decoded.recordedThrough && decoded.doneThrough == status.doneThrough);
}

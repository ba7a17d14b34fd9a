#include "DutyCodec.h"

namespace citronspoke::peers {

namespace {

    /** The kind of a message about duties; the numbers differ from those of other messages. */
    enum class DutyKind : uint8_t { Counts = 16, Status = 17 };
    /** Kind, gateway, its start, its clock, window, organisations, their counts. */
    using CountsTuple = std::tuple<uint8_t, std::string, int64_t, int64_t, int64_t,
        std::vector<std::string>, std::vector<uint64_t>>;
    /** Kind, sender, its start, true time, greatest fencing number, recorded and finished windows;
     * -1 for what is not known. */
    using StatusTuple
        = std::tuple<uint8_t, std::string, int64_t, int64_t, int64_t, int64_t, int64_t>;
    constexpr int64_t Unknown = -1;

    template <typename Number> int64_t valueOf(const std::optional<Number>& number)
    {
        return number ? number->value() : Unknown;
    }

    template <typename Number> std::optional<Number> numberOf(int64_t value)
    {
        if (value == Unknown)
            return std::nullopt;
        return Number(value);
    }

    duties::CountsMessage decodeCounts(const msgpack::object& object)
    {
        const auto [kind, gateway, startedAt, clock, window, organisations, values]
            = unpackArray<CountsTuple>(object);
        if (organisations.size() != values.size())
            throw UpdateUnreadable();
        duties::CountsMessage message { { EntryId(gateway), UnixMillis(startedAt) },
            UnixMillis(clock), duties::WindowNumber(window), {} };
        for (size_t index = 0; index < values.size(); ++index)
            message.counts[OrganisationId(organisations[index])] = values[index];
        return message;
    }

    duties::DutyStatus decodeStatus(const msgpack::object& object)
    {
        const auto [kind, sender, startedAt, trueTime, number, recorded, done]
            = unpackArray<StatusTuple>(object);
        return { { EntryId(sender), UnixMillis(startedAt) }, numberOf<UnixMillis>(trueTime),
            FencingNumber(number), numberOf<duties::WindowNumber>(recorded),
            numberOf<duties::WindowNumber>(done) };
    }

} // namespace

bool isDutyKind(uint8_t kind)
{
    return kind == static_cast<uint8_t>(DutyKind::Counts)
        || kind == static_cast<uint8_t>(DutyKind::Status);
}

Message decodeDutyMessage(uint8_t kind, const msgpack::object& object)
{
    if (kind == static_cast<uint8_t>(DutyKind::Counts))
        return decodeCounts(object);
    return decodeStatus(object);
}

std::string encode(const duties::CountsMessage& message)
{
    std::vector<std::string> organisations;
    std::vector<uint64_t> values;
    for (const auto& [organisation, count] : message.counts) {
        organisations.push_back(organisation.text());
        values.push_back(count);
    }
    return pack(CountsTuple(static_cast<uint8_t>(DutyKind::Counts), message.source.gateway.text(),
        message.source.startedAt.value(), message.clock.value(), message.window.value(),
        std::move(organisations), std::move(values)));
}

std::vector<std::string> encodeInParts(const duties::CountsMessage& message)
{
    // With the fields before the counts, a datagram fits into one network packet.
    constexpr size_t MaxCountBytes = 1100;
    /** Of a count and the headers of both values. */
    constexpr size_t BytesPerCount = 12;
    std::vector<std::string> parts;
    duties::CountsMessage part = message;
    part.counts.clear();
    size_t bytes = 0;
    for (const auto& [organisation, count] : message.counts) {
        const size_t size = organisation.text().size() + BytesPerCount;
        if (bytes + size > MaxCountBytes && !part.counts.empty()) {
            parts.push_back(encode(part));
            part.counts.clear();
            bytes = 0;
        }
        part.counts[organisation] = count;
        bytes += size;
    }
    parts.push_back(encode(part));
    return parts;
}

std::string encode(const duties::DutyStatus& status)
{
    return pack(StatusTuple(static_cast<uint8_t>(DutyKind::Status), status.sender.gateway.text(),
        status.sender.startedAt.value(), valueOf(status.trueTime), status.greatestNumber.value(),
        valueOf(status.recordedThrough), valueOf(status.doneThrough)));
}

} // namespace citronspoke::peers

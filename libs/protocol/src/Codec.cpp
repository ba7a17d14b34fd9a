#include "protocol/Protocol.h"

#include <msgpack.hpp>

// Defines the encoding of a message as an array of its fields, in the given order. The order is
// part of the wire format.
#define CITRONSPOKE_FIELDS(Type, ...)                                                              \
    template <> struct pack<Type> {                                                                \
        template <typename Stream>                                                                 \
        packer<Stream>& operator()(packer<Stream>& out, const Type& m) const                       \
        {                                                                                          \
            return out.pack(std::forward_as_tuple(__VA_ARGS__));                                   \
        }                                                                                          \
    };                                                                                             \
    template <> struct convert<Type> {                                                             \
        const msgpack::object& operator()(const msgpack::object& in, Type& m) const                \
        {                                                                                          \
            auto fields = std::tie(__VA_ARGS__);                                                   \
            in.convert(fields);                                                                    \
            return in;                                                                             \
        }                                                                                          \
    };

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        using namespace citronspoke;
        using namespace citronspoke::protocol;

        template <typename Tag> struct pack<Id<Tag>> {
            template <typename Stream>
            packer<Stream>& operator()(packer<Stream>& out, const Id<Tag>& id) const
            {
                return out.pack(id.text());
            }
        };

        template <typename Tag> struct convert<Id<Tag>> {
            const msgpack::object& operator()(const msgpack::object& in, Id<Tag>& id) const
            {
                id = Id<Tag>(in.as<std::string>());
                return in;
            }
        };

        template <typename Tag> struct pack<Number<Tag>> {
            template <typename Stream>
            packer<Stream>& operator()(packer<Stream>& out, const Number<Tag>& number) const
            {
                return out.pack(number.value());
            }
        };

        template <typename Tag> struct convert<Number<Tag>> {
            const msgpack::object& operator()(const msgpack::object& in, Number<Tag>& number) const
            {
                number = Number<Tag>(in.as<int64_t>());
                return in;
            }
        };

        template <typename Enum>
        requires std::is_enum_v<Enum>
        struct pack<Enum> {
            template <typename Stream>
            packer<Stream>& operator()(packer<Stream>& out, Enum value) const
            {
                return out.pack(static_cast<uint8_t>(value));
            }
        };

        template <typename Enum>
        requires std::is_enum_v<Enum>
        struct convert<Enum> {
            const msgpack::object& operator()(const msgpack::object& in, Enum& value) const
            {
                value = static_cast<Enum>(in.as<uint8_t>());
                return in;
            }
        };

        CITRONSPOKE_FIELDS(TargetLoad, m.runningPaying, m.runningTrial, m.queuedPaying,
            m.queuedTrial, m.slots, m.prefillBacklogTokens, m.decodeBacklogTokens,
            m.prefillTokensPerSecond, m.decodeStepMs, m.promptDemandPerSecond,
            m.outputDemandPerSecond)
        CITRONSPOKE_FIELDS(CrashRecord, m.fingerprint, m.crashes, m.expires)
        CITRONSPOKE_FIELDS(OrderProgress, m.fencing, m.sequence, m.done)
        CITRONSPOKE_FIELDS(
            Subscribe, m.entry, m.address, m.operatorAddress, m.configRevision, m.crashRecords)
        CITRONSPOKE_FIELDS(Heartbeat, m.target, m.address, m.incarnation, m.role, m.state, m.load,
            m.configRevision, m.orderProgress, m.entryCount, m.crashRecords)
        CITRONSPOKE_FIELDS(Submit, m.request, m.attempt, m.entry, m.replyTo, m.organisation,
            m.workClass, m.kind, m.deadline, m.promptTokens, m.outputTokens, m.resumeFrom, m.method,
            m.path, m.body, m.key, m.fingerprint, m.crashes, m.configRevision)
        CITRONSPOKE_FIELDS(Cancel, m.request, m.attempt)
        CITRONSPOKE_FIELDS(Attach, m.request, m.organisation, m.replyTo, m.fromOffset)
        CITRONSPOKE_FIELDS(Accepted, m.request, m.attempt)
        CITRONSPOKE_FIELDS(Chunk, m.request, m.attempt, m.offset, m.tokens, m.text)
        CITRONSPOKE_FIELDS(
            Final, m.request, m.attempt, m.totalTokens, m.httpStatus, m.body, m.replayed)
        CITRONSPOKE_FIELDS(Refusal, m.request, m.attempt, m.reason, m.execution, m.retryAfterMs,
            m.owner, m.configRevision)
        CITRONSPOKE_FIELDS(ConfigPull, m.replyTo, m.knownRevision)
        CITRONSPOKE_FIELDS(ConfigPush, m.revision, m.document)
        CITRONSPOKE_FIELDS(OrderHint, m.pool)

    } // namespace adaptor
}
} // namespace msgpack

namespace citronspoke::protocol {

namespace {

    template <size_t Index = 0>
    Message decodeAlternative(size_t index, const msgpack::object& object)
    {
        if constexpr (Index < std::variant_size_v<Message>) {
            if (index == Index)
                return object.as<std::variant_alternative_t<Index, Message>>();
            return decodeAlternative<Index + 1>(index, object);
        } else {
            throw MalformedEnvelope();
        }
    }

} // namespace

std::string encode(const Envelope& envelope)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(1 + 2 * static_cast<uint32_t>(envelope.messages.size()));
    out.pack(envelope.clock);
    for (const Message& message : envelope.messages) {
        out.pack(static_cast<uint8_t>(message.index()));
        std::visit([&out](const auto& body) { out.pack(body); }, message);
    }
    return { buffer.data(), buffer.size() };
}

Envelope decode(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        const msgpack::object& root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size % 2 != 1)
            throw MalformedEnvelope();
        const std::span<const msgpack::object> items(root.via.array.ptr, root.via.array.size);
        Envelope envelope;
        envelope.clock = items[0].as<uint64_t>();
        for (size_t position = 1; position < items.size(); position += 2) {
            envelope.messages.push_back(
                decodeAlternative(items[position].as<uint8_t>(), items[position + 1]));
        }
        return envelope;
    } catch (const MalformedEnvelope&) {
        throw;
    } catch (const std::exception&) {
        throw MalformedEnvelope();
    }
}

} // namespace citronspoke::protocol

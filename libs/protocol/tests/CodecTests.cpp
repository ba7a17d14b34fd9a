#include "protocol/Protocol.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace citronspoke;
using namespace citronspoke::protocol;

Test(codec, every_message_type_survives_encoding_and_decoding)
{
    Envelope envelope;
    envelope.clock = 77;
    Submit submit;
    submit.request = RequestId("r");
    submit.key = IdempotencyKey("k");
    submit.deadline = UnixMillis(1234567890123);
    submit.crashes = { 1, 2 };
    envelope.messages = { Subscribe {}, Heartbeat {}, submit, Cancel {}, Attach {}, Accepted {},
        Chunk { RequestId("r"), AttemptNumber(2), 5, 1, " t" }, Final {}, Refusal {}, ConfigPull {},
        ConfigPush {}, OrderHint {} };
    const Envelope decoded = decode(encode(envelope));
    cr_assert_eq(decoded.clock, 77);
    cr_assert_eq(decoded.messages.size(), std::variant_size_v<Message>);
    for (size_t index = 0; index < decoded.messages.size(); ++index)
        cr_assert_eq(decoded.messages[index].index(), index);
    const Submit& received = std::get<Submit>(decoded.messages[2]);
    cr_assert(received.request == submit.request);
    cr_assert(received.deadline == submit.deadline);
    cr_assert(received.crashes == submit.crashes);
}

Test(codec, arbitrary_bytes_decode_or_are_reported_as_malformed)
{
    const bool holds
        = rc::check("decode throws MalformedEnvelope only", [](const std::string& bytes) {
              try {
                  decode(bytes);
              } catch (const MalformedEnvelope&) {
                  RC_SUCCEED("refused");
              }
          });
    cr_assert(holds);
}

Test(codec, an_envelope_with_a_changed_byte_decodes_or_is_reported_as_malformed)
{
    Envelope envelope;
    envelope.messages = { Heartbeat {}, Submit {}, Refusal {} };
    const std::string valid = encode(envelope);
    const bool holds = rc::check("decode throws MalformedEnvelope only", [&valid] {
        std::string bytes = valid;
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        try {
            decode(bytes);
        } catch (const MalformedEnvelope&) {
            RC_SUCCEED("refused");
        }
    });
    cr_assert(holds);
}

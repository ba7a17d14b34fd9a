#pragma once

#include "journal/Journal.h"

#include <map>

namespace citronspoke::journal {

enum class RecordState : uint8_t { Started, Finished, NotRun };

/** What the journal keeps of one call. */
struct Record {
    RecordState state = RecordState::Started;
    Incarnation startedBy;
    RequestId request;
    uint64_t fingerprint = 0;
    UnixMillis time;
    Result result;
};

using Records = std::map<IdempotencyKey, Record>;

/** The swapped value of one journal shard. */
struct ShardHead {
    TargetId owner;
    Incarnation incarnation;
    /** Differs in every write, so that a lost answer can be told from a lost race. */
    std::string nonce;
    Records records;
    /** Store keys of immutable segments with older finished records. */
    std::vector<std::string> segments;
};

std::string encodeHead(const ShardHead& head);
ShardHead decodeHead(std::string_view text);
std::string encodeRecords(const Records& records);
Records decodeRecords(std::string_view text);

} // namespace citronspoke::journal

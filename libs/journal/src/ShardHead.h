#pragma once

#include "journal/Journal.h"

#include <map>

namespace citronspoke::journal {

/** Progress of a call. Values are stored as numbers. */
enum class RecordState : uint8_t { Started, Finished, NotRun };

/** The journal's record of one call. */
struct Record {
    RecordState state = RecordState::Started;
    Incarnation startedBy;
    RequestId request;
    uint64_t fingerprint = 0;
    UnixMillis time;
    Result result;
};

using Records = std::map<IdempotencyKey, Record>;

/** The head record of one journal shard, replaced as a whole by compare-and-swap. */
struct ShardHead {
    TargetId owner;
    Incarnation incarnation;
    /**
     * Differs in every write. Distinguishes a successful write whose response was lost from a
     * write by another process.
     */
    std::string nonce;
    Records records;
    /** Store keys of immutable segments with older records that are finished or not run. */
    std::vector<std::string> segments;
};

/** JSON as it is in the store. Decoding throws nlohmann::json::exception on malformed text. */
std::string encodeHead(const ShardHead& head);
ShardHead decodeHead(std::string_view text);
std::string encodeRecords(const Records& records);
Records decodeRecords(std::string_view text);

} // namespace citronspoke::journal

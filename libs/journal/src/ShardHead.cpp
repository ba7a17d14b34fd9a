#include "ShardHead.h"

#include <nlohmann/json.hpp>

namespace citronspoke::journal {

namespace {

    using nlohmann::json;

    json toJson(const Records& records)
    {
        json list = json::array();
        for (const auto& [key, record] : records) {
            list.push_back({ key.text(), static_cast<int>(record.state), record.startedBy.text(),
                record.request.text(), record.fingerprint, record.time.value(),
                record.result.httpStatus, record.result.body });
        }
        return list;
    }

    Records recordsFrom(const json& list)
    {
        Records records;
        for (const json& item : list) {
            Record& record = records[IdempotencyKey(item.at(0).get<std::string>())];
            record.state = static_cast<RecordState>(item.at(1).get<int>());
            record.startedBy = Incarnation(item.at(2).get<std::string>());
            record.request = RequestId(item.at(3).get<std::string>());
            record.fingerprint = item.at(4);
            record.time = UnixMillis(item.at(5).get<int64_t>());
            record.result.httpStatus = item.at(6);
            record.result.body = item.at(7);
        }
        return records;
    }

} // namespace

std::string encodeHead(const ShardHead& head)
{
    const json object { { "owner", head.owner.text() }, { "incarnation", head.incarnation.text() },
        { "nonce", head.nonce }, { "records", toJson(head.records) },
        { "segments", head.segments } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

ShardHead decodeHead(std::string_view text)
{
    const json object = json::parse(text);
    ShardHead head;
    head.owner = TargetId(object.at("owner").get<std::string>());
    head.incarnation = Incarnation(object.at("incarnation").get<std::string>());
    head.nonce = object.at("nonce");
    head.records = recordsFrom(object.at("records"));
    head.segments = object.at("segments");
    return head;
}

std::string encodeRecords(const Records& records)
{
    return toJson(records).dump(-1, ' ', false, json::error_handler_t::replace);
}

Records decodeRecords(std::string_view text) { return recordsFrom(json::parse(text)); }

} // namespace citronspoke::journal

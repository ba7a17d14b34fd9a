#include "EtcdClient.h"

#include "transport/Transport.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace citronspoke::platform::etcd {

namespace {

    using nlohmann::json;

    constexpr uint32_t HttpOk = 200;

    std::string encodeBase64(std::string_view text)
    {
        return absl::Base64Escape(absl::string_view(text.data(), text.size()));
    }

    std::string decodeBase64(const std::string& text)
    {
        std::string plain;
        absl::Base64Unescape(text, &plain);
        return plain;
    }

    // The protocol writes 64-bit integers as strings and omits fields that are zero.
    int64_t integerField(const json& object, const char* name)
    {
        auto found = object.find(name);
        if (found == object.end())
            return 0;
        return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<int64_t>();
    }

    transport::HttpRequest composeRequest(
        const EtcdBackend& backend, std::string_view path, const json& body)
    {
        transport::HttpRequest call;
        call.method = "POST";
        call.target = backend.address + std::string(path);
        call.headers["content-type"] = "application/json";
        call.body = body.dump();
        return call;
    }

    /** @throws StoreUnavailable */
    json call(const EtcdBackend& backend, std::string_view path, const json& body)
    {
        try {
            const transport::HttpResponse response
                = transport::callHttp(composeRequest(backend, path, body), backend.timeout);
            if (response.status != HttpOk)
                throw StoreUnavailable(path);
            return json::parse(response.body);
        } catch (const transport::HttpFailed&) {
            throw StoreUnavailable(path);
        } catch (const json::exception&) {
            throw StoreUnavailable(path);
        }
    }

} // namespace

std::map<std::string, Entry> range(
    const EtcdBackend& backend, std::string_view key, std::string_view rangeEnd)
{
    json body { { "key", encodeBase64(key) } };
    if (!rangeEnd.empty())
        body["range_end"] = encodeBase64(rangeEnd);
    const json response = call(backend, "/v3/kv/range", body);
    std::map<std::string, Entry> entries;
    for (const json& item : response.value("kvs", json::array())) {
        Entry& entry = entries[decodeBase64(item.at("key").get<std::string>())];
        entry.value = decodeBase64(item.value("value", ""));
        entry.revision = Revision(integerField(item, "mod_revision"));
    }
    return entries;
}

WriteOutcome swap(const EtcdBackend& backend, std::string_view key, Revision expected,
    std::string_view value, LeaseId lease)
{
    const std::string encodedKey = encodeBase64(key);
    const json compare { { "key", encodedKey }, { "target", "MOD" }, { "result", "EQUAL" },
        { "mod_revision", std::to_string(expected.value()) } };
    const json put { { "key", encodedKey }, { "value", encodeBase64(value) },
        { "lease", std::to_string(lease.value()) } };
    const json body { { "compare", json::array({ compare }) },
        { "success", json::array({ json { { "request_put", put } } }) } };
    try {
        const json response = call(backend, "/v3/kv/txn", body);
        if (!response.value("succeeded", false))
            return Conflict {};
        return Committed { Revision(integerField(response.at("header"), "revision")) };
    } catch (const StoreUnavailable&) {
        return OutcomeUnknown {};
    }
}

LeaseId grantLease(const EtcdBackend& backend, std::chrono::seconds timeToLive)
{
    const json body { { "TTL", std::to_string(timeToLive.count()) }, { "ID", "0" } };
    return LeaseId(integerField(call(backend, "/v3/lease/grant", body), "ID"));
}

bool keepAlive(const EtcdBackend& backend, LeaseId lease)
{
    const json response
        = call(backend, "/v3/lease/keepalive", json { { "ID", std::to_string(lease.value()) } });
    return integerField(response.value("result", response), "TTL") > 0;
}

void revoke(const EtcdBackend& backend, LeaseId lease)
{
    call(backend, "/v3/lease/revoke", json { { "ID", std::to_string(lease.value()) } });
}

bool waitForChange(
    const EtcdBackend& backend, std::string_view key, Revision since, Milliseconds limit)
{
    const json body { { "create_request",
        { { "key", encodeBase64(key) },
            { "start_revision", std::to_string(since.value() + 1) } } } };
    std::string received;
    bool hasChanged = false;
    try {
        transport::streamHttp(
            composeRequest(backend, "/v3/watch", body), limit, [&](std::string_view data) {
                received.append(data);
                hasChanged = received.find("\"events\"") != std::string::npos;
                return !hasChanged;
            });
    } catch (const transport::HttpFailed&) {
        throw StoreUnavailable("watch");
    }
    return hasChanged;
}

} // namespace citronspoke::platform::etcd

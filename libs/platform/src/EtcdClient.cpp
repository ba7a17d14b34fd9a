#include "EtcdClient.h"

#include "transport/Transport.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace citronspoke::platform::etcd {

namespace {

    using nlohmann::json;

    constexpr uint32_t HttpOk = 200;

    std::string encoded(std::string_view text)
    {
        return absl::Base64Escape(absl::string_view(text.data(), text.size()));
    }

    std::string decoded(const std::string& text)
    {
        std::string plain;
        absl::Base64Unescape(text, &plain);
        return plain;
    }

    // The protocol writes 64-bit numbers as strings, and leaves zeros out.
    int64_t numberOf(const json& object, const char* name)
    {
        auto found = object.find(name);
        if (found == object.end())
            return 0;
        return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<int64_t>();
    }

    transport::HttpRequest request(
        const EtcdBackend& backend, std::string_view path, const json& body)
    {
        transport::HttpRequest call;
        call.method = "POST";
        call.target = backend.address + std::string(path);
        call.headers["content-type"] = "application/json";
        call.body = body.dump();
        return call;
    }

    json call(const EtcdBackend& backend, std::string_view path, const json& body)
    {
        try {
            const transport::HttpResponse response
                = transport::callHttp(request(backend, path, body), backend.timeout);
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
    json body { { "key", encoded(key) } };
    if (!rangeEnd.empty())
        body["range_end"] = encoded(rangeEnd);
    const json answer = call(backend, "/v3/kv/range", body);
    std::map<std::string, Entry> entries;
    for (const json& item : answer.value("kvs", json::array())) {
        Entry& entry = entries[decoded(item.at("key").get<std::string>())];
        entry.value = decoded(item.value("value", ""));
        entry.revision = Revision(numberOf(item, "mod_revision"));
    }
    return entries;
}

WriteOutcome swap(const EtcdBackend& backend, std::string_view key, Revision expected,
    std::string_view value, LeaseId lease)
{
    const std::string encodedKey = encoded(key);
    const json compare { { "key", encodedKey }, { "target", "MOD" }, { "result", "EQUAL" },
        { "mod_revision", std::to_string(expected.value()) } };
    const json put { { "key", encodedKey }, { "value", encoded(value) },
        { "lease", std::to_string(lease.value()) } };
    const json body { { "compare", json::array({ compare }) },
        { "success", json::array({ json { { "request_put", put } } }) } };
    try {
        const json answer = call(backend, "/v3/kv/txn", body);
        if (!answer.value("succeeded", false))
            return Conflict {};
        return Committed { Revision(numberOf(answer.at("header"), "revision")) };
    } catch (const StoreUnavailable&) {
        return OutcomeUnknown {};
    }
}

LeaseId grantLease(const EtcdBackend& backend, std::chrono::seconds timeToLive)
{
    const json body { { "TTL", std::to_string(timeToLive.count()) }, { "ID", "0" } };
    return LeaseId(numberOf(call(backend, "/v3/lease/grant", body), "ID"));
}

bool keepAlive(const EtcdBackend& backend, LeaseId lease)
{
    const json answer
        = call(backend, "/v3/lease/keepalive", json { { "ID", std::to_string(lease.value()) } });
    return numberOf(answer.value("result", answer), "TTL") > 0;
}

void revoke(const EtcdBackend& backend, LeaseId lease)
{
    call(backend, "/v3/lease/revoke", json { { "ID", std::to_string(lease.value()) } });
}

bool waitForChange(
    const EtcdBackend& backend, std::string_view key, Revision since, Milliseconds limit)
{
    const json body { { "create_request",
        { { "key", encoded(key) }, { "start_revision", std::to_string(since.value() + 1) } } } };
    std::string received;
    bool hasChanged = false;
    try {
        transport::streamHttp(
            request(backend, "/v3/watch", body), limit, [&](std::string_view data) {
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

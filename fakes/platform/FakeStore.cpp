#include "FakeStore.h"

#include <absl/strings/escaping.h>

namespace citronspoke::fakes {

namespace {

    using nlohmann::json;

    std::string decoded(const json& object, const char* name)
    {
        std::string plain;
        absl::Base64Unescape(object.value(name, ""), &plain);
        return plain;
    }

    int64_t numberOf(const json& object, const char* name)
    {
        auto found = object.find(name);
        if (found == object.end())
            return 0;
        return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<int64_t>();
    }

} // namespace

json FakeStore::header() const { return { { "revision", std::to_string(m_revision) } }; }

json FakeStore::range(const json& body)
{
    std::lock_guard lock(m_mutex);
    const std::string key = decoded(body, "key");
    const std::string end = decoded(body, "range_end");
    json found = json::array();
    for (auto position = m_values.lower_bound(key); position != m_values.end(); ++position) {
        if (end.empty() ? position->first != key : position->first >= end)
            break;
        found.push_back({ { "key", absl::Base64Escape(position->first) },
            { "value", absl::Base64Escape(position->second.text) },
            { "mod_revision", std::to_string(position->second.revision) } });
    }
    return { { "header", header() }, { "kvs", found } };
}

json FakeStore::transact(const json& body)
{
    std::lock_guard lock(m_mutex);
    for (const json& compare : body.at("compare")) {
        auto found = m_values.find(decoded(compare, "key"));
        const int64_t current = found == m_values.end() ? 0 : found->second.revision;
        if (current != numberOf(compare, "mod_revision"))
            return { { "header", header() } };
    }
    for (const json& operation : body.at("success")) {
        const json& put = operation.at("request_put");
        const std::string key = decoded(put, "key");
        m_revision += 1;
        m_values[key] = { decoded(put, "value"), m_revision, numberOf(put, "lease") };
        notify(key);
    }
    return { { "header", header() }, { "succeeded", true } };
}

json FakeStore::grantLease(const json& body)
{
    std::lock_guard lock(m_mutex);
    const std::chrono::seconds timeToLive(numberOf(body, "TTL"));
    m_lastLease += 1;
    m_leases[m_lastLease] = { steadyNow() + timeToLive, timeToLive };
    return { { "header", header() }, { "ID", std::to_string(m_lastLease) },
        { "TTL", std::to_string(timeToLive.count()) } };
}

json FakeStore::keepAlive(const json& body)
{
    std::lock_guard lock(m_mutex);
    auto found = m_leases.find(numberOf(body, "ID"));
    if (found == m_leases.end())
        return { { "result", { { "header", header() } } } };
    found->second.deadline = steadyNow() + found->second.timeToLive;
    return { { "result",
        { { "header", header() }, { "TTL", std::to_string(found->second.timeToLive.count()) } } } };
}

json FakeStore::revoke(const json& body)
{
    std::lock_guard lock(m_mutex);
    removeLease(numberOf(body, "ID"));
    return { { "header", header() } };
}

void FakeStore::watch(const json& body, const transport::HttpExchangePointer& exchange)
{
    const json& request = body.at("create_request");
    const std::string key = decoded(request, "key");
    exchange->beginStream({});
    std::lock_guard lock(m_mutex);
    m_watchers.push_back({ key, exchange });
    auto found = m_values.find(key);
    const bool isBehind
        = found != m_values.end() && found->second.revision >= numberOf(request, "start_revision");
    if (isBehind)
        notify(key);
}

void FakeStore::expireLeases()
{
    std::lock_guard lock(m_mutex);
    std::vector<int64_t> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.deadline < steadyNow())
            expired.push_back(id);
    }
    for (const int64_t id : expired)
        removeLease(id);
}

void FakeStore::removeLease(int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> removedKeys;
    for (const auto& [key, value] : m_values) {
        if (value.lease == lease)
            removedKeys.push_back(key);
    }
    for (const std::string& key : removedKeys) {
        m_revision += 1;
        m_values.erase(key);
        notify(key);
    }
}

void FakeStore::notify(const std::string& key)
{
    const json event { { "result",
        { { "header", header() },
            { "events", { { { "kv", { { "key", absl::Base64Escape(key) } } } } } } } } };
    std::erase_if(m_watchers, [&](const Watcher& watcher) {
        if (watcher.key != key)
            return false;
        watcher.exchange->write(event.dump() + "\n");
        watcher.exchange->endStream();
        return true;
    });
}

} // namespace citronspoke::fakes

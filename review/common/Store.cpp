#include "Store.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view Alphabet
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string toBase64(std::string_view bytes)
    {
        std::string text;
        for (size_t start = 0; start < bytes.size(); start += 3) {
            const std::string_view group = bytes.substr(start, 3);
            uint32_t bits = 0;
            for (size_t index = 0; index < 3; ++index)
                bits = (bits << 8)
                    | (index < group.size() ? static_cast<unsigned char>(group[index]) : 0U);
            for (size_t index = 0; index < 4; ++index)
                text.push_back(
                    index <= group.size() ? Alphabet[(bits >> (18 - 6 * index)) & 0x3F] : '=');
        }
        return text;
    }

    std::string fromBase64(std::string_view text)
    {
        std::string bytes;
        uint32_t bits = 0;
        int count = 0;
        for (const char symbol : text) {
            const size_t value = Alphabet.find(symbol);
            if (value == std::string_view::npos)
                break;
            bits = (bits << 6) | static_cast<uint32_t>(value);
            count += 6;
            if (count >= 8) {
                count -= 8;
                bytes.push_back(static_cast<char>((bits >> count) & 0xFF));
            }
        }
        return bytes;
    }

    void respond(ServerConnection& connection, uint32_t status, const Json& body)
    {
        connection.respond(
            status, { "Content-Type: application/json", "Store-Era: 1" }, body.dump());
    }

} // namespace

Store::Store()
    : m_server([this](const Request& request, ServerConnection& connection) {
        handle(request, connection);
    })
{
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    apply(key, value, 0);
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    apply(key, std::nullopt, 0);
}

void Store::apply(const std::string& key, const std::optional<std::string>& value, int64_t lease)
{
    m_revision += 1;
    Change change { key, m_revision, std::nullopt };
    if (value) {
        Item& item = m_items[key];
        const int64_t created = item.created == 0 ? m_revision : item.created;
        item = { *value, m_revision, created, lease };
        change.item = item;
    } else {
        m_items.erase(key);
    }
    m_changes.push_back(std::move(change));
    m_changed.notify_all();
}

void Store::expireLeases()
{
    const Clock::time_point now = Clock::now();
    std::vector<std::string> ended;
    for (const auto& [key, item] : m_items) {
        const auto lease = m_leases.find(item.lease);
        if (lease != m_leases.end() && lease->second.end <= now)
            ended.push_back(key);
    }
    for (const std::string& key : ended)
        apply(key, std::nullopt, 0);
    std::erase_if(m_leases, [now](const auto& lease) { return lease.second.end <= now; });
}

void Store::handle(const Request& request, ServerConnection& connection)
{
    if (m_isRefusing) {
        respond(connection, 503, Json::object());
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        expireLeases();
    }
    if (request.target.starts_with("/kv-range"))
        range(request, connection);
    else if (request.target.starts_with("/kv-watch"))
        watch(request, connection);
    else if (request.target.starts_with("/kv-txn"))
        write(request, connection);
    else if (request.target.starts_with("/kv-lease"))
        grantLease(request, connection);
    else
        renewLease(request, connection);
}

void Store::range(const Request& request, ServerConnection& connection)
{
    const std::string prefix = request.parameter("pathPrefix");
    Json items = Json::array();
    const std::lock_guard lock(m_mutex);
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix))
            items.push_back(
                { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision },
                    { "created", item.created }, { "lease", item.lease } });
    }
    respond(connection, 200, { { "items", items }, { "hasMore", false }, { "at", m_revision } });
}

void Store::watch(const Request& request, ServerConnection& connection)
{
    const std::string prefix = request.parameter("pathPrefix");
    const int64_t after = std::stoll(request.parameter("after"));
    const std::chrono::milliseconds wait(std::stoll(request.parameter("waitMs")));
    Json events = Json::array();
    const auto collect = [&] {
        for (const Change& change : m_changes) {
            if (change.revision <= after || !change.key.starts_with(prefix))
                continue;
            Json event { { "key", change.key }, { "revision", change.revision } };
            if (change.item) {
                event["value"] = toBase64(change.item->value);
                event["created"] = change.item->created;
                event["lease"] = change.item->lease;
            } else {
                event["deleted"] = true;
            }
            events.push_back(std::move(event));
        }
        return !events.empty();
    };
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, collect);
    respond(connection, 200, { { "events", events }, { "at", m_revision } });
}

void Store::write(const Request& request, ServerConnection& connection)
{
    const Json body = Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    for (const Json& put : body["puts"]) {
        const int64_t lease = put.value("lease", int64_t { 0 });
        if (lease != 0 && !m_leases.contains(lease)) {
            respond(connection, 404, Json::object());
            return;
        }
    }
    for (const Json& row : body["precondition"]) {
        const auto item = m_items.find(row["key"].get<std::string>());
        if ((item == m_items.end() ? 0 : item->second.revision) != row["revision"]) {
            respond(connection, 412, { { "items", Json::array() } });
            return;
        }
    }
    for (const Json& put : body["puts"])
        apply(put["key"], fromBase64(put["value"].get<std::string>()),
            put.value("lease", int64_t { 0 }));
    for (const Json& key : body["remove"])
        apply(key, std::nullopt, 0);
    respond(connection, 200, { { "revision", m_revision } });
}

void Store::grantLease(const Request& request, ServerConnection& connection)
{
    const std::chrono::milliseconds timeToLive(Json::parse(request.body)["ttlMs"].get<int64_t>());
    const std::lock_guard lock(m_mutex);
    m_lastLease += 1;
    m_leases[m_lastLease] = { timeToLive, Clock::now() + timeToLive };
    respond(connection, 200, { { "lease", m_lastLease }, { "ttlMs", timeToLive.count() } });
}

void Store::renewLease(const Request& request, ServerConnection& connection)
{
    const int64_t id = std::stoll(request.target.substr(request.target.rfind('/') + 1));
    const std::lock_guard lock(m_mutex);
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        respond(connection, 404, Json::object());
        return;
    }
    lease->second.end = Clock::now() + lease->second.timeToLive;
    respond(connection, 200, { { "ttlMs", lease->second.timeToLive.count() } });
}

} // namespace review
